package dfubudget

import "dragonflyusher/core/process/dfuclock"

// Rate is a number of bytes or calls per second.
type Rate int64

// milli is how many parts a token is divided in, so that refilling by the
// millisecond stays exact.
const milli = 1000

// TokenBucket spends at most burst + rate × time in any period. It starts
// empty, so that a node which restarts often gains nothing.
type TokenBucket struct {
	// rate is in tokens per second, which is the same as milli-tokens per
	// millisecond; burst and tokens are in milli-tokens.
	rate   Rate
	burst  int64
	tokens int64
	last   dfuclock.Time
}

// NewTokenBucket returns an empty bucket.
func NewTokenBucket(now dfuclock.Time, rate Rate, burst int64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst * milli, last: now}
}

// SetRate changes the rate and the burst from now on. Tokens above the new
// burst are lost.
func (b *TokenBucket) SetRate(now dfuclock.Time, rate Rate, burst int64) {
	b.refill(now)
	b.rate = max(rate, 0)
	b.burst = max(burst, 0) * milli
	b.tokens = min(b.tokens, b.burst)
}

// Has reports whether n tokens are there to take.
func (b *TokenBucket) Has(now dfuclock.Time, n int64) bool {
	b.refill(now)
	return b.tokens >= n*milli
}

// Take spends n tokens if they are there, and reports whether they were.
func (b *TokenBucket) Take(now dfuclock.Time, n int64) bool {
	if !b.Has(now, n) {
		return false
	}
	b.tokens -= n * milli
	return true
}

// refill adds the tokens of the time since the last call. Time that appears to
// run backwards adds none.
func (b *TokenBucket) refill(now dfuclock.Time) {
	passed := int64(now.Sub(b.last))
	if passed <= 0 {
		return
	}
	b.last = now
	if b.rate == 0 || b.tokens >= b.burst {
		return
	}
	if passed > (b.burst-b.tokens)/int64(b.rate) {
		b.tokens = b.burst
		return
	}
	b.tokens += passed * int64(b.rate)
}
