package dfuident

import "strconv"

// NodeID names a node, the process that runs beside one target. It stays the
// same when the VM's process restarts under the same settings.
type NodeID string

// Incarnation tells one run of a node from its earlier and later runs. A later
// run has a greater incarnation: it is taken from the wall clock at start, in
// milliseconds, and is always above the one the store last held for the node.
type Incarnation uint64

// Member names one run of one node.
type Member struct {
	Node        NodeID      `json:"node"`
	Incarnation Incarnation `json:"incarnation"`
}

// Service names a service of the catalogue.
type Service string

// Owner names the team that owns a catalogue entry.
type Owner string

// Zone names an availability zone.
type Zone string

// Region names a region, a set of availability zones.
type Region string

// Caller names a caller for the sake of fairness; it is sent by the caller.
type Caller string

// Key is an idempotency key chosen by the caller, unique within a service.
type Key string

// Revision is the store's revision of one key. It grows with every change of
// any key in the store and is zero for a key that was never written.
type Revision uint64

// ChangeID names one change of one catalogue entry, chosen by the writer so
// that it can find out whether a write with a lost reply took effect.
type ChangeID string

// Generation counts the ownership changes of one claim shard.
type Generation uint64

// Instance names one run of a target; a target that starts again mostly has
// another one.
type Instance string

// Kind tells requests of a service apart that take different times and bytes,
// such as those of different routes. Zero is a kind too.
type Kind uint64

// Bytes is a number of bytes.
type Bytes int64

// Address is an IP address with a port, as in "127.0.0.1:7001".
type Address string

// RequestID names one attempt of one request across all nodes. Sequence grows
// with every attempt that the entry node's run makes, so ids are never reused.
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

// IsZero reports whether the member is unset.
func (m Member) IsZero() bool {
	return m == Member{}
}

// String returns the request id as "node@incarnation/sequence".
func (r RequestID) String() string {
	return r.Entry.String() + "/" + strconv.FormatUint(r.Sequence, 10)
}

// String returns the place as "region/zone".
func (p Place) String() string {
	return string(p.Region) + "/" + string(p.Zone)
}
