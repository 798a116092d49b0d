package dfuadmission

import (
	"context"
	"time"

	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/io/connection/dfutarget"

	"go.uber.org/zap"
)

// SetTarget puts a new local target in place; client is nil if it has gone.
func (d *Duty) SetTarget(client *dfutarget.Client, event dfugate.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.client != nil {
		d.client.Close()
	}
	d.client = client
	d.step(event)
}

// handOver orders the goroutine of an offer to run it on the target.
func (d *Duty) handOver(a dfugate.RunOnTarget) {
	r := d.pending[a.ID]
	r.handed = d.deps.Clock.Now()
	d.deps.Times.Record("gate.wait", r.handed.Sub(r.arrived))
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	d.running[r.offer.CallerRequest]++
	d.runs.Inc(1)
	r.span.AddEvent("handed_over")
	r.wake <- order{ctx: ctx, client: d.client, remaining: a.Remaining}
}

// askTimeout bounds the asking of the target for its load. A target answers such
// a question at once.
const askTimeout = 20 * time.Millisecond

// healthPathPoll is how often a question that waits for the routes looks for them: no
// request comes before.
const healthPathPoll = 100 * time.Millisecond

// awaitHealthPath returns where the target tells its load, once the routes are known, or
// nothing if the node stops before.
func (d *Duty) awaitHealthPath() string {
	for {
		path := d.deps.HealthPath()
		d.mu.Lock()
		stopped := d.stopped
		d.mu.Unlock()
		if path != "" || stopped {
			return path
		}
		time.Sleep(healthPathPoll)
	}
}

// askTarget asks the target for its load.
func (d *Duty) askTarget() {
	var event dfugate.Event = dfugate.TargetSilent{}
	path := ""
	if d.deps.TellsLoad {
		path = d.awaitHealthPath()
	}
	d.mu.Lock()
	client := d.client
	d.mu.Unlock()
	if path != "" && client != nil {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		load, err := client.Ask(ctx, path)
		if err == nil {
			event = dfugate.TargetTold{Load: load}
		} else {
			d.deps.Log.Debug("target did not tell its load", zap.Error(err))
		}
	}
	d.Notify(event)
}

// runOnTarget runs an offer on the target and reports its end.
func (d *Duty) runOnTarget(r *run, o order) {
	defer r.cancel()
	handed := d.deps.Clock.Now()
	var result dfutarget.Result
	var event dfugate.Event = dfugate.TargetFailed{ID: r.offer.ID, Refused: true}
	crashed := false
	var failure error
	if o.client != nil {
		var err error
		result, err = o.client.Run(o.ctx, r.offer, o.remaining)
		failure = err
		switch dfutarget.Classify(result, err) {
		case dfutarget.EndAnswered:
			event = dfugate.TargetDone{ID: r.offer.ID, Failed: result.Answer.BlamesTarget()}
		case dfutarget.EndNotRun:
		case dfutarget.EndInterrupted:
			crashed = o.ctx.Err() == nil && !o.client.Reachable()
			event = dfugate.TargetFailed{ID: r.offer.ID, Died: crashed}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deps.Times.Record("gate.run", d.deps.Clock.Now().Sub(handed))
	if d.running[r.offer.CallerRequest]--; d.running[r.offer.CallerRequest] <= 0 {
		delete(d.running, r.offer.CallerRequest)
	}
	r.answer = result.Answer
	r.failure = failure
	if result.Remark.Load != nil {
		d.step(dfugate.TargetTold{Load: *result.Remark.Load})
	}
	d.step(event)
	if result.Remark.Replaced && o.client == d.client {
		d.deps.Log.Warn("another instance answers at the target's address",
			zap.String("instance", string(o.client.Instance())))
		d.step(dfugate.TargetWithdrawn{})
	}
	if crashed {
		d.step(dfugate.TargetCrashed{})
	}
}
