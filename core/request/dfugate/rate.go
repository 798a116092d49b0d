package dfugate

import "dragonflyusher/core/process/dfuclock"

// milliTokensPerToken is the number of milliTokens in a token. At a rate of one token per
// second, a millisecond adds one milliToken.
const milliTokensPerToken = 1000

// rateLimit is a token bucket whose capacity is the tokens of one second. Its tokens field
// counts milliTokens.
type rateLimit struct {
	perSecond  int
	tokens     int64
	refilledAt dfuclock.Time
}

func (l *rateLimit) change(now dfuclock.Time, perSecond int) {
	if perSecond == l.perSecond {
		return
	}
	l.perSecond = perSecond
	l.tokens = int64(perSecond) * milliTokensPerToken
	l.refilledAt = now
}

// allows refills the bucket and reports whether it holds a token, without taking it.
func (l *rateLimit) allows(now dfuclock.Time) bool {
	if l.perSecond == 0 {
		return true
	}
	capacity := int64(l.perSecond) * milliTokensPerToken
	elapsed := min(now.Sub(l.refilledAt), dfuclock.Second)
	l.tokens = min(capacity, l.tokens+int64(elapsed)*int64(l.perSecond))
	l.refilledAt = now
	return l.tokens >= milliTokensPerToken
}

func (l *rateLimit) take() {
	if l.perSecond > 0 {
		l.tokens -= milliTokensPerToken
	}
}
