package dfuclaim

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Event is an input of the machine.
//
//sumtype:decl
type Event interface{ event() }

// Claim asks whether a request may run. It is answered by one Grant, Deny or
// Replay action, at once or before Remaining has passed; a Released event for
// the request calls it off.
type Claim struct {
	Request dfuident.RequestID
	Key     dfuident.Key
	// Wall is the node's wall clock.
	Wall UnixMs
	// Remaining is the time left until the request's deadline.
	Remaining dfuclock.Duration
}

// Finished reports that a granted request was handed to the target and is over.
type Finished struct {
	Request dfuident.RequestID
	// Ran means that the target answered; otherwise nobody knows whether the
	// request had its effect.
	Ran    bool
	Status int
	Answer []byte
}

// Released reports that a request was not handed over and never will be: a
// granted one that the gate gave up, or a claim that nobody waits for anymore.
type Released struct {
	Request dfuident.RequestID
}

// PeerMessage delivers a message that another node's machine sent. Messages
// may be lost, repeated, late and out of order.
type PeerMessage struct {
	From    dfuident.Member
	Message Message
}

// TableSeen reports the table that the store held at a revision, read from the
// store in answer to ReadTable.
type TableSeen struct {
	// Revision is the revision of the table's key, zero if there is no table.
	Revision dfuident.Revision
	Table    Table
	// Deleted tells that there was a table once, so that keys may have run
	// under it. Of a service that never had one, no key has run.
	Deleted bool
}

// ReadFailed reports that ReadTable got no answer from the store.
type ReadFailed struct{}

// RosterChanged gives the nodes of the service, with the latest incarnation
// known of each.
type RosterChanged struct {
	Nodes []Node
}

// EntryChanged gives what the service's catalogue entry says of claims.
type EntryChanged struct {
	// Epoch is the claim_epoch. By raising it an operator vouches that shard
	// holders that look dead have ended.
	Epoch uint64
	// Window is how long after its birth a key's record is kept; zero leaves
	// it as it was.
	Window dfuclock.Duration
}

// WriteResult reports what became of the outstanding WriteTable.
type WriteResult struct {
	Status WriteStatus
	// Revision is the table's new revision if the write was accepted.
	Revision dfuident.Revision
}

// WriteStatus says what became of a write.
type WriteStatus string

// The outcomes of a write.
const (
	WriteAccepted WriteStatus = "accepted"
	// WriteRejected means that the write has and will have no effect, because
	// of a conflict or since the store certainly didn't get it.
	WriteRejected WriteStatus = "rejected"
	// WriteUncertain means that it may have taken effect or yet will.
	WriteUncertain WriteStatus = "uncertain"
)

// Leaving reports that this node is about to stop. From then on the machine
// grants nothing and hands its shards over; it says Left when it is done.
type Leaving struct{}

// Tick lets time pass. It is due every few tens of milliseconds.
type Tick struct {
	// Wall is the node's wall clock.
	Wall UnixMs
}

func (Claim) event()         {}
func (Finished) event()      {}
func (Released) event()      {}
func (PeerMessage) event()   {}
func (TableSeen) event()     {}
func (ReadFailed) event()    {}
func (RosterChanged) event() {}
func (EntryChanged) event()  {}
func (WriteResult) event()   {}
func (Leaving) event()       {}
func (Tick) event()          {}
