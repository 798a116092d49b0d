package dfudispatch

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// hedgeCounters counts hedges by what became of them.
type hedgeCounters struct {
	// sent counts hedges, refused those that a gate refused, and won those whose answer
	// was returned.
	sent, refused, won metrics.Counter
	// canceled counts the attempts of hedged requests that were canceled because another
	// one was answered, and wasted the time for which they lasted, in ms.
	canceled, wasted metrics.Counter
}

func newHedgeCounters(r metrics.Registry) hedgeCounters {
	return hedgeCounters{
		sent:     metrics.GetOrRegisterCounter("entry.hedges.sent", r),
		refused:  metrics.GetOrRegisterCounter("entry.hedges.refused", r),
		won:      metrics.GetOrRegisterCounter("entry.hedges.won", r),
		canceled: metrics.GetOrRegisterCounter("entry.hedges.canceled", r),
		wasted:   metrics.GetOrRegisterCounter("entry.hedges.wasted_ms", r),
	}
}

func (d *Dispatcher) countHedge(r *request, a dfuattempt.Send) {
	if a.Reason == dfuattempt.SendHedge {
		r.hedges = append(r.hedges, a.ID)
		d.hedges.sent.Inc(1)
	}
}

// countHedgeRefusal counts a hedge that did not run.
func (d *Dispatcher) countHedgeRefusal(a *attempt, result attemptResult) {
	e, ok := result.event.(dfuattempt.Replied)
	if ok && a != nil && e.Outcome == dfuoutcome.NotRun && slices.Contains(a.request.hedges, result.id) {
		d.hedges.refused.Inc(1)
	}
}

// countHedgeEnd counts and logs the end of a request of which a hedge or the attempt before
// it is canceled.
func (d *Dispatcher) countHedgeEnd(r *request, end dfuattempt.Finish) {
	if len(r.hedges) == 0 || end.Outcome != dfuoutcome.Answered {
		return
	}
	won := slices.Contains(r.hedges, end.ID)
	if won {
		d.hedges.won.Inc(1)
	}
	var wasted dfuclock.Duration
	canceled := 0
	for _, id := range r.sent {
		if a := d.attempts[id]; a != nil && id != end.ID {
			canceled++
			wasted += d.deps.Clock.Now().Sub(a.sent)
		}
	}
	d.hedges.canceled.Inc(int64(canceled))
	d.hedges.wasted.Inc(int64(wasted))
	d.deps.Log.Info("hedged", zap.String("caller_request", r.call.CallerRequest), zap.Stringer("request_id", end.ID),
		zap.Bool("won", won), zap.Int("canceled", canceled), zap.Stringer("wasted", wasted))
}
