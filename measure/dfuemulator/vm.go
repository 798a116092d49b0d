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
	world    *world
	id       dfuident.NodeID
	place    dfuident.Place
	service  *dfuscenario.Service
	linkMbps float64
	// linkIn and linkOut are when the VM's own link is free again.
	linkIn, linkOut dfuvirtual.Instant

	// up says that the VM has power.
	up bool
	// ready says that callers use its node.
	ready bool
	// leaving says that the target drains.
	leaving bool
	target  *target
	node    *node
	// incarnation counts the runs of the node.
	incarnation dfuident.Incarnation
	spells      []spell
	rng         *rand.Rand
}

// bodyAheadBytes is the body above which the gate is asked before it is sent, as in
// the daemon (io/process/dfunode).
const bodyAheadBytes = 16 << 10

const (
	// rosterDelay is how late entry nodes learn of a change of the targets: by
	// gossip among peers, which takes some 0.2 s for a zone.
	rosterDelay = 200 * dfuvirtual.Millisecond
	// nodeStart is how long a node takes from its start until it serves.
	nodeStart = 400 * dfuvirtual.Millisecond
)

// startTarget starts the target, and tells the gate beside it.
func (v *vm) startTarget(cold bool) {
	v.target = newTarget(&v.world.clock, v.service, v.spells, cold)
	v.leaving = false
	if v.node != nil {
		v.node.announce(cold)
	}
}

// startNode starts a new run of the node.
func (v *vm) startNode() {
	v.incarnation++
	v.node = newNode(v)
	v.ready = true
	if v.target != nil {
		v.node.announce(v.target.isCold(v.world.clock.Now()))
	}
	v.world.roster()
}

// stopNode ends the run of the node: callers' connections break.
func (v *vm) stopNode() {
	if v.node == nil {
		return
	}
	v.ready = false
	v.node.stop()
	v.node = nil
	v.world.roster()
}

// powerOff ends everything on the VM.
func (v *vm) powerOff() {
	v.stopNode()
	if v.target != nil {
		v.target.crash()
		v.target = nil
	}
	v.up = false
}

// powerOn starts everything on the VM.
func (v *vm) powerOn() {
	v.up = true
	v.startTarget(true)
	v.startLater(v.startNode)
}

// startLater calls start once the node has started.
func (v *vm) startLater(start func()) {
	v.world.clock.After(nodeStart, func() {
		if v.up && v.node == nil {
			start()
		}
	})
}

// now returns the time that the decisions are told.
func (v *vm) now() dfuclock.Time {
	return v.world.clock.Now().Time()
}

// member names the present run of the node.
func (v *vm) member() dfuident.Member {
	return dfuident.Member{Node: v.id, Incarnation: v.incarnation}
}
