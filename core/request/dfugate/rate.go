package dfugate

import "dragonflyusher/core/process/dfuclock"

// milliTokens is the share of a token that one millisecond adds at a rate of
// one per second.
const milliTokens = 1000

// rateLimit is a token bucket that holds up to one second's worth.
type rateLimit struct {
	perSecond int
	tokens    int64
	filled    dfuclock.Time
}

func (l *rateLimit) change(now dfuclock.Time, perSecond int) {
	if perSecond == l.perSecond {
		return
	}
	l.perSecond = perSecond
	l.tokens = int64(perSecond) * milliTokens
	l.filled = now
}

// allows reports whether a token is there, without taking it.
func (l *rateLimit) allows(now dfuclock.Time) bool {
	if l.perSecond == 0 {
		return true
	}
	full := int64(l.perSecond) * milliTokens
	passed := min(now.Sub(l.filled), dfuclock.Second)
	l.tokens = min(full, l.tokens+int64(passed)*int64(l.perSecond))
	l.filled = now
	return l.tokens >= milliTokens
}

func (l *rateLimit) take() {
	if l.perSecond > 0 {
		l.tokens -= milliTokens
	}
}
