package dfuemulator

import (
	"math/rand/v2"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// vm is a VM with a target and the node beside it.
type vm struct {
	simulation *simulation
	id         dfuident.NodeID
	place      dfuident.Place
	service    *dfuscenario.Service
	linkMbps   float64
	// inboundFree and outboundFree are when each direction of the VM's own link is
	// free again.
	inboundFree, outboundFree dfuvirtual.Instant

	// up reports whether the VM has power.
	up bool
	// ready reports whether callers may use the node.
	ready bool
	// leaving reports whether the target is draining.
	leaving bool
	target  *target
	node    *node
	// incarnation counts the starts of the node.
	incarnation dfuident.Incarnation
	slowPeriods []slowPeriod
	rng         *rand.Rand
}

// inlineBodyLimit is the largest body sent with an offer. A larger one is sent only
// once the gate requests it, as in the daemon (io/process/dfunode).
const inlineBodyLimit = 16 << 10

const (
	// rosterDelay is how long a change of the targets takes to reach entry nodes.
	// Gossip takes about 0.2 s to cover a zone.
	rosterDelay = 200 * dfuvirtual.Millisecond
	// nodeStartDelay is the time from the start of a node until it serves.
	nodeStartDelay = 400 * dfuvirtual.Millisecond
)

// startTarget starts the target and announces it to the gate on the same VM.
func (v *vm) startTarget(cold bool) {
	v.target = newTarget(&v.simulation.clock, v.service, v.slowPeriods, cold)
	v.leaving = false
	if v.node != nil {
		v.node.announceTarget(cold)
	}
}

// startNode starts a new incarnation of the node.
func (v *vm) startNode() {
	v.incarnation++
	v.node = newNode(v)
	v.ready = true
	if v.target != nil {
		v.node.announceTarget(v.target.isCold(v.simulation.clock.Now()))
	}
	v.simulation.scheduleRosterUpdate()
}

// stopNode stops the node, which breaks the connections of its callers.
func (v *vm) stopNode() {
	if v.node == nil {
		return
	}
	v.ready = false
	v.node.stop()
	v.node = nil
	v.simulation.scheduleRosterUpdate()
}

// powerOff stops the node and the target.
func (v *vm) powerOff() {
	v.stopNode()
	if v.target != nil {
		v.target.crash()
		v.target = nil
	}
	v.up = false
}

// powerOn starts the target and the node.
func (v *vm) powerOn() {
	v.up = true
	v.startTarget(true)
	v.startAfterDelay(v.startNode)
}

// startAfterDelay calls start after nodeStartDelay, unless a node runs by then.
func (v *vm) startAfterDelay(start func()) {
	v.simulation.clock.After(nodeStartDelay, func() {
		if v.up && v.node == nil {
			start()
		}
	})
}

// now returns the current virtual time as a dfuclock.Time.
func (v *vm) now() dfuclock.Time {
	return v.simulation.clock.Now().Time()
}

// member identifies the current incarnation of the node.
func (v *vm) member() dfuident.Member {
	return dfuident.Member{Node: v.id, Incarnation: v.incarnation}
}
