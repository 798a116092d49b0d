package dfudispatch

import (
	"maps"
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cespare/xxhash/v2"
)

// gateClass converts a catalogue class to the gate's rank.
func gateClass(c dfucatalogue.Class) dfugate.Class {
	return dfugate.Class(c.Rank())
}

// requestKind returns a hash of the route's name, which identifies the requests of
// that route, or zero without a route.
func requestKind(r *dfuroute.Route) dfuident.Kind {
	if r == nil {
		return 0
	}
	return dfuident.Kind(xxhash.Sum64String(r.Name))
}

// clampAllowance clamps the number of retries that a caller's header grants to 0
// to 255.
func clampAllowance(n int) dfubudget.Allowance {
	return dfubudget.Allowance(min(max(n, 0), 255))
}

// sealResult converts the reply or error of a seal to the machine's event. An
// enclosed reply with a wrong checksum is ignored.
func sealResult(id dfuident.RequestID, reply *dfumessage.SealReply, err error) attemptResult {
	if err != nil || reply.ID != id {
		return attemptResult{id: id, event: dfuattempt.SealFailed{ID: id}}
	}
	event := dfuattempt.SealReplied{ID: id, State: gateSealState(reply.State)}
	result := attemptResult{id: id}
	if reply.Reply != nil && dfumessage.BodyChecksum(id, reply.Reply.Answer.Body) == reply.Reply.Checksum {
		event.Outcome = reply.Reply.Outcome
		event.Reason = reply.Reply.Reason
		event.Answer = true
		result.answer = &reply.Reply.Answer
	}
	result.event = event
	return result
}

// gateSealState converts the state in a seal's reply. A forgotten request may have
// run, so it counts as finished.
func gateSealState(state dfumessage.SealState) dfugate.SealState {
	switch state {
	case dfumessage.SealNever:
		return dfugate.SealNever
	case dfumessage.SealRunning:
		return dfugate.SealRunning
	case dfumessage.SealFinished, dfumessage.SealForgotten:
		return dfugate.SealFinished
	default:
		return dfugate.SealFinished
	}
}

// sameTargets reports whether a service's nodes and drain list and the evacuated zones are
// the same in two views. It compares the addresses of the node lists, since views share lists
// that haven't changed.
func sameTargets(old, view *dfuroster.View, service dfuident.Service) bool {
	a, b := old.Service(service), view.Service(service)
	if len(a) != len(b) || (len(a) > 0 && &a[0] != &b[0]) || !maps.Equal(old.Evacuations(), view.Evacuations()) {
		return false
	}
	before, _, ok := old.Entry(service)
	after, _, _ := view.Entry(service)
	return ok && slices.Equal(before.Drain, after.Drain)
}

// eligibleTargets returns the nodes of a service that the chooser may pick. Dead,
// departed and unreachable nodes are left out.
func eligibleTargets(view *dfuroster.View, service dfuident.Service) []dfuchoice.Target {
	entry, _, _ := view.Entry(service)
	nodes := view.Service(service)
	eligible := make([]dfuchoice.Target, 0, len(nodes))
	for _, n := range nodes {
		switch n.State {
		case dfuroster.Dead, dfuroster.Left, dfuroster.Unreachable:
			continue
		case dfuroster.Alive, dfuroster.Suspect, dfuroster.Draining:
		}
		target := dfuchoice.Target{
			Member:   n.Member,
			Place:    n.Place,
			Slots:    min(n.Slots, entry.Limits.Concurrency),
			Draining: n.State == dfuroster.Draining || slices.Contains(entry.Drain, n.Member.Node),
		}
		if n.ColdFor > 0 {
			target.ColdSince = n.ServingSince
		}
		if e, ok := view.Evacuations()[n.Place.Zone]; ok {
			// Requests return along the ramp of a slow start, since all targets of the
			// zone come back at once and may be cold.
			target.Draining = target.Draining || e.Active
			target.ColdSince = max(target.ColdSince, e.Since)
		}
		eligible = append(eligible, target)
	}
	return eligible
}

// bulkBodyBytes is the body size above which a request uses the connection for large
// bodies.
const bulkBodyBytes = 16 << 10

// isBulk reports whether a call's body is large, or the service's limits allow
// bodies or answers above the default sizes.
func isBulk(view *dfuroster.View, call dfufront.Call) bool {
	entry, _, ok := view.Entry(call.Service)
	return len(call.Body) > bulkBodyBytes ||
		(ok && (entry.Limits.BodyBytes > dfucatalogue.DefaultBodyBytes || entry.Limits.AnswerBytes > dfucatalogue.DefaultAnswerBytes))
}

// replyLoad returns the load report in a reply, or nil if there is none or it is
// malformed.
func replyLoad(reply *dfumessage.Reply) *dfuchoice.Load {
	if len(reply.Load) == 0 {
		return nil
	}
	load, err := dfuchoice.ParseLoad(reply.Load)
	if err != nil {
		return nil
	}
	return &load
}
