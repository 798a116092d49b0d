package dfuheap

import "container/heap"

// absent is the position of an element that is in no heap.
const absent = -1

// Heap holds elements with the first of their order at the top.
type Heap[T any] struct {
	elements elements[T]
}

// elements implements heap.Interface and keeps each element's position.
type elements[T any] struct {
	list     []T
	before   func(a, b T) bool
	position func(T) *int
}

// New returns an empty heap in the order of before. Position returns where an
// element's position is kept; it is -1 after the element has left the heap.
func New[T any](before func(a, b T) bool, position func(T) *int) *Heap[T] {
	return &Heap[T]{elements[T]{before: before, position: position}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int {
	return len(h.elements.list)
}

// First returns the element at the top of a heap that is not empty.
func (h *Heap[T]) First() T {
	return h.elements.list[0]
}

// All returns the elements in no particular order. The caller must not alter
// the list.
func (h *Heap[T]) All() []T {
	return h.elements.list
}

// Push adds an element.
func (h *Heap[T]) Push(element T) {
	heap.Push(&h.elements, element)
}

// Remove removes an element; one that is in no heap is left alone.
func (h *Heap[T]) Remove(element T) {
	if i := *h.elements.position(element); i != absent {
		heap.Remove(&h.elements, i)
	}
}

// Fix moves an element whose order has changed.
func (h *Heap[T]) Fix(element T) {
	heap.Fix(&h.elements, *h.elements.position(element))
}

// Len implements heap.Interface.
func (e *elements[T]) Len() int {
	return len(e.list)
}

// Less implements heap.Interface.
func (e *elements[T]) Less(i, j int) bool {
	return e.before(e.list[i], e.list[j])
}

// Swap implements heap.Interface.
func (e *elements[T]) Swap(i, j int) {
	e.list[i], e.list[j] = e.list[j], e.list[i]
	*e.position(e.list[i]) = i
	*e.position(e.list[j]) = j
}

// Push implements heap.Interface.
func (e *elements[T]) Push(x any) {
	element, _ := x.(T)
	*e.position(element) = len(e.list)
	e.list = append(e.list, element)
}

// Pop implements heap.Interface.
func (e *elements[T]) Pop() any {
	var zero T
	last := len(e.list) - 1
	element := e.list[last]
	e.list[last] = zero
	e.list = e.list[:last]
	*e.position(element) = absent
	return element
}
