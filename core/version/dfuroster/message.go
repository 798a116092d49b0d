package dfuroster

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfurecord"
)

// Packet is what the keepers of two nodes send each other. Either the
// membership or the records part is set.
type Packet struct {
	Membership *dfumembership.Message `json:"membership,omitempty"`
	// Standing rides on probes and their answers.
	Standing *dfurecord.Standing `json:"standing,omitempty"`
	Records  *dfurecord.Message  `json:"records,omitempty"`
}

// IsEmpty reports whether there is nothing to send.
func (p Packet) IsEmpty() bool {
	return p.Membership == nil && p.Records == nil
}

// Event is what the keeper is told.
//
//sumtype:decl
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// Received tells of a packet from another node.
type Received struct{ Packet Packet }

// Announced tells what the node's own target is now.
type Announced struct {
	Target dfumembership.Target
	// Left says that the node stops. It is final.
	Left bool
}

// Seeded tells whom the zone pages list.
type Seeded struct{ Seeds []dfumembership.Seed }

// StoreAnswered tells what the store returned for a prefix.
type StoreAnswered struct{ Answer dfurecord.StoreAnswered }

func (Tick) event()          {}
func (Received) event()      {}
func (Announced) event()     {}
func (Seeded) event()        {}
func (StoreAnswered) event() {}

// Action is what the keeper wants done.
//
//sumtype:decl
type Action interface{ action() }

// Send asks to send a packet. Its loss is tolerated.
type Send struct {
	To     dfuident.Address
	Packet Packet
	// Answer says that the packet answers the one just received, so that it
	// may ride on the reply of the same call.
	Answer bool
}

// Publish hands out a new view.
type Publish struct{ View *View }

// ReadStore asks for one list of every prefix from the store.
type ReadStore struct{}

// RegionJudged reports whether another region can be reached.
type RegionJudged struct{ Status dfumembership.RegionStatus }

// Superseded reports that a later run of this node lives.
type Superseded struct{ By dfuident.Member }

func (Send) action()         {}
func (Publish) action()      {}
func (ReadStore) action()    {}
func (RegionJudged) action() {}
func (Superseded) action()   {}
