// Package dfuheap provides a heap that tracks the position of its elements, so
// that any of them can be removed or reordered.
package dfuheap
