package dfubudget

import (
	"math/rand/v2"

	"dragonflyusher/core/process/dfuclock"
)

// ErrorClass groups errors with the same backoff.
type ErrorClass uint8

// Error classes.
const (
	// ClassRefused is a refusal by a target's node that has no capacity.
	ClassRefused ErrorClass = iota
	// ClassTargetError is an error from the target itself.
	ClassTargetError
	// ClassLinkFailed is a node that can't be reached.
	ClassLinkFailed
	// ClassStore is a store that fails or is slow.
	ClassStore
	errorClassCount
)

// Backoff parameters.
const (
	// waitGrowth is the factor by which an error increases the wait.
	waitGrowth = 2
	// waitDecayDivisor is the inverse of the share by which a success reduces
	// the wait.
	waitDecayDivisor = 8
)

// waitBounds holds the initial and the maximum wait of a class.
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

// Backoff implements exponential backoff by error class. A wait doubles with
// each error and shrinks by an eighth with each success, so that a single
// success during an outage doesn't restore the full load.
type Backoff struct {
	rng   *rand.Rand
	waits [errorClassCount]dfuclock.Duration
}

// NewBackoff returns a Backoff with all waits zero.
func NewBackoff(rng *rand.Rand) *Backoff {
	return &Backoff{rng: rng}
}

// Failure records an error and returns how long to wait: a random time between
// half of the class's wait and all of it, so that many nodes don't retry at the
// same time.
func (b *Backoff) Failure(class ErrorClass) dfuclock.Duration {
	bounds := class.bounds()
	b.waits[class] = min(max(waitGrowth*b.waits[class], bounds.first), bounds.longest)
	return b.withJitter(b.waits[class])
}

// Success records a success.
func (b *Backoff) Success(class ErrorClass) {
	wait := b.waits[class]
	b.waits[class] = wait - (wait+waitDecayDivisor-1)/waitDecayDivisor
}

// Current returns the wait of a class without jitter.
func (b *Backoff) Current(class ErrorClass) dfuclock.Duration {
	return b.waits[class]
}

func (b *Backoff) withJitter(wait dfuclock.Duration) dfuclock.Duration {
	half := wait / 2
	return wait - dfuclock.Duration(b.rng.Int64N(int64(half)+1))
}
