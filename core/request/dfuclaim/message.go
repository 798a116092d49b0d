package dfuclaim

import "dragonflyusher/core/process/dfuident"

// Message is what the machines of a service's nodes send each other.
//
//sumtype:decl
type Message interface{ message() }

// Term names one generation of one shard.
type Term struct {
	Shard      ShardIndex
	Generation dfuident.Generation
}

// Sequence numbers the claims that one run of a node makes, so that a late
// message about an earlier claim of a key is told from the present one.
type Sequence uint64

// Ask asks the copy holder to record a claim.
type Ask struct {
	Term     Term
	Key      dfuident.Key
	Birth    UnixMs
	Request  dfuident.RequestID
	Sequence Sequence
}

// Ack says that the copy holder recorded the claim.
type Ack struct {
	Term     Term
	Key      dfuident.Key
	Sequence Sequence
}

// Refuse says that the copy holder did not record the claim, since it is not or
// no longer the copy holder in the generation.
type Refuse struct {
	Term     Term
	Key      dfuident.Key
	Sequence Sequence
}

// Withdraw says that the runner's claims of the key up to Sequence have not
// run and never will.
type Withdraw struct {
	Shard    ShardIndex
	Key      dfuident.Key
	Runner   dfuident.Member
	Sequence Sequence
}

// Finishes says how granted requests ended.
type Finishes struct {
	Shard   ShardIndex
	Records []Record
}

// Snapshot gives a new copy holder all records of a shard, with the table that
// names it.
type Snapshot struct {
	Term     Term
	Revision dfuident.Revision
	Table    Table
	Floor    UnixMs
	Records  []Record
}

// SnapshotAck says that the copy holder has the shard's records.
type SnapshotAck struct {
	Term Term
}

// Relinquish says that the owner will never grant in the generation again, and
// gives the copy holder the final records. The copy holder may grant alone.
type Relinquish struct {
	Snapshot Snapshot
}

// LeaveCopy says that the copy holder will never take over in the generation.
// The owner may grant alone.
type LeaveCopy struct {
	Term Term
}

// HandoverAck says that a Relinquish or LeaveCopy arrived.
type HandoverAck struct {
	Term Term
}

// TableNotice passes on a table that the store accepted.
type TableNotice struct {
	Revision dfuident.Revision
	Table    Table
}

func (Ask) message()         {}
func (Ack) message()         {}
func (Refuse) message()      {}
func (Withdraw) message()    {}
func (Finishes) message()    {}
func (Snapshot) message()    {}
func (SnapshotAck) message() {}
func (Relinquish) message()  {}
func (LeaveCopy) message()   {}
func (HandoverAck) message() {}
func (TableNotice) message() {}
