package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// Action is an output of the Machine.
//
//sumtype:decl
type Action interface{ action() }

// Grant allows a request to run. The gate must report its end with a Finished or
// Released event.
type Grant struct {
	Request dfuident.RequestID
}

// Deny refuses a claim. Outcome is dfuoutcome.NotRun if the request did not run
// and will not run under this claim, or dfuoutcome.Unknown if an earlier request
// with the key ran or may have run.
type Deny struct {
	Request dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// Revision is the revision of this node's table. An entry node that sent the
	// request to a node other than the owner uses it to detect that its own table
	// is stale.
	Revision dfuident.Revision
}

// Replay answers a claim with the stored answer to the key's first request.
type Replay struct {
	Request dfuident.RequestID
	Status  int
	Answer  []byte
}

// SendMessage sends a message to another node of the service.
type SendMessage struct {
	To      dfuident.Member
	Message Message
}

// ReadTable requests a read of the table from the store. The result arrives as a
// TableRead or ReadFailed event.
type ReadTable struct{}

// WriteTable requests a compare-and-swap of the table: it is replaced if it is
// still at revision Expect, where zero means that no table exists. The result
// arrives as a WriteResult event. At most one write is outstanding, apart from one that a
// newer table has ended.
type WriteTable struct {
	Expect dfuident.Revision
	Table  Table
}

// HandoverDone reports that a stopping node has finished handing over its shards.
type HandoverDone struct{}

// Log requests a log line about a change of a shard's ownership.
type Log struct {
	Shard      ShardIndex
	Generation dfuident.Generation
	Transition Transition
	// Member is another holder of the shard, zero if there is none.
	Member dfuident.Member
}

// Transition is the kind of an ownership change, as written to the log.
type Transition string

// The kinds of ownership changes.
const (
	TransitionOwns                    Transition = "owns"
	TransitionCopies                  Transition = "copies"
	TransitionStandsDown              Transition = "stands_down"
	TransitionSynchronized            Transition = "synchronized"
	TransitionGrantsAlone             Transition = "grants_alone"
	TransitionRelinquishes            Transition = "relinquishes"
	TransitionLeavesCopy              Transition = "leaves_copy"
	TransitionCreates                 Transition = "creates"
	TransitionTakesOver               Transition = "takes_over"
	TransitionTakesOverWithoutRecords Transition = "forgets"
	TransitionAdopts                  Transition = "adopts"
	TransitionReleases                Transition = "releases"
	TransitionConfirms                Transition = "confirms"
	TransitionReplacesCopy            Transition = "replaces_copy"
	TransitionRebalances              Transition = "rebalances"
	TransitionUpdatesEpoch            Transition = "notes_epoch"
)

func (Grant) action()        {}
func (Deny) action()         {}
func (Replay) action()       {}
func (SendMessage) action()  {}
func (ReadTable) action()    {}
func (WriteTable) action()   {}
func (HandoverDone) action() {}
func (Log) action()          {}
