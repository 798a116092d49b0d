package dfuchoice

import (
	"math"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Parameters of the expected response time.
const (
	// defaultServiceTime is used until a target's first load is known.
	defaultServiceTime = 20 * dfuclock.Millisecond
	// signalLifetime is the age at which a load is no longer used.
	signalLifetime = 100 * dfuclock.Millisecond
	// slowStart is the length of a cold target's slow start, in which its share
	// of requests grows.
	slowStart = 5 * dfuclock.Second
	// slowStartFloor is the share of requests at which a slow start begins.
	slowStartFloor = 0.1
	// smoothing is the weight of a new observation in a moving average.
	smoothing = 0.1
	// maxCorrection limits the factor by which observed latencies raise the
	// expected response time.
	maxCorrection = 20.0
	// correctionLifetime is the time since a target's last answer after which
	// its observed latencies are no longer used.
	correctionLifetime = 4 * dfuclock.Second
	// occupancyWeight is the cost of fully occupied slots, as a share of the
	// service time. It favors idle targets before any queue builds up.
	occupancyWeight = 0.2
	// refusedLoadPerSlot is the load per slot assumed for a target that refused
	// a request without reporting its load.
	refusedLoadPerSlot = 1.3
	// queueLifetime is how long a reported queue is assumed to last while
	// requests are refused.
	queueLifetime = dfuclock.Second
	// defaultSlots is used for a target that doesn't report its slots.
	defaultSlots = 8
)

// targetState is the Chooser's state for one incarnation of a target.
type targetState struct {
	target  Target
	service *serviceState
	// ownInFlight is the number of attempts in flight from this node.
	ownInFlight int
	// signal is the latest load reported by the target's node.
	signal signal
	// expected and observed are moving averages of the response times expected
	// at RecordSent and observed at RecordOutcome, in milliseconds. Their ratio
	// corrects for targets that are slower than their reported loads suggest.
	expected, observed float64
	// observedAt is the time of the last observed answer.
	observedAt dfuclock.Time
	// averageServiceTime is a slow moving average of the reported service time,
	// in milliseconds.
	averageServiceTime float64
	// slowdownState holds the target's reported slowdown.
	slowdownState slowdownState
	// admission estimates whether the target accepts requests.
	admission admission
	health    health
	// probationEndedAt is when the target's last probation ended.
	probationEndedAt dfuclock.Time
}

// signal is a reported Load with its age, and the part of it that is not caused
// by this node.
type signal struct {
	known bool
	// at is the time of the last report or refusal, and loadAt that of the last
	// report.
	at, loadAt dfuclock.Time
	load       Load
	// others is the number of requests at the target from other entry nodes.
	others float64
}

// newTargetState returns the initial state of a target.
func newTargetState(_ dfuclock.Time, target Target) *targetState {
	return &targetState{target: target}
}

// recordSent counts an attempt and updates the expected response time.
func (t *targetState) recordSent(now dfuclock.Time) {
	t.expected = average(t.expected, t.expectedResponse(now), t.observationWeight(now))
	t.ownInFlight++
	t.health.attemptsInFlight++
}

// recordDone removes an attempt from the count and updates the state with its
// outcome.
func (t *targetState) recordDone(now dfuclock.Time, f Feedback, network float64) {
	t.ownInFlight = max(0, t.ownInFlight-1)
	switch {
	case f.Load != nil:
		t.recordLoad(now, *f.Load)
	case f.Kind == FeedbackRefused:
		t.recordRefusal(now)
	}
	if f.Kind == FeedbackAnswered {
		t.observed = average(t.observed, max(0, float64(f.Latency)-network), t.observationWeight(now))
		t.observedAt = now
	}
	t.updateHealth(now, f.Kind)
	t.admission.record(now, f)
}

// recordRefusal handles a refusal without a load. The slots are assumed to be
// full, and a recently reported queue to be still there.
func (t *targetState) recordRefusal(now dfuclock.Time) {
	full := refusedLoadPerSlot * t.slots()
	if now.Sub(t.signal.loadAt) <= queueLifetime {
		full = max(full, t.signal.others)
	}
	t.signal.others = full
	t.signal.load.ServiceTime = dfuclock.Duration(t.baseServiceTime())
	t.signal.known, t.signal.at = true, now
}

// recordLoad records a load unless a newer one is known.
func (t *targetState) recordLoad(now dfuclock.Time, load Load) {
	if t.signal.known && int16(uint16(load.Sequence)-uint16(t.signal.load.Sequence)) < 0 {
		return
	}
	t.averageServiceTime = average(t.averageServiceTime, float64(load.ServiceTime), smoothing)
	t.slowdownState.record(now, load.Slowdown, t.maxReportGap())
	total := float64(load.InFlight) + float64(load.Queued)
	t.signal = signal{known: true, at: now, loadAt: now, load: load, others: max(0, total-float64(t.ownInFlight))}
}

// maxReportGap returns the time between two reports with the target slow up to which it counts
// as slow in between: a mean cycle of slow and normal periods, or any if most attempts are refused,
// since load then slows targets down for as long as it lasts.
func (t *targetState) maxReportGap() dfuclock.Duration {
	if t.service != nil && t.service.mostRefuse() {
		return math.MaxInt64
	}
	return meanSlowPeriod + meanNormalPeriod
}

// reportedLoad returns the number of requests in the last report.
func (t *targetState) reportedLoad() int {
	return int(t.signal.load.InFlight) + int(t.signal.load.Queued)
}

// expectedResponse returns the expected response time of the target for one
// more request, in milliseconds: the wait for a slot and the service time.
func (t *targetState) expectedResponse(now dfuclock.Time) float64 {
	slots := t.slots()
	service := t.serviceTime(now)
	outstanding := float64(t.ownInFlight) + t.others(now)
	wait := max(0, outstanding+1-slots) * service / slots
	return wait + service*(1+occupancyWeight*outstanding/slots)
}

// correctedResponse returns the expected response time corrected by observed
// latencies, in milliseconds. The correction decays with time, since a target
// that is avoided because of it yields no new observations.
func (t *targetState) correctedResponse(now dfuclock.Time) float64 {
	expectedResponse := t.expectedResponse(now)
	if t.expected == 0 || t.observed == 0 {
		return expectedResponse
	}
	correction := min(max(t.observed/t.expected, 1), maxCorrection)
	return expectedResponse * (1 + (correction-1)*linearDecay(now, t.observedAt, correctionLifetime))
}

// slots returns the number of slots of the target.
func (t *targetState) slots() float64 {
	if t.target.Slots > 0 {
		return float64(t.target.Slots)
	}
	return defaultSlots
}

// slowStartShare returns the share of requests that consider the target during
// its slow start. It is one for a warm target.
func (t *targetState) slowStartShare(now dfuclock.Time) float64 {
	since := max(t.target.ColdSince, t.probationEndedAt)
	if since == 0 {
		return 1
	}
	age := float64(now.Sub(since)) / float64(slowStart)
	return min(max(age, slowStartFloor), 1)
}

// serviceTime returns the expected time for which a request occupies a slot, in
// milliseconds. As the signal ages, it approaches baseServiceTime.
func (t *targetState) serviceTime(now dfuclock.Time) float64 {
	averageServiceTime := t.baseServiceTime()
	if !t.signal.known {
		return averageServiceTime
	}
	weight := t.signal.weight(now)
	return weight*float64(t.signal.load.ServiceTime) + (1-weight)*averageServiceTime
}

// baseServiceTime returns the expected service time in milliseconds without the
// latest signal.
func (t *targetState) baseServiceTime() float64 {
	if t.averageServiceTime > 0 {
		return t.averageServiceTime
	}
	return float64(defaultServiceTime)
}

// others returns the number of requests from other entry nodes. As the signal
// ages, it approaches zero.
func (t *targetState) others(now dfuclock.Time) float64 {
	return t.signal.weight(now) * t.signal.others
}

// weight returns the weight of a signal at its age, from zero to one.
func (s *signal) weight(now dfuclock.Time) float64 {
	if !s.known {
		return 0
	}
	return linearDecay(now, s.at, signalLifetime)
}

// networkTime returns the expected round-trip time from a place, in
// milliseconds.
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

// linearDecay returns the weight of an observation made at a given time. It
// falls linearly from one to zero over the lifetime.
func linearDecay(now, at dfuclock.Time, lifetime dfuclock.Duration) float64 {
	return min(max(1-float64(now.Sub(at))/float64(lifetime), 0), 1)
}

// observationWeight returns the weight of a new observation, which grows with
// the time since the last one.
func (t *targetState) observationWeight(now dfuclock.Time) float64 {
	return max(smoothing, 1-linearDecay(now, t.observedAt, correctionLifetime))
}

// average returns a moving average updated with a new observation.
func average(old, observation, weight float64) float64 {
	if old == 0 {
		return observation
	}
	return old + weight*(observation-old)
}
