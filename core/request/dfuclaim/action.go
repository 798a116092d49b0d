package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// Action is an output of the machine.
//
//sumtype:decl
type Action interface{ action() }

// Grant allows a request to run. The gate must report Finished or Released.
type Grant struct {
	Request dfuident.RequestID
}

// Deny refuses a claim. Outcome is dfuoutcome.NotRun if the request did not run
// and this claim never will, or dfuoutcome.Unknown if an earlier request with
// the key ran or may have.
type Deny struct {
	Request dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// Revision is the revision of the table known here, for an entry node that
	// sent the request to a node that is not the owner.
	Revision dfuident.Revision
}

// Replay answers a claim with the answer that the key's first request got.
type Replay struct {
	Request dfuident.RequestID
	Status  int
	Answer  []byte
}

// SendPeer sends a message to another node of the service.
type SendPeer struct {
	To      dfuident.Member
	Message Message
}

// ReadTable asks for the table in the store; TableSeen or ReadFailed answers.
type ReadTable struct{}

// WriteTable asks to replace the table if it is still at the expected revision,
// zero meaning that there is none. WriteResult answers; at most one write is
// outstanding.
type WriteTable struct {
	Expect dfuident.Revision
	Table  Table
}

// Left reports that a leaving node has handed over all that it could.
type Left struct{}

// Log reports a change of a shard's ownership.
type Log struct {
	Shard      ShardIndex
	Generation dfuident.Generation
	Transition Transition
	Member     dfuident.Member
}

// Transition names a change of a shard's ownership in the log.
type Transition string

// The transitions that are logged.
const (
	TransitionOwns         Transition = "owns"
	TransitionCopies       Transition = "copies"
	TransitionStandsDown   Transition = "stands_down"
	TransitionSynchronized Transition = "synchronized"
	TransitionGrantsAlone  Transition = "grants_alone"
	TransitionRelinquishes Transition = "relinquishes"
	TransitionLeavesCopy   Transition = "leaves_copy"
	TransitionCreates      Transition = "creates"
	TransitionTakesOver    Transition = "takes_over"
	TransitionForgets      Transition = "forgets"
	TransitionAdopts       Transition = "adopts"
	TransitionReleases     Transition = "releases"
	TransitionConfirms     Transition = "confirms"
	TransitionReplacesCopy Transition = "replaces_copy"
	TransitionRebalances   Transition = "rebalances"
	TransitionNotesEpoch   Transition = "notes_epoch"
)

func (Grant) action()      {}
func (Deny) action()       {}
func (Replay) action()     {}
func (SendPeer) action()   {}
func (ReadTable) action()  {}
func (WriteTable) action() {}
func (Left) action()       {}
func (Log) action()        {}
