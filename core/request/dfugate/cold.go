package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

// A target that is cold, as after its start, tolerates few requests per second from all
// nodes together. Only the gate can keep to that, since every request to the target passes
// through it.

// ColdLimit is what the target tolerates while it is cold. The zero value means that it
// isn't limited.
type ColdLimit struct {
	// Rate is the number of requests per second, and Burst the number that may exceed it
	// at once.
	Rate  Rate
	Burst float64
	// Start is how long the target is cold after its start.
	Start dfuclock.Duration
}

// NewColdLimit returns the limit for a target that tolerates a rate while it is cold and
// may get overage times that rate plus tolerance in any second.
func NewColdLimit(rate Rate, overage, tolerance float64, start dfuclock.Duration) ColdLimit {
	if rate <= 0 || overage <= 0 {
		return ColdLimit{}
	}
	bound := Rate(overage)*rate + Rate(tolerance)
	// In any second, the burst and the tokens of that second and of coldDelay may arrive.
	rate = min(Rate(overage)*rate, bound*3/4)
	spread := rate * Rate(dfuclock.Second+coldDelay) / Rate(dfuclock.Second)
	return ColdLimit{Rate: rate, Burst: float64(max(1, min(rate/2, bound-spread-1))), Start: start}
}

// coldDelay is how much longer a request may take from the gate to the target than another,
// while connections are set up and the VM is busy.
const coldDelay = 200 * dfuclock.Millisecond

// coldCheckInterval is how often a target that gets more requests than it would tolerate
// while cold is asked whether it is.
const coldCheckInterval = 250 * dfuclock.Millisecond

// cold limits the requests to a cold target.
type cold struct {
	limit ColdLimit
	// bucket is drawn from all the time, so that the requests of the second before the
	// target became cold count.
	bucket tokenBucket
	// until is when the target stops being cold, or zero.
	until dfuclock.Time
	// checkedAt is when the target last reported whether it is cold.
	checkedAt dfuclock.Time
}

// setLimit replaces the limit.
func (c *cold) setLimit(now dfuclock.Time, limit ColdLimit) {
	if limit == c.limit {
		return
	}
	if c.limit.Rate == 0 {
		c.bucket = tokenBucket{refilledAt: now, tokens: limit.Burst * milliTokensPerToken}
	}
	c.limit = limit
	c.bucket.rate, c.bucket.capacity = limit.Rate, limit.Burst*milliTokensPerToken
	c.bucket.wait(now, 0)
}

// assume treats the target as cold for as long as after a start, until it reports otherwise.
func (c *cold) assume(now dfuclock.Time) {
	c.extend(now.Add(c.limit.Start))
}

// extend treats the target as cold until at least the given time.
func (c *cold) extend(until dfuclock.Time) {
	c.until = max(c.until, until)
}

// observe records what the target reports.
func (c *cold) observe(now dfuclock.Time, remaining dfuclock.Duration) {
	c.until, c.checkedAt = now.Add(remaining), now
}

// wait returns the time until a cold target may have got n more requests; zero if it may
// now or is not cold.
func (c *cold) wait(now dfuclock.Time, n int) dfuclock.Duration {
	if c.limit.Rate == 0 || !now.Before(c.until) {
		return 0
	}
	return min(c.bucket.wait(now, n), c.until.Sub(now))
}

// take counts a request. It reports whether the target has to be asked whether it is cold.
func (c *cold) take(now dfuclock.Time) (check bool) {
	if c.limit.Rate == 0 {
		return false
	}
	exceeded := c.bucket.wait(now, 1) > 0
	c.bucket.take()
	// A debt of more than a second's tokens would count requests twice.
	c.bucket.tokens = max(c.bucket.tokens, -float64(c.limit.Rate)*milliTokensPerToken)
	return exceeded && now.Sub(c.checkedAt) >= coldCheckInterval
}

// ColdFor returns how much longer the target is cold, by its latest report; zero if it
// isn't or that doesn't limit its requests.
func (m *Machine) ColdFor(now dfuclock.Time) dfuclock.Duration {
	if m.cold.limit.Rate == 0 {
		return 0
	}
	return max(0, m.cold.until.Sub(now))
}

// observeCold records whether the target is cold, if it reports that.
func (m *Machine) observeCold(now dfuclock.Time, load TargetLoad) {
	if load.ColdKnown {
		m.cold.observe(now, load.ColdFor)
	}
}

// assumeCold treats the target as cold and asks it.
func (m *Machine) assumeCold(now dfuclock.Time) {
	if m.cold.limit.Rate == 0 {
		return
	}
	m.cold.assume(now)
	if m.target.up {
		m.requestLoad()
	}
}

// admitToCold enqueues the requests that wait for the target's load, as far as a cold target
// may get them now, and refuses the others, since they may go elsewhere.
func (m *Machine) admitToCold(now dfuclock.Time) {
	for len(m.awaitingLoad) > 0 && m.cold.wait(now, m.queue.length+1) == 0 {
		r := m.awaitingLoad[0]
		m.awaitingLoad = m.awaitingLoad[1:]
		m.enqueue(r)
	}
	for len(m.awaitingLoad) > 0 {
		m.refuse(m.awaitingLoad[0], dfuoutcome.NotRun, dfuoutcome.ReasonTargetCold)
	}
}
