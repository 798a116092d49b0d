package dfuheap

import "container/heap"

// notInHeap is the position of an element that is not in a heap.
const notInHeap = -1

// Heap is a binary heap with the least element at the top.
type Heap[T any] struct {
	elements elements[T]
}

// elements implements heap.Interface and updates the elements' positions.
type elements[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int
}

// New returns an empty heap ordered by less. Position returns a pointer to the
// element's position, which the heap maintains. The position is -1 once the
// element has been removed.
func New[T any](less func(a, b T) bool, position func(T) *int) *Heap[T] {
	return &Heap[T]{elements[T]{less: less, position: position}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int {
	return len(h.elements.items)
}

// Peek returns the element at the top. The heap must not be empty.
func (h *Heap[T]) Peek() T {
	return h.elements.items[0]
}

// All returns the elements in no particular order. The caller must not modify
// the slice.
func (h *Heap[T]) All() []T {
	return h.elements.items
}

// Push adds an element.
func (h *Heap[T]) Push(element T) {
	heap.Push(&h.elements, element)
}

// Remove removes an element. It does nothing if the element's position is -1.
func (h *Heap[T]) Remove(element T) {
	if i := *h.elements.position(element); i != notInHeap {
		heap.Remove(&h.elements, i)
	}
}

// Fix restores the order after an element's sort key has changed.
func (h *Heap[T]) Fix(element T) {
	heap.Fix(&h.elements, *h.elements.position(element))
}

// Len implements heap.Interface.
func (e *elements[T]) Len() int {
	return len(e.items)
}

// Less implements heap.Interface.
func (e *elements[T]) Less(i, j int) bool {
	return e.less(e.items[i], e.items[j])
}

// Swap implements heap.Interface.
func (e *elements[T]) Swap(i, j int) {
	e.items[i], e.items[j] = e.items[j], e.items[i]
	*e.position(e.items[i]) = i
	*e.position(e.items[j]) = j
}

// Push implements heap.Interface.
func (e *elements[T]) Push(x any) {
	element, _ := x.(T)
	*e.position(element) = len(e.items)
	e.items = append(e.items, element)
}

// Pop implements heap.Interface.
func (e *elements[T]) Pop() any {
	var zero T
	last := len(e.items) - 1
	element := e.items[last]
	e.items[last] = zero
	e.items = e.items[:last]
	*e.position(element) = notInHeap
	return element
}
