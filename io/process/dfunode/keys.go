package dfunode

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/request/dfumessage"
)

// proofBound returns how old the proof may be that the routes are in force, or zero if
// none is needed.
func (n *Node) proofBound() dfuclock.Duration {
	if !n.adapters.Routed || !n.settings.Revocation.Strict {
		return 0
	}
	return n.settings.Revocation.Bound
}

// verify returns why a request may no longer run for its workspace, or ReasonNone. The
// entry node accepted its key by another table, maybe some time ago.
func (n *Node) verify(offer *dfumessage.Offer) dfuoutcome.Reason {
	if offer.RoutesVersion == 0 {
		return dfuoutcome.ReasonNone
	}
	table := n.control.View().Routes()
	if n.proofBound() > 0 && (table == nil || !n.control.RoutesProven(table.Version)) {
		return dfuoutcome.ReasonRoutesStale
	}
	return refusalByTable(table, offer)
}

// refusalByTable returns why a table that is newer than that of the entry node no longer
// allows a request, or ReasonNone. table may be nil.
func refusalByTable(table *dfuroute.Table, offer *dfumessage.Offer) dfuoutcome.Reason {
	if table == nil || table.Version <= offer.RoutesVersion || !table.HasWorkspaces() {
		return dfuoutcome.ReasonNone
	}
	w, ok := table.Workspace(offer.Credential)
	if offer.Credential.IsZero() {
		w, ok = table.WorkspaceNamed(offer.Workspace)
	}
	switch {
	case ok && w.Name == offer.Workspace:
		return dfuoutcome.ReasonNone
	case table.UnreadableWorkspaces > 0:
		return dfuoutcome.ReasonRoutesStale
	default:
		return dfuoutcome.ReasonKeyRejected
	}
}
