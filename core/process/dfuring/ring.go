package dfuring

import "sync/atomic"

// Ring is a bounded queue between goroutines. A producer never blocks: when
// the ring is full the item is refused and counted, so that a slow consumer
// costs its own work rather than everybody's.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item and reports whether there was room for it.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the channel that a consumer receives from.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Refused returns how many items found the ring full.
func (r *Ring[T]) Refused() uint64 {
	return r.refused.Load()
}
