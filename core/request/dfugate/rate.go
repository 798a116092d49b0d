package dfugate

import (
	"math"

	"dragonflyusher/core/process/dfuclock"
)

// Rate is a number of requests per second. Zero means unlimited.
type Rate float64

// milliTokensPerToken is the number of milliTokens in a token. At a rate of one token per
// second, a millisecond adds one milliToken.
const milliTokensPerToken = 1000

// tokenBucket limits the rate of requests. Its capacity and its tokens are in milliTokens.
type tokenBucket struct {
	rate       Rate
	capacity   float64
	tokens     float64
	refilledAt dfuclock.Time
}

// fill replaces the rate and fills the bucket with the tokens of a second.
func (b *tokenBucket) fill(now dfuclock.Time, rate Rate) {
	if rate == b.rate {
		return
	}
	b.rate = rate
	b.capacity = float64(rate) * milliTokensPerToken
	b.tokens = b.capacity
	b.refilledAt = now
}

// allows refills the bucket and reports whether it holds a token, without taking it.
func (b *tokenBucket) allows(now dfuclock.Time) bool {
	return b.wait(now, 1) == 0
}

// wait refills the bucket and returns the time until it will have supplied n tokens.
func (b *tokenBucket) wait(now dfuclock.Time, n int) dfuclock.Duration {
	if b.rate == 0 {
		return 0
	}
	elapsed := now.Sub(b.refilledAt)
	b.tokens = min(b.capacity, b.tokens+float64(elapsed)*float64(b.rate))
	b.refilledAt = now
	missing := float64(n)*milliTokensPerToken - b.tokens
	return dfuclock.Duration(max(0, math.Ceil(missing/float64(b.rate))))
}

func (b *tokenBucket) take() {
	if b.rate > 0 {
		b.tokens -= milliTokensPerToken
	}
}
