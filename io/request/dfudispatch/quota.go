package dfudispatch

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/request/dfuquota"
	"dragonflyusher/core/request/dfureturn"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfufront"
)

// Quota decides whether a request is within the quota of its workspace.
type Quota interface {
	// Take spends a token of the workspace. It may block for longest, until gone is closed.
	Take(w *dfuroute.Workspace, longest dfuclock.Duration, gone <-chan struct{}) *dfuquota.Ticket
	// Preview returns the verdict on a request now, and the node that owns the quota if it is
	// known, without spending a token. It may block for a second.
	Preview(w *dfuroute.Workspace) (dfuquota.Verdict, dfuident.NodeID)
	// GiveBack returns the token of a request that did not run.
	GiveBack(t *dfuquota.Ticket)
}

// quotaRetry is the typical time after which a workspace has tokens again.
const quotaRetry = dfuclock.Second

// takeQuota spends a token of the call's workspace, if that has a quota. It returns a
// result if the call is refused. The requests of targets on behalf of a running request
// have no key, and spend no token.
func (d *Dispatcher) takeQuota(call *dfufront.Call, c *callerWatch) (*dfuquota.Ticket, *dfufront.Result) {
	w, ok := d.limitedWorkspace(call)
	if !ok {
		return nil, nil
	}
	started := d.deps.Clock.Now()
	ticket := d.deps.Quota.Take(w, max(0, quotaWaitLeft(*call)), c.gone)
	waited := d.deps.Clock.Now().Sub(started)
	call.Remaining -= waited
	call.Waited += waited
	var refused *dfufront.Result
	switch v := ticket.Verdict(); {
	case v == dfuquota.Granted && call.Remaining > 0:
		return ticket, nil
	case v == dfuquota.Granted:
		d.deps.Quota.GiveBack(ticket)
		refused = refusedResult(dfuoutcome.ReasonDeadline, "the deadline passed while the request waited for its quota")
	default:
		refused = quotaResult(v)
	}
	refused.Service = call.Service
	refused.RetryAfter = dfureturn.RetryAfter(quotaRetry, dfureturn.RetryAfterShare, d.deps.Rand())
	return nil, refused
}

// limitedWorkspace returns the workspace whose quota a call needs a token of. It returns false
// if the call needs none.
func (d *Dispatcher) limitedWorkspace(call *dfufront.Call) (*dfuroute.Workspace, bool) {
	if d.deps.Quota == nil || call.Workspace == "" || call.Credential.IsZero() {
		return nil, false
	}
	w, ok := d.view.Load().Routes().WorkspaceNamed(call.Workspace)
	return w, ok && w.Rate > 0
}

// quotaResult refuses a call that was granted no token.
func quotaResult(v dfuquota.Verdict) *dfufront.Result {
	if v == dfuquota.Exceeded {
		return refusedResult(dfuoutcome.ReasonQuotaExceeded, "the quota of the workspace is used up")
	}
	return refusedResult(dfuoutcome.ReasonQuotaUnknown, "the rest of the quota isn't known")
}

// previewQuota returns a result if a call would be refused by its workspace's quota now, and
// the node that owns the quota if the call needs a token and the owner is known.
func (d *Dispatcher) previewQuota(call *dfufront.Call) (owner dfuident.NodeID, limited bool, refused *dfufront.Result) {
	w, ok := d.limitedWorkspace(call)
	if !ok {
		return "", false, nil
	}
	verdict, owner := d.deps.Quota.Preview(w)
	if verdict != dfuquota.Granted {
		refused = quotaResult(verdict)
	}
	return owner, true, refused
}

// quotaWaitLeft returns how long a call may wait for a token. The time of the caller's earlier
// tries doesn't count: a call that comes back has to be able to wait for the owner's reply too.
func quotaWaitLeft(call dfufront.Call) dfuclock.Duration {
	if call.Route == nil || call.Route.TargetLatency == 0 {
		return call.Remaining
	}
	return min(call.Remaining, call.Route.TargetLatency)
}

// quotaRate returns the quota of a workspace in requests per second, or zero.
func (d *Dispatcher) quotaRate(name dfuident.Workspace) float64 {
	if name == "" || d.deps.Quota == nil {
		return 0
	}
	w, ok := d.view.Load().Routes().WorkspaceNamed(name)
	if !ok {
		return 0
	}
	return w.Rate
}

// giveBackQuota returns the token of a call that did not run.
func (d *Dispatcher) giveBackQuota(ticket *dfuquota.Ticket, result dfufront.Result) {
	if ticket != nil && result.Outcome == dfuoutcome.NotRun {
		d.deps.Quota.GiveBack(ticket)
	}
}
