// Package dfuoperator holds the commands of the operators' client.
//
// A command talks to the store, to a node, or to neither. Each lives in its
// own file. Every write goes through submit, which ends with an accepted, a
// rejected or an honestly unknown change and merges nothing.
package dfuoperator
