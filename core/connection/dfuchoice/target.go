package dfuchoice

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Parameters of the expected response time.
const (
	// defaultServiceTime stands in until a target's first load or answer.
	defaultServiceTime = 20 * dfuclock.Millisecond
	// signalLifetime is the age at which a load says nothing more.
	signalLifetime = 100 * dfuclock.Millisecond
	// slowStart is how long a cold target's share of requests grows.
	slowStart = 5 * dfuclock.Second
	// slowStartFloor is the share of requests that a cold target starts at.
	slowStartFloor = 0.1
	// smoothing is the weight of a new observation in a moving average.
	smoothing = 0.1
	// maxCorrection bounds how far observed latencies raise an expectation.
	maxCorrection = 20.0
	// correctionLifetime is how long after its last answer a target's observed
	// latencies count.
	correctionLifetime = 4 * dfuclock.Second
	// occupancy is the part of a service time that full slots are worth, so
	// that free targets are preferred before any queue builds up.
	occupancy = 0.2
	// refusedOccupancy is the load, in slots, of a target that refused a
	// request without telling its load.
	refusedOccupancy = 1.3
	// queueLifetime is how long the queue that a load told of is taken to last
	// while requests are refused.
	queueLifetime = dfuclock.Second
	// defaultSlots stands in for a target that doesn't tell its slots.
	defaultSlots = 8
)

// targetState is what the Chooser knows of one incarnation of a target.
type targetState struct {
	target  Target
	service *serviceState
	// own counts the attempts in flight from this node.
	own int
	// signal is the freshest load that the target's node told.
	signal signal
	// expected and observed are moving averages in milliseconds of the
	// response times at Sent and at Done; their ratio corrects a target whose
	// loads promise more than it keeps.
	expected, observed float64
	// observedAt is when an answer last was observed.
	observedAt dfuclock.Time
	// usual is a slow moving average of the reported service time.
	usual float64
	// pace is what is known of how fast the target works.
	pace pace
	// room is what is known of whether the target lets requests in.
	room   room
	health health
	// returned is when the target ended its last probation.
	returned dfuclock.Time
}

// signal is a Load with its age and without this node's own part.
type signal struct {
	known bool
	// at is when the load or a refusal without one came, toldAt when the load
	// did.
	at, toldAt dfuclock.Time
	load       Load
	// others is the load that other entry nodes put on the target.
	others float64
}

// newTargetState returns the state of a target that nothing is known of.
func newTargetState(_ dfuclock.Time, target Target) *targetState {
	return &targetState{target: target}
}

// noteSent counts an attempt and remembers what was expected of it.
func (t *targetState) noteSent(now dfuclock.Time) {
	t.expected = average(t.expected, t.response(now), t.freshness(now))
	t.own++
	t.health.trials++
}

// noteDone uncounts an attempt and learns from its end.
func (t *targetState) noteDone(now dfuclock.Time, f Feedback, network float64) {
	t.own = max(0, t.own-1)
	switch {
	case f.Load != nil:
		t.noteLoad(now, *f.Load)
	case f.Kind == FeedbackRefused:
		t.noteFull(now)
	}
	if f.Kind == FeedbackAnswered {
		t.observed = average(t.observed, max(0, float64(f.Latency)-network), t.freshness(now))
		t.observedAt = now
	}
	t.noteHealth(now, f.Kind)
	t.room.note(now, f)
}

// noteFull takes a refusal without a load: the slots are full, and what a load
// told of the queue not long ago still holds.
func (t *targetState) noteFull(now dfuclock.Time) {
	full := refusedOccupancy * t.slots()
	if now.Sub(t.signal.toldAt) <= queueLifetime {
		full = max(full, t.signal.others)
	}
	t.signal.others = full
	t.signal.load.ServiceTime = dfuclock.Duration(t.usualService())
	t.signal.known, t.signal.at = true, now
}

// noteLoad takes a load unless a newer one is known.
func (t *targetState) noteLoad(now dfuclock.Time, load Load) {
	if t.signal.known && int16(uint16(load.Sequence)-uint16(t.signal.load.Sequence)) < 0 {
		return
	}
	t.usual = average(t.usual, float64(load.ServiceTime), smoothing)
	t.pace.note(now, load.Slowdown)
	total := float64(load.InFlight) + float64(load.Queued)
	t.signal = signal{known: true, at: now, toldAt: now, load: load, others: max(0, total-float64(t.own))}
}

// reported returns the load of the last report.
func (t *targetState) reported() int {
	return int(t.signal.load.InFlight) + int(t.signal.load.Queued)
}

// response returns the expected time in milliseconds that the target takes for
// one more request: the wait for a slot and the service time.
func (t *targetState) response(now dfuclock.Time) float64 {
	slots := t.slots()
	service := t.serviceTime(now)
	outstanding := float64(t.own) + t.others(now)
	wait := max(0, outstanding+1-slots) * service / slots
	return wait + service*(1+occupancy*outstanding/slots)
}

// corrected returns the response time raised by what was observed. The raise
// fades, since a target that is avoided for it yields no new observations.
func (t *targetState) corrected(now dfuclock.Time) float64 {
	response := t.response(now)
	if t.expected == 0 || t.observed == 0 {
		return response
	}
	correction := min(max(t.observed/t.expected, 1), maxCorrection)
	return response * (1 + (correction-1)*remaining(now, t.observedAt, correctionLifetime))
}

// slots returns the slots of the target.
func (t *targetState) slots() float64 {
	if t.target.Slots > 0 {
		return float64(t.target.Slots)
	}
	return defaultSlots
}

// warmth returns the share of the requests that a target's slow start lets it
// take part in, one for a warm target.
func (t *targetState) warmth(now dfuclock.Time) float64 {
	since := max(t.target.ColdSince, t.returned)
	if since == 0 {
		return 1
	}
	age := float64(now.Sub(since)) / float64(slowStart)
	return min(max(age, slowStartFloor), 1)
}

// serviceTime returns the time in milliseconds that a request holds a slot. As
// the signal ages, it moves to the usual time.
func (t *targetState) serviceTime(now dfuclock.Time) float64 {
	usual := t.usualService()
	if !t.signal.known {
		return usual
	}
	weight := t.signal.weight(now)
	return weight*float64(t.signal.load.ServiceTime) + (1-weight)*usual
}

// usualService returns what is known of the service time without a signal.
func (t *targetState) usualService() float64 {
	if t.usual > 0 {
		return t.usual
	}
	return float64(defaultServiceTime)
}

// others returns the load by other entry nodes. As the signal ages, it moves
// to nothing.
func (t *targetState) others(now dfuclock.Time) float64 {
	return t.signal.weight(now) * t.signal.others
}

// weight returns how far a signal is to be believed at its age.
func (s *signal) weight(now dfuclock.Time) float64 {
	if !s.known {
		return 0
	}
	return remaining(now, s.at, signalLifetime)
}

// networkTime returns the round trip in milliseconds from a place.
func (t *targetState) networkTime(from dfuident.Place, delays Delays) float64 {
	switch {
	case t.target.Place == from:
		return 2 * float64(delays.SameZone)
	case t.target.Place.Region == from.Region:
		return 2 * float64(delays.SameRegion)
	default:
		return 2 * float64(delays.FarRegion)
	}
}

// remaining returns how far something that was learned at a time still counts:
// from one at first to zero at the end of its lifetime.
func remaining(now, at dfuclock.Time, lifetime dfuclock.Duration) float64 {
	return min(max(1-float64(now.Sub(at))/float64(lifetime), 0), 1)
}

// freshness returns the weight of a new observation, which grows with the time
// since the last one.
func (t *targetState) freshness(now dfuclock.Time) float64 {
	return max(smoothing, 1-remaining(now, t.observedAt, correctionLifetime))
}

// average returns a moving average with a new observation of a weight.
func average(old, observation, weight float64) float64 {
	if old == 0 {
		return observation
	}
	return old + weight*(observation-old)
}
