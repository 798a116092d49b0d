package dfumembership

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// State is the state of a member. Of two updates with the same incarnation and
// version, the one with the greater state wins.
type State uint8

// Member states.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string {
	return stateNames[s]
}

// Target is the state that a node announces for its target.
type Target struct {
	// Service is empty until the target has announced itself.
	Service dfuident.Service `json:"service,omitempty"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots,omitempty"`
	// ColdFor is the length of the target's warm-up: how long it is slower
	// after it starts serving.
	ColdFor dfuclock.Duration `json:"cold_for,omitempty"`
	// Draining is set if the target accepts no new requests.
	Draining bool `json:"draining,omitempty"`
}

// Details is the part of an update that the member itself provides.
type Details struct {
	Place  dfuident.Place   `json:"place"`
	Peer   dfuident.Address `json:"peer"`
	HTTP   dfuident.Address `json:"http"`
	Target Target           `json:"target"`
	// StoreLost is set while the member, a watcher of the store, can't reach it.
	StoreLost bool `json:"store_lost,omitempty"`
}

// Update is one version of a member's state. Only the member itself increments
// the version, with every announcement and every refutation.
type Update struct {
	Member  dfuident.Member `json:"member"`
	Version uint64          `json:"version"`
	State   State           `json:"state"`
	// Details is nil if another node reported the member as suspect or dead.
	Details *Details `json:"details,omitempty"`
}

// Contact holds what is needed to reach a member.
type Contact struct {
	Member  dfuident.Member  `json:"member"`
	Region  dfuident.Region  `json:"region"`
	Address dfuident.Address `json:"address"`
}

// RegionStatus is one version of the reachability of one region from another.
type RegionStatus struct {
	Observer    dfuident.Region `json:"observer"`
	Observed    dfuident.Region `json:"observed"`
	Version     uint64          `json:"version"`
	Unreachable bool            `json:"unreachable"`
}

// Kind is the type of a message.
type Kind uint8

// Message kinds.
const (
	// Ping requests an Ack with the same sequence.
	Ping Kind = iota
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping the subject on the sender's behalf.
	PingRequest
	// Gossip carries updates and is not answered.
	Gossip
	// SyncRequest requests the updates in the buckets that differ.
	SyncRequest
	// SyncReply answers a SyncRequest with a limited number of updates.
	SyncReply
)

var kindNames = [...]string{"ping", "ack", "ping_request", "gossip", "sync_request", "sync_reply"}

func (k Kind) String() string {
	return kindNames[k]
}

// Message is a message between members.
type Message struct {
	Kind     Kind    `json:"kind"`
	From     Contact `json:"from"`
	Sequence uint64  `json:"sequence,omitempty"`
	// Subject is the member to probe in a PingRequest. In a relayed Ack it is
	// the member that answered.
	Subject *Contact `json:"subject,omitempty"`
	// Digest is the digest of the members known to the sender, in Ping and Ack.
	Digest uint64 `json:"digest,omitempty"`
	// Buckets are the digests of the buckets, in SyncRequest and SyncReply.
	Buckets []uint64 `json:"buckets,omitempty"`
	// Cursor is the position by score in a sync. A SyncRequest asks for members
	// with a higher score, and a SyncReply contains the cursor of the next
	// request, or zero if it is the last reply.
	Cursor uint64 `json:"cursor,omitempty"`
	// Joined is set if the sender of an Ack or SyncReply has joined.
	Joined  bool           `json:"joined,omitempty"`
	Updates []Update       `json:"updates,omitempty"`
	Regions []RegionStatus `json:"regions,omitempty"`
}

// Event is an input of the Machine.
//
//sumtype:decl
type Event interface{ event() }

// Tick signals that time has passed. Ticks occur every TickPeriod; a longer gap
// means that the process was paused.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message Message }

// Announced is a change of the node's own target.
type Announced struct {
	Target Target
	// Left is set if the node leaves permanently. The target then keeps its
	// last state.
	Left bool
}

// StoreChecked reports whether the node's latest calls to the store failed.
type StoreChecked struct{ Lost bool }

// Seed is a member listed on a zone page.
type Seed struct {
	Contact Contact
	Zone    dfuident.Zone
}

// SeedsListed holds the members listed on the zone pages.
type SeedsListed struct{ Seeds []Seed }

func (Tick) event()         {}
func (Received) event()     {}
func (Announced) event()    {}
func (SeedsListed) event()  {}
func (StoreChecked) event() {}

// Action is an output of the Machine.
//
//sumtype:decl
type Action interface{ action() }

// Send is a request to send a message, which may be lost.
type Send struct {
	To      Contact
	Message Message
}

// Changed reports members whose state or details changed.
type Changed struct{ Updates []Update }

// Forgotten reports members removed after DeadRetention.
type Forgotten struct{ Nodes []dfuident.NodeID }

// RegionChanged reports that a region became reachable or unreachable from this
// one.
type RegionChanged struct{ Status RegionStatus }

// RanksChanged reports that the ranks of the members that watch the store, or the gossip
// peers, may have changed although no member has.
type RanksChanged struct{}

// Superseded reports that a later run of this node exists. This run must stop.
type Superseded struct{ By dfuident.Member }

func (Send) action()          {}
func (Changed) action()       {}
func (Forgotten) action()     {}
func (RegionChanged) action() {}
func (RanksChanged) action()  {}
func (Superseded) action()    {}
