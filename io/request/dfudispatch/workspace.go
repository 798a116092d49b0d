package dfudispatch

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfufront"
)

// staleRetryAfter is the delay after which a caller should retry a request that was
// refused because the route table may be out of date. A peer confirms it in that time.
const staleRetryAfter = 500 * dfuclock.Millisecond

// authorize sets the workspace, the priority and the homes of a call on a route. It
// returns a result if the call lacks a key of a workspace. A key that the table doesn't
// have is rejected only if the table was in force recently: a newer one may have it. With
// StrictKeys, a key that the table has is accepted only then: a newer one may lack it.
func (d *Dispatcher) authorize(call *dfufront.Call, table *dfuroute.Table, r *dfuroute.Route) *dfufront.Result {
	call.Priority = r.Priority
	call.Homes = r.Homes
	if !table.HasWorkspaces() {
		call.Headers = append(call.Headers, call.Reserved...)
		return nil
	}
	w, ok := d.workspace(call, table, r)
	switch {
	case !ok && !table.RequiresKey(r):
		return nil
	case !ok:
		return d.refuseKey(call, table)
	case table.RequiresKey(r):
		call.Workspace = w.Name // also of a call that is refused
		if d.deps.StrictKeys && !d.deps.RoutesProven(table.Version) {
			return staleResult()
		}
		call.RoutesVersion = table.Version
	}
	call.Workspace = w.Name
	if w.Priority != nil {
		call.Priority = *w.Priority
	}
	homes, ok := dfuroute.HomesOf(r, w)
	if !ok {
		return refusedResult(dfuoutcome.ReasonNoHome, "the homes of the route and of the workspace have no region in common")
	}
	call.Homes = homes
	return nil
}

// workspace returns the workspace that holds the key of a call. If the route needs a key,
// a call without one that a request running on the local target makes acts for the
// workspace of that request.
func (d *Dispatcher) workspace(call *dfufront.Call, table *dfuroute.Table, r *dfuroute.Route) (*dfuroute.Workspace, bool) {
	if !call.Credential.IsZero() {
		return table.Workspace(call.Credential)
	}
	if call.ParentRequest == "" || !table.RequiresKey(r) {
		return nil, false
	}
	name, ok := d.deps.RunningWorkspace(call.ParentRequest)
	if !ok || name == "" {
		return nil, false
	}
	return table.WorkspaceNamed(name)
}

// refuseKey refuses a call whose key the table doesn't have.
func (d *Dispatcher) refuseKey(call *dfufront.Call, table *dfuroute.Table) *dfufront.Result {
	isComplete := table.UnreadableWorkspaces == 0 || call.Credential.IsZero()
	if isComplete && d.deps.RoutesProven(table.Version) {
		return refusedResult(dfuoutcome.ReasonKeyRejected, "the route needs the key of a workspace")
	}
	return staleResult()
}

// staleResult refuses a call because the route table may be out of date.
func staleResult() *dfufront.Result {
	result := refusedResult(dfuoutcome.ReasonRoutesStale, "this node can't confirm that its routes are in force")
	result.RetryAfter = staleRetryAfter
	return result
}
