package dfuring_test

import (
	"testing"

	"dragonflyusher/core/process/dfuring"

	"github.com/matryer/is"
)

func TestRingRefusesWhenFull(t *testing.T) {
	is := is.New(t)
	ring := dfuring.New[int](1)
	is.True(ring.Offer(1))
	is.True(!ring.Offer(2)) // the ring is full
	is.Equal(ring.Dropped(), uint64(1))
	is.Equal(<-ring.Items(), 1)
	is.Equal(ring.Len(), 0)
}
