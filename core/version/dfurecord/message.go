package dfurecord

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Peer identifies another node that holds a copy.
type Peer struct {
	Node    dfuident.NodeID  `json:"node"`
	Region  dfuident.Region  `json:"region"`
	Address dfuident.Address `json:"address"`
}

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	// Advert lists revisions that the sender recently received.
	Advert Kind = iota
	// Fetch requests the records of the listed keys.
	Fetch
	// Transfer carries records.
	Transfer
	// CompareRequest requests the revisions in the buckets whose digests
	// differ.
	CompareRequest
	// CompareReply answers a CompareRequest.
	CompareReply
	// Confirm carries only the digest and age of the sender's copy, piggybacked
	// on other traffic.
	Confirm
)

var kindNames = [...]string{"advert", "fetch", "transfer", "compare_request", "compare_reply", "confirm"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[k]
}

// Message is exchanged between copies. Kind determines which fields are set.
type Message struct {
	Kind      Kind      `json:"kind"`
	From      Peer      `json:"from"`
	Summaries []Summary `json:"summaries,omitempty"`
	Keys      []string  `json:"keys,omitempty"`
	Records   []Record  `json:"records,omitempty"`
	Buckets   []uint64  `json:"buckets,omitempty"`
	Standing  Standing  `json:"standing,omitzero"`
	// AcceptsPacked is set in a request, or in the reply to a CompareRequest, if the
	// sender accepts compressed values.
	AcceptsPacked bool `json:"accepts_packed,omitempty"`
}

// Standing describes the content and the age of a copy.
type Standing struct {
	Digest uint64 `json:"digest"`
	// Confirmed reports whether the store has confirmed the copy. Age is the
	// time since then.
	Confirmed bool              `json:"confirmed,omitempty"`
	Age       dfuclock.Duration `json:"age,omitempty"`
}

// Event is an input of Exchange.Step.
//
//sumtype:decl
type Event interface{ event() }

// Tick lets the exchange retry and check its deadlines. It is sent
// periodically.
type Tick struct{}

// Received delivers a message from a peer.
type Received struct{ Message Message }

// StoreResponse delivers what the store returned for a prefix: the complete
// list if Listed is set, otherwise the changes since an earlier response.
// Revision is the revision of the store that the response reflects.
type StoreResponse struct {
	Prefix   string
	Listed   bool
	Records  []Record
	Revision dfuident.Revision
}

// PeersChanged updates the node's peers and its role.
type PeersChanged struct {
	// GossipPeers are the peers that the node sends messages to on its own
	// initiative.
	GossipPeers []Peer
	// RemotePeers are, for each other region, the peers that the node informs of
	// changes. It is empty unless the node is the bridge of its zone.
	RemotePeers [][]Peer
	// ZoneSize is the number of nodes in the node's zone.
	ZoneSize int
	// Watcher is set if the node watches the store on behalf of its zone.
	Watcher bool
}

func (Tick) event()          {}
func (Received) event()      {}
func (StoreResponse) event() {}
func (PeersChanged) event()  {}

// Action is an output of Exchange.Step that the caller of Step carries out.
//
//sumtype:decl
type Action interface{ action() }

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      Peer
	Message Message
}

// Changed reports keys whose in-force or newest revision changed.
type Changed struct{ Keys []string }

// Read requests a full list of each prefix from the store.
type Read struct{}

// StoreRestored reports that a response with a revision contradicts the records held, so that
// the revisions of the store have become smaller.
type StoreRestored struct{ Revision dfuident.Revision }

func (Send) action()          {}
func (Changed) action()       {}
func (Read) action()          {}
func (StoreRestored) action() {}
