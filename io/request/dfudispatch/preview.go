package dfudispatch

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfufront"
)

// Preview is where a call would go now.
type Preview struct {
	Route   string           `json:"route,omitempty"`
	Service dfuident.Service `json:"service,omitempty"`
	// Workspace is the one for which the call would run.
	Workspace dfuident.Workspace `json:"workspace,omitempty"`
	// Quota is set if the call needs a token of the workspace's quota, which QuotaOwner
	// holds. The latter is empty if the owner isn't known.
	Quota      bool            `json:"quota,omitempty"`
	QuotaOwner dfuident.NodeID `json:"quota_owner,omitempty"`
	// Target is the node whose target would get the first attempt, and Choice the reason;
	// both are empty if the call would be refused for Reason and Detail.
	Target dfuident.NodeID        `json:"target,omitempty"`
	Choice dfuchoice.ChoiceReason `json:"choice,omitempty"`
	// Waits is set if the call would wait in the target's queue if no slot is free.
	Waits  bool              `json:"waits,omitempty"`
	Reason dfuoutcome.Reason `json:"reason,omitempty"`
	Detail string            `json:"detail,omitempty"`
	// Candidates are the targets of the service as this node sees them.
	Candidates []dfuchoice.Candidate `json:"candidates,omitempty"`
}

// Preview returns where the call would go now, by the steps that Serve takes up to the first
// attempt, without sending it or spending a token of a quota. Gates, which decide at the time
// of a request, are not asked. It may block for a second to ask the owner of the quota.
func (d *Dispatcher) Preview(call dfufront.Call) Preview {
	refused := d.route(&call)
	p := Preview{Service: call.Service, Workspace: call.Workspace}
	if call.Route != nil {
		p.Route = call.Route.Name
	}
	if refused == nil {
		refused = d.refuseBeforeStop(call)
	}
	if refused == nil {
		p.QuotaOwner, p.Quota, refused = d.previewQuota(&call)
	}
	var r *request
	if refused == nil {
		r, refused = d.admit(call)
	}
	if refused != nil {
		p.Reason, p.Detail = refused.Reason, refused.Detail
		return p
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Clock.Now()
	choice, q, ok := d.deps.Machine.Preview(now, r.event)
	p.Candidates = d.deps.Chooser.Candidates(now, q)
	if !ok {
		p.Reason = dfuoutcome.ReasonNoTarget
		return p
	}
	p.Target, p.Choice, p.Waits = choice.Member.Node, choice.Reason, choice.Wait
	return p
}
