package dfuclaim

import "dragonflyusher/core/process/dfuident"

// Message is a message between the machines of a service's nodes.
//
//sumtype:decl
type Message interface{ message() }

// Term identifies one generation of one shard.
type Term struct {
	Shard      ShardIndex
	Generation dfuident.Generation
}

// Sequence numbers the claims of one process of a node. It distinguishes the
// current claim of a key from earlier ones that a delayed message may refer to.
type Sequence uint64

// Ask asks the copy holder to record a claim.
type Ask struct {
	Term     Term
	Key      dfuident.Key
	Birth    UnixMs
	Request  dfuident.RequestID
	Sequence Sequence
}

// Ack reports that the copy holder recorded the claim.
type Ack struct {
	Term     Term
	Key      dfuident.Key
	Sequence Sequence
}

// Refuse reports that the copy holder did not record the claim: it is not, or no
// longer, the copy holder in that generation, or its record of the key conflicts
// with the claim.
type Refuse struct {
	Term     Term
	Key      dfuident.Key
	Sequence Sequence
}

// Withdraw reports that the claims of the key by Runner up to Sequence have not run
// and never will.
type Withdraw struct {
	Shard    ShardIndex
	Key      dfuident.Key
	Runner   dfuident.Member
	Sequence Sequence
}

// Finishes reports how granted requests ended.
type Finishes struct {
	Shard   ShardIndex
	Records []Record
}

// Snapshot sends a new copy holder all records of a shard, together with the table
// that names it as the copy holder.
type Snapshot struct {
	Term     Term
	Revision dfuident.Revision
	Table    Table
	Floor    UnixMs
	Records  []Record
}

// SnapshotAck reports that the copy holder has the shard's records.
type SnapshotAck struct {
	Term Term
}

// Relinquish states that the owner will never grant in the generation again, and
// sends the copy holder the final records. The copy holder may then grant alone.
type Relinquish struct {
	Snapshot Snapshot
}

// LeaveCopy states that the copy holder will never take over in the generation.
// The owner may then grant alone.
type LeaveCopy struct {
	Term Term
}

// HandoverAck acknowledges a Relinquish or LeaveCopy.
type HandoverAck struct {
	Term Term
}

// TableNotice distributes a table that the store accepted.
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
