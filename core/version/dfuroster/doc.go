// Package dfuroster implements the immutable view on which a node bases its
// decisions: the nodes and targets, their states, and the catalogue entry and
// claim ownership of each service.
//
// A view is never modified. Applying a change returns a new view that shares
// all unaffected parts with the old one, so readers need no lock.
package dfuroster
