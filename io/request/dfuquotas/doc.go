// Package dfuquotas runs the machines of core/request/dfuquota: it calls the store and the
// owners of shards, and lets requests wait for tokens.
package dfuquotas
