package dfuclaimer

import (
	"encoding/gob"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"

	"github.com/cockroachdb/errors"
)

// ReceiverName is the net/rpc name under which the receiver is registered.
const ReceiverName = "Claims"

// deliverMethod is the net/rpc method through which nodes send each other messages.
const deliverMethod = ReceiverName + ".Deliver"

var (
	// errWrongIncarnation is returned for messages to another incarnation of the node.
	errWrongIncarnation = errors.New("messages are addressed to another incarnation of this node")
	// errInboxFull is returned if the inbox has no room for a message.
	errInboxFull = errors.New("claim inbox is full")
)

// Delivery is a batch of messages from one incarnation of a node to another.
type Delivery struct {
	From     dfuident.Member
	To       dfuident.Member
	Messages []dfuclaim.Message
}

// init registers the messages with gob under short names.
func init() {
	gob.RegisterName("ask", dfuclaim.Ask{})
	gob.RegisterName("ack", dfuclaim.Ack{})
	gob.RegisterName("refuse", dfuclaim.Refuse{})
	gob.RegisterName("withdraw", dfuclaim.Withdraw{})
	gob.RegisterName("finishes", dfuclaim.Finishes{})
	gob.RegisterName("snapshot", dfuclaim.Snapshot{})
	gob.RegisterName("snapshot_ack", dfuclaim.SnapshotAck{})
	gob.RegisterName("relinquish", dfuclaim.Relinquish{})
	gob.RegisterName("leave_copy", dfuclaim.LeaveCopy{})
	gob.RegisterName("handover_ack", dfuclaim.HandoverAck{})
	gob.RegisterName("table_notice", dfuclaim.TableNotice{})
}

// Receiver is the net/rpc receiver of claim messages from other nodes.
type Receiver struct {
	claimer *Claimer
}

// Deliver adds a batch of messages to the inbox. If the inbox is full, the rest of
// the batch is lost; the sender's machine repeats the messages that matter.
func (r *Receiver) Deliver(delivery Delivery, _ *struct{}) error {
	if delivery.To != r.claimer.deps.Self {
		return errWrongIncarnation
	}
	for _, msg := range delivery.Messages {
		if !r.claimer.inbox.Offer(input{event: dfuclaim.PeerMessage{From: delivery.From, Message: msg}}) {
			return errInboxFull
		}
	}
	return nil
}
