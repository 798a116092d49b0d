package dfuadmission

import (
	"context"
	"time"

	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// SetTarget closes the client of the local target, if any, replaces it by client and
// passes event to the machine. A withdrawal of the target doesn't use SetTarget and
// keeps the client.
func (c *Controller) SetTarget(client *dfutarget.Client, event dfugate.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		c.client.Close()
	}
	c.client = client
	if announced, ok := event.(dfugate.TargetAnnounced); ok && announced.NewRun {
		c.targetRun++
	}
	c.step(event)
}

// startRun instructs the goroutine of an offer to run the request on the target.
func (c *Controller) startRun(a dfugate.RunOnTarget) {
	p := c.pending[a.ID]
	p.runStarted = c.deps.Clock.Now()
	c.deps.Times.Record("gate.wait", p.runStarted.Sub(p.arrived))
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c.running.add(p.offer)
	c.runs.Inc(1)
	p.span.AddEvent("handed_over")
	p.instructions <- instruction{ctx: ctx, client: c.client, targetRun: c.targetRun, remaining: a.Remaining}
}

// loadQueryTimeout bounds a query for the target's load, which a target is expected
// to answer immediately.
const loadQueryTimeout = 20 * time.Millisecond

// healthPathPollInterval is how often a load query that waits for the routes checks
// for them. No request can arrive before the routes are known.
const healthPathPollInterval = 100 * time.Millisecond

// awaitHealthPath waits until the routes are known and returns the path at which
// the target reports its load. It returns the empty string if the node stops first.
func (c *Controller) awaitHealthPath() string {
	for {
		path := c.deps.HealthPath()
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if path != "" || stopped {
			return path
		}
		time.Sleep(healthPathPollInterval)
	}
}

// queryLoad queries the target for its load and passes the result to the machine.
func (c *Controller) queryLoad() {
	var event dfugate.Event = dfugate.TargetLoadUnavailable{}
	path := ""
	if c.deps.CanQueryLoad {
		path = c.awaitHealthPath()
	}
	client, run := c.currentTarget()
	if path != "" && client != nil {
		ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
		defer cancel()
		load, err := client.FetchLoad(ctx, path)
		if err == nil {
			event = dfugate.TargetLoadReported{Load: load}
		} else {
			c.deps.Log.Debug("target load query failed", zap.Error(err))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if run != c.targetRun {
		event = dfugate.TargetLoadUnavailable{}
	}
	c.step(event)
}

// runOnTarget runs a request on the target and passes the result to the machine.
func (c *Controller) runOnTarget(p *pendingOffer, instr instruction) {
	defer p.cancel()
	start := c.deps.Clock.Now()
	var result dfutarget.Result
	var event dfugate.Event = dfugate.TargetFailed{ID: p.offer.ID, Refused: true}
	crashed := false
	var checked *dfutarget.Client
	var targetErr error
	if reason := c.verify(p.offer); reason != dfuoutcome.ReasonNone {
		event = dfugate.TargetFailed{ID: p.offer.ID, Refused: true, Reason: reason}
	} else if instr.client != nil {
		var err error
		result, err = instr.client.Run(instr.ctx, p.offer, instr.remaining)
		targetErr = err
		switch dfutarget.Classify(result, err) {
		case dfutarget.CompletionAnswered:
			event = dfugate.TargetDone{
				ID: p.offer.ID, Failed: result.Answer.IsServerError(), Limit: result.ResponseMetadata.Limit,
			}
		case dfutarget.CompletionNotRun:
			event = dfugate.TargetFailed{ID: p.offer.ID, Refused: true, Limit: result.ResponseMetadata.Limit}
		case dfutarget.CompletionInterrupted:
			// The run may have been on a former target, whose end is no crash.
			checked, _ = c.currentTarget()
			crashed = instr.ctx.Err() == nil && !checked.Reachable()
			event = dfugate.TargetFailed{ID: p.offer.ID, Died: crashed}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deps.Times.Record("gate.run", c.deps.Clock.Now().Sub(start))
	c.running.remove(p.offer)
	if crashed && checked != c.client {
		crashed = false
		event = dfugate.TargetFailed{ID: p.offer.ID}
	}
	p.answer = result.Answer
	p.result = result
	p.targetErr = targetErr
	c.surplusAnswers.Inc(int64(result.Exchange.Skipped))
	if instr.targetRun != c.targetRun {
		event = ofFormerRun(event)
		result.ResponseMetadata.Load = nil
	}
	if result.ResponseMetadata.Load != nil {
		c.step(dfugate.TargetLoadReported{Load: *result.ResponseMetadata.Load})
	}
	c.step(event)
	if result.ResponseMetadata.Replaced && instr.client == c.client {
		c.deps.Log.Warn("a different instance responded at the target's address",
			zap.String("instance", string(instr.client.Instance())))
		c.step(dfugate.TargetWithdrawn{})
	}
	if crashed {
		c.step(dfugate.TargetCrashed{})
	} else if instr.ctx.Err() == nil && errors.Is(targetErr, dfutarget.ErrInterrupted) {
		c.recheckTarget(c.client)
	}
}

// verify returns why a request may no longer run for its workspace, or ReasonNone.
func (c *Controller) verify(offer *dfumessage.Offer) dfuoutcome.Reason {
	if c.deps.Verify == nil {
		return dfuoutcome.ReasonNone
	}
	return c.deps.Verify(offer)
}

// ofFormerRun returns the result of a run at a former target without what it states of the
// current one: the rate limit, and whether that one has crashed.
func ofFormerRun(event dfugate.Event) dfugate.Event {
	switch e := event.(type) {
	case dfugate.TargetDone:
		e.Limit = 0
		return e
	case dfugate.TargetFailed:
		e.Limit, e.Died = 0, false
		return e
	default:
		return event
	}
}

// currentTarget returns the client and the run of the target that was announced last.
func (c *Controller) currentTarget() (*dfutarget.Client, targetRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client, c.targetRun
}

// crashRecheckDelays are the delays before the further checks of a target that accepted a
// connection just after it had cut off a run. A process that exits may close its
// connections before its listener, and a busy VM may take long in between. A target that
// crashed stays away for longer than all of them.
var crashRecheckDelays = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond}

// recheckTarget checks again whether the target has crashed after a run was cut off.
// Checks that overlap count as one. The caller must hold c.mu.
func (c *Controller) recheckTarget(client *dfutarget.Client) {
	if c.rechecking {
		return
	}
	c.rechecking = true
	c.scheduleRecheck(client, crashRecheckDelays)
}

// scheduleRecheck checks the target after the first of the delays, and after the others
// while it accepts connections.
func (c *Controller) scheduleRecheck(client *dfutarget.Client, delays []time.Duration) {
	time.AfterFunc(delays[0], func() {
		reachable := client.Reachable()
		c.mu.Lock()
		defer c.mu.Unlock()
		current := client == c.client
		if reachable && current && len(delays) > 1 {
			c.scheduleRecheck(client, delays[1:])
			return
		}
		c.rechecking = false
		if !reachable && current {
			c.step(dfugate.TargetCrashed{})
		}
	})
}
