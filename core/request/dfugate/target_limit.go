package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

// A target can advertise a rate limit in its answers. It applies to all nodes together and
// lasts while the answers advertise it. Only the gate enforces it, since every request to
// the target passes through the gate, whichever entry node it comes from.

const (
	// limitBurst is the time whose tokens may be spent at once. It evens out
	// random arrivals and is short enough that a gate that starts again, with a new
	// bucket, doesn't exceed the limit by much.
	limitBurst = 250 * dfuclock.Millisecond
	// minTargetRate is the lowest rate that the gate applies. The answer to a request
	// is what shows that a limit no longer applies, so some requests must pass.
	minTargetRate = Rate(0.2)
)

// targetLimit enforces the rate limit that the target advertises.
type targetLimit struct {
	// bucket has a rate of zero while there is no limit.
	bucket tokenBucket
	// advertisedAt is when the target last advertised the limit.
	advertisedAt dfuclock.Time
}

// update records an advertised limit. The bucket is empty at first, since the target has
// just received more requests than it accepts.
func (l *targetLimit) update(now dfuclock.Time, rate Rate) {
	rate = max(rate, minTargetRate)
	l.advertisedAt = now
	if l.bucket.rate == 0 {
		l.bucket = tokenBucket{refilledAt: now}
	}
	l.bucket.wait(now, 0)
	l.bucket.rate = rate
	l.bucket.capacity = max(milliTokensPerToken, float64(rate)*float64(limitBurst))
	l.bucket.tokens = min(l.bucket.tokens, l.bucket.capacity)
}

// observe records the limit in the answer to a request that was handed over at started, or
// zero if the answer has none. Answers can overtake each other, so the limit ends only with
// the answer to a request that was handed over after the limit was last advertised.
func (l *targetLimit) observe(now, started dfuclock.Time, rate Rate) {
	switch {
	case rate > 0:
		l.update(now, rate)
	case l.bucket.rate > 0 && !started.Before(l.advertisedAt):
		l.bucket = tokenBucket{}
	}
}

// TargetLimit returns the rate limit that the target advertises, or zero.
func (m *Machine) TargetLimit() Rate {
	return m.targetLimit.bucket.rate
}

// tokenWait returns the time until the target's rate limit and its coldness permit n more
// requests.
func (m *Machine) tokenWait(now dfuclock.Time, n int) dfuclock.Duration {
	return max(m.targetLimit.bucket.wait(now, n), m.cold.wait(now, n))
}

// limitRefusal returns the reason to refuse a request because of the target's rate limit or
// because the target is cold: if it may not wait, or if it would wait too long. It returns
// ReasonNone if there is none.
func (m *Machine) limitRefusal(now dfuclock.Time, r *request) dfuoutcome.Reason {
	n := m.ahead(r.class) + 1
	switch {
	case m.exceedsWait(now, r, m.targetLimit.bucket.wait(now, n)):
		return dfuoutcome.ReasonTargetLimited
	case m.exceedsWait(now, r, m.cold.wait(now, n)):
		return dfuoutcome.ReasonTargetCold
	default:
		return dfuoutcome.ReasonNone
	}
}

// exceedsWait reports whether a request has to be refused because of a wait.
func (m *Machine) exceedsWait(now dfuclock.Time, r *request, wait dfuclock.Duration) bool {
	switch {
	case wait == 0:
		return false
	case r.noWait:
		return true
	case r.objective > 0 && !r.nested:
		return r.objective.Before(now.Add(wait + m.conservative(r.kind)))
	default:
		return r.deadline.Before(now.Add(wait + m.expectedRunTime(r)))
	}
}

// nextTokenAt returns when the limits permit the next queued request, or false if they
// don't delay any.
func (m *Machine) nextTokenAt() (dfuclock.Time, bool) {
	if m.queue.length == 0 || len(m.running) >= m.slots() {
		return 0, false
	}
	wait := m.tokenWait(m.now, 1)
	return m.now.Add(wait), wait > 0
}

// queuedWithLimit returns the number of queued requests to report to entry nodes. Under a
// limit, it is the length of the queue that would cause the same wait.
func (m *Machine) queuedWithLimit() int {
	queued := m.waiting()
	wait := m.tokenWait(m.now, m.ahead(ClassCount-1)+1)
	if wait == 0 {
		return queued
	}
	slots := m.slots()
	perSlot := max(m.meanServiceTime.mean(), dfuclock.Millisecond)
	return max(queued, slots-len(m.running)+int(wait*dfuclock.Duration(slots)/perSlot))
}
