package dfubudget

import "dragonflyusher/core/process/dfuclock"

// Rate is a number of bytes or calls per second.
type Rate int64

// milliTokensPerToken is the resolution of a TokenBucket. With it, refilling by
// the millisecond is exact.
const milliTokensPerToken = 1000

// TokenBucket is a token bucket: it grants at most burst + rate × t tokens in
// any period of length t. It starts empty, so that frequent restarts of a node
// don't yield extra tokens.
type TokenBucket struct {
	// rate is in tokens per second, which equals milli-tokens per millisecond.
	// burst and tokens are in milli-tokens.
	rate   Rate
	burst  int64
	tokens int64
	last   dfuclock.Time
}

// NewTokenBucket returns an empty bucket. Rate is in tokens per second and
// burst in tokens.
func NewTokenBucket(now dfuclock.Time, rate Rate, burst int64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst * milliTokensPerToken, last: now}
}

// SetRate changes the rate and the burst. Tokens beyond the new burst are lost.
func (b *TokenBucket) SetRate(now dfuclock.Time, rate Rate, burst int64) {
	b.refill(now)
	b.rate = max(rate, 0)
	b.burst = max(burst, 0) * milliTokensPerToken
	b.tokens = min(b.tokens, b.burst)
}

// Has reports whether at least n tokens are available.
func (b *TokenBucket) Has(now dfuclock.Time, n int64) bool {
	b.refill(now)
	return b.tokens >= n*milliTokensPerToken
}

// Take removes n tokens if they are available, and reports whether they were.
func (b *TokenBucket) Take(now dfuclock.Time, n int64) bool {
	if !b.Has(now, n) {
		return false
	}
	b.tokens -= n * milliTokensPerToken
	return true
}

// refill adds the tokens for the time since the last call. If time appears to
// run backwards, it adds none.
func (b *TokenBucket) refill(now dfuclock.Time) {
	elapsed := int64(now.Sub(b.last))
	if elapsed <= 0 {
		return
	}
	b.last = now
	if b.rate == 0 || b.tokens >= b.burst {
		return
	}
	if elapsed > (b.burst-b.tokens)/int64(b.rate) {
		b.tokens = b.burst
		return
	}
	b.tokens += elapsed * int64(b.rate)
}
