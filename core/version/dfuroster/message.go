package dfuroster

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfurecord"
)

// Packet is a message between the keepers of two nodes. Either Membership or
// Records is set.
type Packet struct {
	Membership *dfumembership.Message `json:"membership,omitempty"`
	// Standing is included in pings and acks.
	Standing *dfurecord.Standing `json:"standing,omitempty"`
	Records  *dfurecord.Message  `json:"records,omitempty"`
}

// IsEmpty reports whether the packet has nothing to send.
func (p Packet) IsEmpty() bool {
	return p.Membership == nil && p.Records == nil
}

// Event is an input of Keeper.Step.
//
//sumtype:decl
type Event interface{ event() }

// Tick lets the keeper check its deadlines. It is sent periodically.
type Tick struct{}

// Received delivers a packet from another node.
type Received struct{ Packet Packet }

// Announced reports the current state of the node's own target.
type Announced struct {
	Target dfumembership.Target
	// Left is set if the node stops. It cannot be revoked.
	Left bool
}

// SeedsListed reports the nodes listed on the zone pages.
type SeedsListed struct{ Seeds []dfumembership.Seed }

// StoreResponse delivers what the store returned for a prefix.
type StoreResponse struct{ Answer dfurecord.StoreResponse }

// StoreChecked reports whether the node's latest calls to the store failed. A watcher that
// has lost the store hands its role over.
type StoreChecked struct{ Lost bool }

func (Tick) event()          {}
func (Received) event()      {}
func (Announced) event()     {}
func (SeedsListed) event()   {}
func (StoreResponse) event() {}
func (StoreChecked) event()  {}

// Action is an output of Keeper.Step that the caller of Step carries out.
//
//sumtype:decl
type Action interface{ action() }

// Send sends a packet. The packet may be lost.
type Send struct {
	To     dfuident.Address
	Packet Packet
	// Answer is set if the packet answers the one just received, so that it can
	// be returned as the reply of the same call.
	Answer bool
}

// Publish makes a new view available to readers.
type Publish struct{ View *View }

// ReadStore requests a full list of each prefix from the store.
type ReadStore struct{}

// StoreRestored reports that a response of the store with a revision contradicts the records
// held, so that the revisions of the store have become smaller.
type StoreRestored struct{ Revision dfuident.Revision }

// RegionStatusChanged reports whether another region is reachable.
type RegionStatusChanged struct{ Status dfumembership.RegionStatus }

// Superseded reports that a later run of this node is alive.
type Superseded struct{ By dfuident.Member }

func (Send) action()                {}
func (Publish) action()             {}
func (ReadStore) action()           {}
func (StoreRestored) action()       {}
func (RegionStatusChanged) action() {}
func (Superseded) action()          {}
