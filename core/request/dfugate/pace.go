package dfugate

import (
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

const (
	// paceLifetime is how long what a target tells of its pace is taken to hold.
	// Neighbors on its VM slow a target down for some 150 ms at a time.
	paceLifetime = 40 * dfuclock.Millisecond
	// slowPercent is the time of work, in percent of the usual, from which a
	// target counts as slow.
	slowPercent = 200
	// baseSpan is how long the least slowdown that was told counts at least as the
	// target's own pace: several times as long as a spell of 150 ms.
	baseSpan = dfuclock.Second
	// usualPercent is the time of work at the usual pace.
	usualPercent = 100
)

// pace is what the target told last of how long its work takes at the moment.
type pace struct {
	// told says that the target tells its pace at all.
	told     bool
	slowdown int
	at       dfuclock.Time
	// disturbances counts how often the target told that it is slow.
	disturbances int
	// least and leastBefore are the least slowdowns told in the present and in
	// the former span of baseSpan, spanBegan is when the present one began.
	least, leastBefore int
	spanBegan          dfuclock.Time
	// asked says that the target has been asked and has not answered yet.
	asked bool
}

// fresh reports whether the pace still holds.
func (p *pace) fresh(now dfuclock.Time) bool {
	return p.told && now.Sub(p.at) <= paceLifetime
}

// recent returns the slowdown while it still holds, otherwise zero.
func (p *pace) recent(now dfuclock.Time) uint16 {
	if !p.fresh(now) {
		return 0
	}
	return uint16(min(p.slowdown, math.MaxUint16))
}

// calm returns how long a run took at the usual pace, or false if the target told
// meanwhile that it was slow, so that this isn't known.
func (p *pace) calm(took dfuclock.Duration, disturbances int) (workTime, bool) {
	if p.disturbances != disturbances || p.slow() {
		return 0, false
	}
	return workTime(took) * usualPercent / workTime(max(p.slowdown, usualPercent)), true
}

// slow reports whether the target was slow when it told its pace, compared with its
// own pace of late: one that has just started is slow all the time, and turning away
// all that could go elsewhere would help nobody.
func (p *pace) slow() bool {
	return p.slowdown >= slowPercent*max(p.base(), usualPercent)/usualPercent
}

// base returns the least slowdown told lately.
func (p *pace) base() int {
	if p.leastBefore > 0 {
		return min(p.least, p.leastBefore)
	}
	return p.least
}

// note takes what the target told.
func (p *pace) note(now dfuclock.Time, slowdown int) {
	p.told = true
	p.slowdown = slowdown
	p.at = now
	if p.least == 0 || now.Sub(p.spanBegan) >= baseSpan {
		p.leastBefore, p.least = p.least, slowdown
		p.spanBegan = now
	}
	p.least = min(p.least, slowdown)
	if p.slow() {
		p.disturbances++
	}
}

// enqueueOnceTold lets a request in that looks for a target with a free slot. If
// the target's pace isn't known, the request first waits until the target has
// been asked, since its entry node may find a faster one.
func (m *Machine) enqueueOnceTold(now dfuclock.Time, r *record) {
	if !r.noWait || !m.pace.told || m.pace.fresh(now) {
		m.enqueue(r)
		return
	}
	r.state = stateAsking
	m.asking = append(m.asking, r)
	if !m.pace.asked {
		m.pace.asked = true
		m.emit(AskTarget{})
	}
}

// targetTold takes the target's load and decides on the requests that wait for
// it.
func (m *Machine) targetTold(now dfuclock.Time, load TargetLoad) {
	m.pace.asked = false
	if load.Slowdown > 0 && !m.cfg.IgnorePace {
		m.pace.note(now, load.Slowdown)
	}
	if !m.pace.slow() {
		m.targetSilent()
		return
	}
	for _, r := range slices.Clone(m.asking) {
		m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonTargetSlow)
	}
}

// targetSilent lets in the requests that wait for the target's load.
func (m *Machine) targetSilent() {
	m.pace.asked = false
	for _, r := range m.asking {
		m.enqueue(r)
	}
	m.asking = m.asking[:0]
}
