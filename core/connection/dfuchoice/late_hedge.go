package dfuchoice

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
)

const (
	// lateLifetime is how long a latency is used to time hedges.
	lateLifetime = 10 * dfuclock.Second
	// lateSortInterval is the minimum time between two updates of the sorted latencies.
	lateSortInterval = 250 * dfuclock.Millisecond
	// outrun is the latency recorded for an attempt that another attempt of its request
	// outran: it is longer than all others.
	outrun = dfuclock.Duration(1<<62 - 1)
	// maxHedgeRefusalRate is the refusal rate above which no hedges are sent. If targets
	// refuse more attempts than they accept, a hedge takes the place of a request.
	maxHedgeRefusalRate = 0.5
)

// lateWindow holds the most recent latencies of one kind of request.
type lateWindow struct {
	samples [latencySamples]lateSample
	next    int
	// sorted holds the latencies in ascending order, as of sortedAt.
	sorted   []dfuclock.Duration
	sortedAt dfuclock.Time
}

type lateSample struct {
	at      dfuclock.Time
	latency dfuclock.Duration
}

// add records a latency, overwriting the oldest.
func (w *lateWindow) add(now dfuclock.Time, latency dfuclock.Duration) {
	w.samples[w.next] = lateSample{now, latency}
	w.next = (w.next + 1) % latencySamples
}

// recent returns the sorted latencies of the last lateLifetime.
func (w *lateWindow) recent(now dfuclock.Time) []dfuclock.Duration {
	if w.sortedAt != 0 && now.Sub(w.sortedAt) < lateSortInterval {
		return w.sorted
	}
	w.sortedAt = now
	w.sorted = w.sorted[:0]
	for _, s := range w.samples {
		if s.at != 0 && now.Sub(s.at) <= lateLifetime {
			w.sorted = append(w.sorted, s.latency)
		}
	}
	slices.Sort(w.sorted)
	return w.sorted
}

// recordLate records the latency of an attempt of a kind that is hedged. An attempt that was
// canceled for another reason than a faster one says nothing about its latency.
func (s *serviceState) recordLate(now dfuclock.Time, f Feedback) {
	k := s.kinds[f.RequestKind]
	if k == nil || k.late == nil {
		return
	}
	switch {
	case f.Kind == FeedbackAnswered:
		k.late.add(now, f.Latency)
	case f.Outrun:
		k.late.add(now, outrun)
	}
}

// updateFullRate updates the share of attempts that met a target without a free slot. Any
// other refusal comes from a target that has one.
func (s *serviceState) updateFullRate(f Feedback) {
	switch {
	case f.Full:
		s.fullRate += refusalSmoothing * (1 - s.fullRate)
	case f.Kind == FeedbackAnswered, f.Kind == FeedbackRefused:
		s.fullRate -= refusalSmoothing * s.fullRate
	}
}

// LateHedgeAfter returns the time after which a request that is still unanswered is worth a
// hedge, if hedges are limited to a share of the requests. It returns false if no hedge is
// expected to help: the kind's answers are in time, a hedge would be late too, or the
// service has no capacity for it.
func (c *Chooser) LateHedgeAfter(now dfuclock.Time, q Query, share float64) (dfuclock.Duration, bool) {
	state := c.services[q.Service]
	if state == nil || !q.Idempotent || q.Objective <= 0 || state.refusalRate > maxHedgeRefusalRate {
		return 0, false
	}
	k := state.kinds[q.Kind]
	if k == nil {
		return 0, false
	}
	if k.late == nil {
		k.late = &lateWindow{}
	}
	latencies := k.late.recent(now)
	if len(latencies) < latencySamples/4 {
		return 0, false
	}
	return hedgeTime(latencies, q.Objective, share, state.fullRate)
}

// hedgeTime returns the wait after which hedges save most answers from missing the
// objective. After a wait w, a share s of the attempts is still unanswered, and of these l
// would miss the objective. A hedge is in time with the probability p that an attempt takes
// less than what is left of the objective. As many hedges are sent as the limit allows, and
// each saves l·p answers. A shorter wait raises p and lowers l. A hedge takes a slot that a
// request may need: it must save more than the probability that no slot is free.
func hedgeTime(latencies []dfuclock.Duration, objective dfuclock.Duration, share, fullRate float64) (dfuclock.Duration, bool) {
	n := len(latencies)
	late := n - countUpTo(latencies, objective)
	var best dfuclock.Duration
	mostSaved := 0.0
	for _, wait := range latencies {
		if wait >= objective {
			break
		}
		unanswered := n - countUpTo(latencies, wait)
		if unanswered == 0 {
			break
		}
		inTime := float64(countUpTo(latencies, objective-wait)) / float64(n)
		sent := min(share*float64(n), float64(unanswered))
		gain := float64(late) / float64(unanswered) * inTime
		if saved := sent * gain; gain > fullRate && saved >= mostSaved {
			best, mostSaved = wait, saved
		}
	}
	return best + 1, mostSaved > 0
}

// countUpTo returns the number of sorted latencies that are not above the limit.
func countUpTo(latencies []dfuclock.Duration, limit dfuclock.Duration) int {
	i, _ := slices.BinarySearch(latencies, limit+1)
	return i
}

// hedgeCandidates returns the candidates that are expected to run a hedge at once at normal
// speed: in the entry node's region, warm, healthy, with a free slot and not slowed down. It
// returns none if most targets fail.
func (c *Chooser) hedgeCandidates(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState) []*targetState {
	if state.mostTargetsFail() || state.refusalRate > maxHedgeRefusalRate {
		return nil
	}
	return slices.DeleteFunc(candidates, func(t *targetState) bool {
		return t.target.Place.Region != q.From.Region ||
			slices.Contains(q.Excluded, t.target.Member.Node) ||
			t.health.state != healthy || t.health.failureRate >= failureRateLimit ||
			t.slowStartShare(now) < 1 ||
			t.isBusy(now) || t.slowdownState.isSlow(now)
	})
}

// isBusy reports whether the target is expected to have no free slot.
func (t *targetState) isBusy(now dfuclock.Time) bool {
	return float64(t.ownInFlight)+t.others(now)+1 > t.slots()
}

// isSlow reports whether the target was slowed down when last reported, and that slow period
// is expected to last.
func (s *slowdownState) isSlow(now dfuclock.Time) bool {
	return s.known && s.slowdown >= slowPercent && float64(now.Sub(s.at)) < max(meanSlowPeriod, float64(s.at.Sub(s.slowSince)))
}
