package dfuring

import "sync/atomic"

// Ring is a bounded queue between goroutines. Producers never block: if the
// ring is full, the item is dropped and counted, so that a slow consumer loses
// its own items instead of slowing down the producers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring with a capacity of size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item. It reports whether the ring had room for it.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which a consumer receives items.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Dropped returns the number of items dropped because the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	return r.dropped.Load()
}
