package dfucontrol

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroster"

	"github.com/cockroachdb/errors"
)

// ReceiverName is the net/rpc name of the receiver.
const ReceiverName = "Control"

// deliverMethod is the net/rpc method by which nodes send packets to each other.
const deliverMethod = ReceiverName + ".Deliver"

// Receiver is the net/rpc receiver for packets from other nodes.
type Receiver struct {
	control *Controller
}

// errNotReady is returned to peers until the node has joined.
var errNotReady = errors.New("the node has not joined yet")

// errStopped is returned to peers after the event loop has ended.
var errStopped = errors.New("the control plane has stopped")

// Deliver passes a packet to the event loop and waits for the direct answer to
// it, which may be empty. A packet that arrives before the node has joined is
// rejected, and its sender becomes a join candidate.
func (r *Receiver) Deliver(packet, answer *dfuroster.Packet) error {
	c := r.control
	if c.Member().IsZero() {
		if packet.Membership != nil {
			c.joinCandidates.Offer(packet.Membership.From)
		}
		return errNotReady
	}
	reply := make(chan dfuroster.Packet, 1)
	if !c.inbox.Offer(input{event: dfuroster.Received{Packet: *packet}, answer: reply}) {
		return errQueueFull
	}
	timer := time.NewTimer(c.cfg.CallTimeout.Std())
	defer timer.Stop()
	select {
	case *answer = <-reply:
		return nil
	case <-c.stopped:
		return errStopped
	case <-timer.C:
		return context.DeadlineExceeded
	}
}

// outgoing is a packet to be sent to a member.
type outgoing struct {
	to     dfuident.Address
	packet dfuroster.Packet
}

// send sends queued packets to peers until ctx ends. Failed calls aren't
// retried, since the protocols tolerate lost packets.
func (c *Controller) send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case out := <-c.outbox.Items():
			c.call(ctx, out)
		}
	}
}

// call sends one packet and passes the answer, if any, to the event loop.
func (c *Controller) call(ctx context.Context, out outgoing) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout.Std())
	defer cancel()
	var answer dfuroster.Packet
	if err := c.deps.PeerClient.Call(ctx, out.to, deliverMethod, &out.packet, &answer); err != nil {
		c.failedCalls.Add(1)
		return
	}
	if !answer.IsEmpty() {
		c.inbox.Offer(input{event: dfuroster.Received{Packet: answer}})
	}
}
