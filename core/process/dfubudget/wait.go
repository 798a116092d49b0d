package dfubudget

import (
	"math/rand/v2"

	"dragonflyusher/core/process/dfuclock"
)

// ErrorClass groups errors that are waited for alike.
type ErrorClass uint8

// The classes of errors.
const (
	// ClassRefused is a target's node that has no room.
	ClassRefused ErrorClass = iota
	// ClassTargetError is an error of the target itself.
	ClassTargetError
	// ClassLinkFailed is a node that can't be reached.
	ClassLinkFailed
	// ClassStore is a store that fails or is slow.
	ClassStore
	errorClasses
)

// Parameters of the waits.
const (
	// waitGrowth multiplies a wait with each error.
	waitGrowth = 2
	// waitDecayParts is the inverse of what a success takes off a wait.
	waitDecayParts = 8
)

// waitBounds are the first and the longest wait of a class.
type waitBounds struct {
	first, longest dfuclock.Duration
}

func (c ErrorClass) bounds() waitBounds {
	return [...]waitBounds{
		ClassRefused:     {1 * dfuclock.Millisecond, 100 * dfuclock.Millisecond},
		ClassTargetError: {5 * dfuclock.Millisecond, 1 * dfuclock.Second},
		ClassLinkFailed:  {20 * dfuclock.Millisecond, 5 * dfuclock.Second},
		ClassStore:       {100 * dfuclock.Millisecond, 30 * dfuclock.Second},
	}[c]
}

// Waits holds the wait before the next attempt for each class of errors. It
// doubles with an error and shrinks by an eighth with a success, so that one
// lucky answer in an outage doesn't bring the whole load back.
type Waits struct {
	rng   *rand.Rand
	waits [errorClasses]dfuclock.Duration
}

// NewWaits returns waits of zero.
func NewWaits(rng *rand.Rand) *Waits {
	return &Waits{rng: rng}
}

// Failed notes an error and returns how long to wait: between half of the
// class's wait and all of it, so that many nodes don't come back at once.
func (w *Waits) Failed(class ErrorClass) dfuclock.Duration {
	bounds := class.bounds()
	w.waits[class] = min(max(waitGrowth*w.waits[class], bounds.first), bounds.longest)
	return w.jittered(w.waits[class])
}

// Succeeded notes a success.
func (w *Waits) Succeeded(class ErrorClass) {
	wait := w.waits[class]
	w.waits[class] = wait - (wait+waitDecayParts-1)/waitDecayParts
}

// Current returns the wait of a class without jitter.
func (w *Waits) Current(class ErrorClass) dfuclock.Duration {
	return w.waits[class]
}

func (w *Waits) jittered(wait dfuclock.Duration) dfuclock.Duration {
	half := wait / 2
	return wait - dfuclock.Duration(w.rng.Int64N(int64(half)+1))
}
