// Package dfuoperator implements the subcommands of the operators' client.
//
// A command calls the store, nodes, or neither. Each has its own file. Every
// write goes through session.submit, which returns whether the change was
// accepted or rejected, or that this couldn't be determined. Concurrent changes
// are never merged.
package dfuoperator
