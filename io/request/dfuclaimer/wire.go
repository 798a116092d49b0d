package dfuclaimer

import (
	"encoding/gob"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"

	"github.com/cockroachdb/errors"
)

// ReceiverName is the name that the receiver is registered under.
const ReceiverName = "Claims"

// deliverMethod is the method by which nodes send each other messages.
const deliverMethod = ReceiverName + ".Deliver"

var (
	// errOtherRun is returned for messages to another run of the node.
	errOtherRun = errors.New("the messages are for another run of this node")
	// errRingFull is returned when the duty can't keep up.
	errRingFull = errors.New("the claim duty is behind")
)

// Delivery is a batch of messages from one run of a node to another.
type Delivery struct {
	From     dfuident.Member
	To       dfuident.Member
	Messages []dfuclaim.Message
}

// init gives the messages short names on the wire.
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

// Receiver takes messages from other nodes, in the form that net/rpc wants.
type Receiver struct {
	duty *Duty
}

// Deliver takes a batch of messages. A message that finds the ring full is
// lost, and the sender's machine repeats what matters.
func (r *Receiver) Deliver(delivery Delivery, _ *struct{}) error {
	if delivery.To != r.duty.deps.Self {
		return errOtherRun
	}
	for _, msg := range delivery.Messages {
		if !r.duty.inbox.Offer(input{event: dfuclaim.PeerMessage{From: delivery.From, Message: msg}}) {
			return errRingFull
		}
	}
	return nil
}
