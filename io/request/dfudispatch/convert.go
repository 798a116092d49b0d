package dfudispatch

import (
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

// class returns the gate's rank of a catalogue class.
func class(c dfucatalogue.Class) dfugate.Class {
	return dfugate.Class(c.Rank())
}

// kind tells the requests of different routes apart.
func kind(r *dfuroute.Route) dfuident.Kind {
	if r == nil {
		return 0
	}
	return dfuident.Kind(xxhash.Sum64String(r.Name))
}

// allowance bounds what a caller's header grants.
func allowance(n int) dfubudget.Allowance {
	return dfubudget.Allowance(min(max(n, 0), 255))
}

// sealEnd turns what came of a seal into the event for the machine.
func sealEnd(id dfuident.RequestID, reply *dfumessage.SealReply, err error) replied {
	if err != nil || reply.ID != id {
		return replied{id: id, event: dfuattempt.SealFailed{ID: id}}
	}
	event := dfuattempt.SealReplied{ID: id, State: gateState(reply.State)}
	end := replied{id: id}
	if reply.Reply != nil && dfumessage.Sum(id, reply.Reply.Answer.Body) == reply.Reply.Checksum {
		event.Outcome = reply.Reply.Outcome
		event.Reason = reply.Reply.Reason
		event.Answer = true
		end.answer = &reply.Reply.Answer
	}
	end.event = event
	return end
}

func gateState(state dfumessage.SealState) dfugate.SealState {
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

// sameTargets reports whether a service's nodes and drain list are the same in
// two views. Unchanged lists are shared between versions.
func sameTargets(old, view *dfuroster.View, service dfuident.Service) bool {
	a, b := old.Service(service), view.Service(service)
	if len(a) != len(b) || (len(a) > 0 && &a[0] != &b[0]) {
		return false
	}
	before, _, ok := old.Entry(service)
	after, _, _ := view.Entry(service)
	return ok && slices.Equal(before.Drain, after.Drain)
}

// targets returns the nodes of a service that may be chosen.
func targets(view *dfuroster.View, service dfuident.Service) []dfuchoice.Target {
	entry, _, _ := view.Entry(service)
	nodes := view.Service(service)
	chosen := make([]dfuchoice.Target, 0, len(nodes))
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
		chosen = append(chosen, target)
	}
	return chosen
}

// bulkBody is the body above which a request takes the lane for large bodies.
const bulkBody = 16 << 10

// isBulk reports whether a call or its answer may be large.
func isBulk(view *dfuroster.View, call dfufront.Call) bool {
	entry, _, ok := view.Entry(call.Service)
	return len(call.Body) > bulkBody ||
		(ok && (entry.Limits.BodyBytes > dfucatalogue.DefaultBodyBytes || entry.Limits.AnswerBytes > dfucatalogue.DefaultAnswerBytes))
}

// loadOf returns the load that came with a reply, or nil.
func loadOf(reply *dfumessage.Reply) *dfuchoice.Load {
	if len(reply.Load) == 0 {
		return nil
	}
	load, err := dfuchoice.ParseLoad(reply.Load)
	if err != nil {
		return nil
	}
	return &load
}
