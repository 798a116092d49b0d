package dfuadmission

import (
	"context"
	"time"

	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/io/connection/dfutarget"

	"go.uber.org/zap"
)

// SetTarget replaces the local target and passes event to the machine. The client
// is nil if the target was withdrawn.
func (d *Duty) SetTarget(client *dfutarget.Client, event dfugate.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.client != nil {
		d.client.Close()
	}
	d.client = client
	d.step(event)
}

// startRun instructs the goroutine of an offer to run the request on the target.
func (d *Duty) startRun(a dfugate.RunOnTarget) {
	p := d.pending[a.ID]
	p.runStarted = d.deps.Clock.Now()
	d.deps.Times.Record("gate.wait", p.runStarted.Sub(p.arrived))
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	d.running[p.offer.CallerRequest]++
	d.runs.Inc(1)
	p.span.AddEvent("handed_over")
	p.instructions <- instruction{ctx: ctx, client: d.client, remaining: a.Remaining}
}

// loadQueryTimeout bounds a query for the target's load, which a target is expected
// to answer immediately.
const loadQueryTimeout = 20 * time.Millisecond

// healthPathPollInterval is how often a load query that waits for the routes checks
// for them. No request can arrive before the routes are known.
const healthPathPollInterval = 100 * time.Millisecond

// awaitHealthPath waits until the routes are known and returns the path at which
// the target reports its load. It returns the empty string if the node stops first.
func (d *Duty) awaitHealthPath() string {
	for {
		path := d.deps.HealthPath()
		d.mu.Lock()
		stopped := d.stopped
		d.mu.Unlock()
		if path != "" || stopped {
			return path
		}
		time.Sleep(healthPathPollInterval)
	}
}

// queryLoad queries the target for its load and passes the result to the machine.
func (d *Duty) queryLoad() {
	var event dfugate.Event = dfugate.TargetLoadUnavailable{}
	path := ""
	if d.deps.TellsLoad {
		path = d.awaitHealthPath()
	}
	d.mu.Lock()
	client := d.client
	d.mu.Unlock()
	if path != "" && client != nil {
		ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
		defer cancel()
		load, err := client.Ask(ctx, path)
		if err == nil {
			event = dfugate.TargetLoadReported{Load: load}
		} else {
			d.deps.Log.Debug("target load query failed", zap.Error(err))
		}
	}
	d.Notify(event)
}

// runOnTarget runs a request on the target and passes the result to the machine.
func (d *Duty) runOnTarget(p *pendingOffer, instr instruction) {
	defer p.cancel()
	start := d.deps.Clock.Now()
	var result dfutarget.Result
	var event dfugate.Event = dfugate.TargetFailed{ID: p.offer.ID, Refused: true}
	crashed := false
	var targetErr error
	if instr.client != nil {
		var err error
		result, err = instr.client.Run(instr.ctx, p.offer, instr.remaining)
		targetErr = err
		switch dfutarget.Classify(result, err) {
		case dfutarget.EndAnswered:
			event = dfugate.TargetDone{ID: p.offer.ID, Failed: result.Answer.IsServerError()}
		case dfutarget.EndNotRun:
		case dfutarget.EndInterrupted:
			crashed = instr.ctx.Err() == nil && !instr.client.Reachable()
			event = dfugate.TargetFailed{ID: p.offer.ID, Died: crashed}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deps.Times.Record("gate.run", d.deps.Clock.Now().Sub(start))
	if d.running[p.offer.CallerRequest]--; d.running[p.offer.CallerRequest] <= 0 {
		delete(d.running, p.offer.CallerRequest)
	}
	p.answer = result.Answer
	p.targetErr = targetErr
	if result.Remark.Load != nil {
		d.step(dfugate.TargetLoadReported{Load: *result.Remark.Load})
	}
	d.step(event)
	if result.Remark.Replaced && instr.client == d.client {
		d.deps.Log.Warn("a different instance responded at the target's address",
			zap.String("instance", string(instr.client.Instance())))
		d.step(dfugate.TargetWithdrawn{})
	}
	if crashed {
		d.step(dfugate.TargetCrashed{})
	}
}
