package dfuclaim

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Event is an input of the Machine.
//
//sumtype:decl
type Event interface{ event() }

// Claim asks whether a request may run. The machine answers with one Grant, Deny
// or Replay action, at the latest on the first Tick after Remaining has passed. A
// Released event for the request cancels the claim.
type Claim struct {
	Request dfuident.RequestID
	Key     dfuident.Key
	// Wall is the current time by the node's wall clock.
	Wall UnixMs
	// Remaining is the time left until the request's deadline.
	Remaining dfuclock.Duration
}

// Finished reports that a granted request was passed to the target and has ended.
type Finished struct {
	Request dfuident.RequestID
	// Ran is set if the target answered. Otherwise it is unknown whether the
	// request took effect.
	Ran    bool
	Status int
	Answer []byte
}

// Released reports that a request was not passed to the target and never will
// be: the gate dropped it after the grant, or its claim was abandoned.
type Released struct {
	Request dfuident.RequestID
}

// PeerMessage delivers a message from another node's machine. Messages may be
// lost, duplicated, delayed and reordered.
type PeerMessage struct {
	From    dfuident.Member
	Message Message
}

// TableRead is the result of a successful ReadTable.
type TableRead struct {
	// Revision is the revision of the table's key in the store, zero if there is no
	// table.
	Revision dfuident.Revision
	Table    Table
	// Deleted is set if there is no table but one existed before, so that keys may
	// have run under it. No key of a service that never had a table has run.
	Deleted bool
}

// ReadFailed reports that a ReadTable failed.
type ReadFailed struct{}

// RosterChanged gives the nodes of the service, each with its latest known
// incarnation.
type RosterChanged struct {
	Nodes []Node
}

// EntryChanged gives the claim settings of the service's catalogue entry.
type EntryChanged struct {
	// Epoch is the claim_epoch. By raising it an operator confirms that the
	// processes of shard holders that appear dead have ended.
	Epoch uint64
	// Window replaces Config.Window unless it is zero.
	Window dfuclock.Duration
}

// WriteResult is the result of a WriteTable.
type WriteResult struct {
	Status WriteStatus
	// Expect is that of the WriteTable.
	Expect dfuident.Revision
	// Revision is the table's new revision if the write was accepted.
	Revision dfuident.Revision
}

// WriteStatus is the outcome of a write.
type WriteStatus string

// The possible outcomes of a write.
const (
	WriteAccepted WriteStatus = "accepted"
	// WriteRejected means that the write has no effect and never will, because of
	// a conflict or because it certainly did not reach the store.
	WriteRejected WriteStatus = "rejected"
	// WriteUncertain means that the write may have taken effect or may still do so.
	WriteUncertain WriteStatus = "uncertain"
)

// Stopping reports that this node is about to stop. From then on the machine
// denies new claims and hands its shards over. It emits HandoverDone when it is
// done.
type Stopping struct{}

// Tick advances timers. The caller sends one every few tens of milliseconds.
type Tick struct {
	// Wall is the current time by the node's wall clock.
	Wall UnixMs
}

func (Claim) event()         {}
func (Finished) event()      {}
func (Released) event()      {}
func (PeerMessage) event()   {}
func (TableRead) event()     {}
func (ReadFailed) event()    {}
func (RosterChanged) event() {}
func (EntryChanged) event()  {}
func (WriteResult) event()   {}
func (Stopping) event()      {}
func (Tick) event()          {}
