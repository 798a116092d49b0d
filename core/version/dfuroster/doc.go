// Package dfuroster holds the immutable view that the deciders of a node read:
// which nodes and targets there are, in what state, and which catalogue entry
// and claim ownership each service has.
//
// A view is never altered. Applying a change makes a new view that shares all
// that the change doesn't touch, so that readers need no lock.
package dfuroster
