package dfunode

import (
	"strings"
	"sync/atomic"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/request/dfumessage"

	"github.com/rcrowley/go-metrics"
)

// peerScope is where a peer is, as seen from this node.
type peerScope string

const (
	sameZone    peerScope = "same_zone"
	otherZone   peerScope = "other_zone"
	otherRegion peerScope = "other_region"
	// unknownPlace is a peer that isn't in the roster yet.
	unknownPlace peerScope = "unknown"
)

// peerCounter returns what counts the bytes of a link to a peer, by their purpose and by where
// the peer is. Calls and replies are counted by the node that called, so that each byte counts
// once in the fleet.
func (n *Node) peerCounter(to dfuident.Address) dfupeer.CountFunc {
	var known atomic.Pointer[peerScope]
	return func(method string, message any, bytes int64) {
		scope := known.Load()
		if scope == nil {
			found := n.scopeOf(to)
			scope = &found
			if found != unknownPlace {
				known.Store(scope)
			}
		}
		metrics.GetOrRegisterCounter("peers."+purposeOf(method, message)+"."+string(*scope), n.metrics).Inc(bytes)
	}
}

// scopeOf returns where the node with a peer address is.
func (n *Node) scopeOf(to dfuident.Address) peerScope {
	view := n.control.View()
	if view == nil {
		return unknownPlace
	}
	for _, node := range view.Nodes() {
		switch {
		case node.Peer != to:
		case node.Place == n.place():
			return sameZone
		case node.Place.Region == n.place().Region:
			return otherZone
		default:
			return otherRegion
		}
	}
	return unknownPlace
}

// purposeOf returns what a message to or from a peer is for.
func purposeOf(method string, message any) string {
	switch m := message.(type) {
	case *dfumessage.Reply:
		switch {
		case m.SendBody:
			return "offers"
		case m.Outcome == dfuoutcome.Answered:
			return "answers"
		default:
			return "refusals"
		}
	case *dfuroster.Packet:
		if m.Records != nil {
			return "records"
		}
		return "membership"
	}
	switch method {
	case dfumessage.MethodOffer:
		return "offers"
	case dfumessage.MethodNews:
		return "crash_reports"
	}
	receiver, _, _ := strings.Cut(method, ".")
	return strings.ToLower(receiver)
}
