// Package dfuheap provides a heap whose elements know their place in it, so that
// any of them can be removed or moved.
package dfuheap
