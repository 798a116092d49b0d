package dfurecord

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Peer is another node that holds a copy.
type Peer struct {
	Node    dfuident.NodeID  `json:"node"`
	Region  dfuident.Region  `json:"region"`
	Address dfuident.Address `json:"address"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	// Advert names revisions that the sender has newly got.
	Advert Kind = iota
	// Fetch asks for the records of some keys.
	Fetch
	// Transfer carries records.
	Transfer
	// CompareRequest asks for the revisions in the buckets that differ.
	CompareRequest
	// CompareReply answers a CompareRequest.
	CompareReply
	// Confirm carries only the digest and age that ride on other traffic.
	Confirm
)

var kindNames = [...]string{"advert", "fetch", "transfer", "compare_request", "compare_reply", "confirm"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[k]
}

// Message is what copies send each other.
type Message struct {
	Kind      Kind      `json:"kind"`
	From      Peer      `json:"from"`
	Summaries []Summary `json:"summaries,omitempty"`
	Keys      []string  `json:"keys,omitempty"`
	Records   []Record  `json:"records,omitempty"`
	Buckets   []uint64  `json:"buckets,omitempty"`
	Standing  Standing  `json:"standing,omitzero"`
}

// Standing says how good a copy is.
type Standing struct {
	Digest uint64 `json:"digest"`
	// Confirmed says that the store has confirmed the copy, Age ago.
	Confirmed bool              `json:"confirmed,omitempty"`
	Age       dfuclock.Duration `json:"age,omitempty"`
}

// Event is what the exchange is told.
//
//sumtype:decl
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// Received tells of a message from a peer.
type Received struct{ Message Message }

// StoreAnswered tells what the store returned for a prefix, as a whole list or
// as the changes since an earlier answer.
type StoreAnswered struct {
	Prefix   string
	Listed   bool
	Records  []Record
	Revision dfuident.Revision
}

// PeersChanged tells whom to exchange with and which part the node has.
type PeersChanged struct {
	// Fingers are the peers that the node talks to by itself.
	Fingers []Peer
	// ZoneSize is the number of nodes in the node's zone.
	ZoneSize int
	// Watcher says that the node watches the store for its zone.
	Watcher bool
}

func (Tick) event()          {}
func (Received) event()      {}
func (StoreAnswered) event() {}
func (PeersChanged) event()  {}

// Action is what the exchange wants done.
//
//sumtype:decl
type Action interface{ action() }

// Send asks to send a message. Its loss is tolerated.
type Send struct {
	To      Peer
	Message Message
}

// Changed reports keys whose record in force or newest revision changed.
type Changed struct{ Keys []string }

// Read asks for one list of every prefix from the store.
type Read struct{}

func (Send) action()    {}
func (Changed) action() {}
func (Read) action()    {}
