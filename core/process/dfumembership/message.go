package dfumembership

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// State is what an update says of a member. At the same incarnation and
// version the greater state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name.
func (s State) String() string {
	return stateNames[s]
}

// Target is what a node announces of the target beside it.
type Target struct {
	// Service is empty while no target has announced itself.
	Service dfuident.Service `json:"service,omitempty"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots,omitempty"`
	// ColdFor is how long the target is slower after it first serves.
	ColdFor dfuclock.Duration `json:"cold_for,omitempty"`
	// Draining says that the target takes no new requests.
	Draining bool `json:"draining,omitempty"`
}

// Details is what a member says of itself.
type Details struct {
	Place  dfuident.Place   `json:"place"`
	Peer   dfuident.Address `json:"peer"`
	HTTP   dfuident.Address `json:"http"`
	Target Target           `json:"target"`
}

// Update is one version of what is known of one member. Only the member itself
// raises its version, with every announcement and every refutation.
type Update struct {
	Member  dfuident.Member `json:"member"`
	Version uint64          `json:"version"`
	State   State           `json:"state"`
	// Details is nil if another node says that the member is suspect or dead.
	Details *Details `json:"details,omitempty"`
}

// Contact is how to reach a member.
type Contact struct {
	Member  dfuident.Member  `json:"member"`
	Region  dfuident.Region  `json:"region"`
	Address dfuident.Address `json:"address"`
}

// RegionStatus is one version of whether the nodes of one region can reach
// another region at all.
type RegionStatus struct {
	Observer    dfuident.Region `json:"observer"`
	Observed    dfuident.Region `json:"observed"`
	Version     uint64          `json:"version"`
	Unreachable bool            `json:"unreachable"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	// Ping asks for an Ack with the same sequence.
	Ping Kind = iota
	// Ack answers a Ping.
	Ack
	// PingRequest asks for a Ping of the subject on the sender's behalf.
	PingRequest
	// Gossip carries updates and wants no answer.
	Gossip
	// SyncRequest asks for the updates in the buckets that differ.
	SyncRequest
	// SyncReply answers a SyncRequest with up to a bounded number of updates.
	SyncReply
)

var kindNames = [...]string{"ping", "ack", "ping_request", "gossip", "sync_request", "sync_reply"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[k]
}

// Message is what members send each other.
type Message struct {
	Kind     Kind    `json:"kind"`
	From     Contact `json:"from"`
	Sequence uint64  `json:"sequence,omitempty"`
	// Subject is the member to probe, in a PingRequest.
	Subject *Contact `json:"subject,omitempty"`
	// Digest covers the sender's members, in a Ping and an Ack.
	Digest uint64 `json:"digest,omitempty"`
	// Buckets are the digests of each bucket, in both kinds of sync.
	Buckets []uint64 `json:"buckets,omitempty"`
	// Cursor is the score after which a SyncRequest wants members, and after
	// which the next one should; it is zero in the last SyncReply.
	Cursor uint64 `json:"cursor,omitempty"`
	// Joined says that the sender of an Ack or SyncReply has joined itself.
	Joined  bool           `json:"joined,omitempty"`
	Updates []Update       `json:"updates,omitempty"`
	Regions []RegionStatus `json:"regions,omitempty"`
}

// Event is what the machine is told.
//
//sumtype:decl
type Event interface{ event() }

// Tick tells the machine that time has passed. Ticks come every TickPeriod; a
// longer gap means that the process was paused.
type Tick struct{}

// Received tells of a message from another member.
type Received struct{ Message Message }

// Announced tells what the node's own target is now.
type Announced struct {
	Target Target
	// Left says that the node takes no part any more. It is final, and the
	// target stays what it was.
	Left bool
}

// Seed is a member that a zone page lists.
type Seed struct {
	Contact Contact
	Zone    dfuident.Zone
}

// Seeded tells of members that the zone pages list.
type Seeded struct{ Seeds []Seed }

func (Tick) event()      {}
func (Received) event()  {}
func (Announced) event() {}
func (Seeded) event()    {}

// Action is what the machine wants done.
//
//sumtype:decl
type Action interface{ action() }

// Send asks to send a message. Its loss is tolerated.
type Send struct {
	To      Contact
	Message Message
}

// Changed reports members whose state or details changed.
type Changed struct{ Updates []Update }

// Forgotten reports members whose death was long enough ago.
type Forgotten struct{ Nodes []dfuident.NodeID }

// RegionChanged reports whether a region can be reached from this one.
type RegionChanged struct{ Status RegionStatus }

// Superseded reports a later run of this node: this run must stop.
type Superseded struct{ By dfuident.Member }

func (Send) action()          {}
func (Changed) action()       {}
func (Forgotten) action()     {}
func (RegionChanged) action() {}
func (Superseded) action()    {}
