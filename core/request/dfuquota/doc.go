// Package dfuquota decides whether a request is within its workspace's quota, which holds
// for all nodes together. It does no I/O.
//
// Workspaces are divided into shards. Ownership decides which shards a node owns, by
// records in the store. An Owner holds the token buckets of a node's shards and grants
// tokens to other nodes. A Cache holds the tokens that were granted to a node, and the
// requests that wait for one. See docs/design/21-quotas.md.
package dfuquota
