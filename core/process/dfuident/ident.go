package dfuident

import "strconv"

// NodeID identifies a node, the process that runs next to one target. It stays
// the same when the process restarts on the VM with the same settings.
type NodeID string

// Incarnation identifies one run of a node. Later runs have greater
// incarnations: it is the wall-clock time at the start in milliseconds, raised
// if necessary above the last incarnation that the store has for the node.
type Incarnation uint64

// Member identifies one run of one node.
type Member struct {
	Node        NodeID      `json:"node"`
	Incarnation Incarnation `json:"incarnation"`
}

// Service is the name of a service in the catalogue.
type Service string

// Workspace is the name of a tenant of the fleet: the holder of some API keys, on
// whose behalf requests run.
type Workspace string

// Owner is the name of the team that owns a catalogue entry.
type Owner string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, a set of availability zones.
type Region string

// Caller identifies a caller for fair queueing. It is set by the caller itself.
type Caller string

// Key is an idempotency key chosen by the caller, unique within a service.
type Key string

// ChangeID identifies one change of a catalogue entry. The writer chooses it,
// to find out whether a write took effect if its reply was lost.
type ChangeID string

// Generation is the number of ownership changes of a claim shard.
type Generation uint64

// Instance identifies one run of a target. A restarted target usually has a
// different one.
type Instance string

// Kind groups requests of a service that have similar processing times and
// sizes, such as those of one route. Zero is a valid kind.
type Kind uint64

// Bytes is a size in bytes.
type Bytes int64

// Address is an IP address with a port, for example "127.0.0.1:7001".
type Address string

// RequestID identifies one attempt of a request across all nodes. Sequence
// increases with every attempt of the entry node's run, so IDs are never
// reused.
type RequestID struct {
	Entry    Member `json:"entry"`
	Sequence uint64 `json:"sequence"`
}

// Place is the location of a node or a target.
type Place struct {
	Region Region `json:"region"`
	Zone   Zone   `json:"zone"`
}

// String returns the member as "node@incarnation".
func (m Member) String() string {
	return string(m.Node) + "@" + strconv.FormatUint(uint64(m.Incarnation), 10)
}

// IsZero reports whether m is the zero value.
func (m Member) IsZero() bool {
	return m == Member{}
}

// String returns the request ID as "node@incarnation/sequence".
func (r RequestID) String() string {
	return r.Entry.String() + "/" + strconv.FormatUint(r.Sequence, 10)
}

// String returns the place as "region/zone".
func (p Place) String() string {
	return string(p.Region) + "/" + string(p.Zone)
}
