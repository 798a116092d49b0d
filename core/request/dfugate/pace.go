package dfugate

import (
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

const (
	// paceLifetime is how long what a target tells of its pace is taken to hold: a
	// small part of the 150 ms for which neighbors on its VM slow it down at a time.
	paceLifetime = 20 * dfuclock.Millisecond
	// slowPercent is the time of work, in percent of the usual, from which a
	// target counts as slow.
	slowPercent = 200
	// baseSpan is how long the least slowdown that was told counts at least as the
	// target's own pace: several times as long as a spell of 150 ms.
	baseSpan = dfuclock.Second
	// usualPercent is the time of work at the usual pace.
	usualPercent = 100
	// askInterval is how often a target that is slow is asked again while requests
	// wait for it: a seventh of a spell, so that little of the calm is missed.
	askInterval = 20 * dfuclock.Millisecond
	// holdSlow is how long requests wait for a spell to end: four spells that follow
	// each other at once, which is rare where a third of the time is slow.
	holdSlow = 600 * dfuclock.Millisecond
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
	// asked says that the target has been asked and has not answered yet, askAt when
	// it is asked again, or zero.
	asked bool
	askAt dfuclock.Time
	// silentAt is when the target last did not answer, or zero.
	silentAt dfuclock.Time
	// slowSince is since when all that the target told was slow, or zero.
	slowSince dfuclock.Time
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
	switch {
	case !p.slow():
		p.slowSince = 0
	case p.slowSince == 0:
		p.slowSince = now
		fallthrough
	default:
		p.disturbances++
	}
}

// holds reports whether waiting requests are to be held back: the target is slow, and
// what begins now takes several times as long in its slot as after the spell.
func (p *pace) holds(now dfuclock.Time) bool {
	return p.slow() && p.slowSince != 0 && now.Sub(p.slowSince) < holdSlow
}

// mayDispatch reports whether waiting requests may be handed over, and asks the target
// for its pace where that decides.
func (m *Machine) mayDispatch(now dfuclock.Time) bool {
	p := &m.pace
	p.askAt = 0
	unknown := !p.fresh(now) && (p.silentAt == 0 || now.Sub(p.silentAt) > paceLifetime)
	switch {
	case !p.told || m.queue.length == 0 || len(m.running) >= m.slots():
		return true
	case unknown:
		m.ask()
		return false
	case p.fresh(now) && p.holds(now):
		if next := p.at.Add(askInterval); now.Before(next) {
			p.askAt = next
		} else {
			m.ask()
		}
		return false
	default:
		return true
	}
}

// ask asks the target for its load unless it is being asked.
func (m *Machine) ask() {
	if !m.pace.asked {
		m.pace.asked = true
		m.emit(AskTarget{})
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
	m.ask()
}

// targetTold takes the target's load and decides on the requests that wait for
// it.
func (m *Machine) targetTold(now dfuclock.Time, load TargetLoad) {
	m.pace.asked = false
	m.pace.silentAt = 0
	if load.Slowdown > 0 && !m.cfg.IgnorePace {
		m.pace.note(now, load.Slowdown)
	}
	if !m.pace.slow() {
		m.letIn()
		return
	}
	for _, r := range slices.Clone(m.asking) {
		m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonTargetSlow)
	}
}

// targetSilent lets in the requests that wait for the target's load.
func (m *Machine) targetSilent(now dfuclock.Time) {
	m.pace.asked = false
	m.pace.silentAt = now
	m.letIn()
}

// letIn lets in the requests that wait for the target's load.
func (m *Machine) letIn() {
	for _, r := range m.asking {
		m.enqueue(r)
	}
	m.asking = m.asking[:0]
}
