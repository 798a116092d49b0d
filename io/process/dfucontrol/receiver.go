package dfucontrol

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroster"

	"github.com/cockroachdb/errors"
)

// ReceiverName is the name that the receiver is registered under.
const ReceiverName = "Control"

// deliverMethod is the method by which nodes send each other packets.
const deliverMethod = ReceiverName + ".Deliver"

// Receiver takes packets from other nodes, in the form that net/rpc wants.
type Receiver struct {
	duty *Duty
}

// errNotReady is returned to peers while the node does not know who it is.
var errNotReady = errors.New("the node has not joined yet")

// Deliver takes a packet and returns the direct answer to it, which may be
// empty.
func (r *Receiver) Deliver(packet, answer *dfuroster.Packet) error {
	d := r.duty
	if d.Member().IsZero() {
		if packet.Membership != nil {
			d.callers.Offer(packet.Membership.From)
		}
		return errNotReady
	}
	reply := make(chan dfuroster.Packet, 1)
	if !d.inbox.Offer(input{event: dfuroster.Received{Packet: *packet}, answer: reply}) {
		return errRingFull
	}
	timer := time.NewTimer(d.cfg.CallTimeout.Std())
	defer timer.Stop()
	select {
	case *answer = <-reply:
		return nil
	case <-timer.C:
		return context.DeadlineExceeded
	}
}

// outgoing is one packet on its way to a member.
type outgoing struct {
	to     dfuident.Address
	packet dfuroster.Packet
}

// send makes calls to peers until ctx ends. A lost packet needs no repeat.
func (d *Duty) send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case out := <-d.outbox.Items():
			d.call(ctx, out)
		}
	}
}

func (d *Duty) call(ctx context.Context, out outgoing) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout.Std())
	defer cancel()
	var answer dfuroster.Packet
	if err := d.deps.Caller.Call(ctx, out.to, deliverMethod, &out.packet, &answer); err != nil {
		d.failedCalls.Add(1)
		return
	}
	if !answer.IsEmpty() {
		d.inbox.Offer(input{event: dfuroster.Received{Packet: answer}})
	}
}
