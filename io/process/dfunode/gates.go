package dfunode

import (
	"context"
	"sync/atomic"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfubody"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
)

// gates calls the gate of this node directly and the gates of other nodes over
// peer links.
type gates struct {
	pool  *dfupeer.Pool
	local *receiver
}

// Offer sends a request to the gate of node to and returns its reply. If ctx ends
// during the call of a remote gate, Offer returns dfupeer.ErrDetached, and
// onLateReply is called with the result once the call has ended. If ctx ends before
// the offer, with its body, was sent, the error is marked dfupeer.ErrNotSent. A call
// of the local gate ignores ctx.
func (g gates) Offer(ctx context.Context, to dfuroster.Node, offer *dfumessage.Offer, onLateReply func(*dfumessage.Reply, error)) (*dfumessage.Reply, error) {
	reply := &dfumessage.Reply{}
	if to.Member == g.local.self() {
		return reply, g.local.Offer(offer, reply)
	}
	if len(offer.Body) > maxInlineBodyBytes && (offer.Idempotent || offer.NoClaim) {
		refused, err := g.offerWithoutBody(ctx, to, offer)
		if refused != nil || err != nil {
			return refused, err
		}
		fullOffer := *offer
		fullOffer.NoWait = false
		offer = &fullOffer
	}
	lane := dfupeer.Small
	if offer.Bulk {
		lane = dfupeer.Bulk
	}
	err := g.pool.CallOrDetach(ctx, to.Peer, lane, dfumessage.MethodOffer, offer, reply, func(err error) { onLateReply(reply, err) })
	return reply, err
}

// maxInlineBodyBytes is the size of a body above which the gate is asked before the
// body of an idempotent or unclaimed request is sent: a refusal then saves more than
// ten times the bytes of the offer without its body.
const maxInlineBodyBytes = 16 << 10

// offerWithoutBody asks the gate whether it would take the offer with its body. It
// returns the gate's reply if not, and no reply and no error if the body may be
// sent. Failures are marked dfupeer.ErrNotSent, since a gate never runs an offer
// without its body.
func (g gates) offerWithoutBody(ctx context.Context, to dfuroster.Node, offer *dfumessage.Offer) (*dfumessage.Reply, error) {
	reply := &dfumessage.Reply{}
	err := g.pool.Call(ctx, to.Peer, dfupeer.Small, dfumessage.MethodOffer, offer.WithoutBody(), reply)
	switch {
	case err != nil:
		return nil, errors.Mark(err, dfupeer.ErrNotSent)
	case !reply.SendBody:
		return reply, nil
	default:
		return nil, errors.Mark(errors.WithStack(ctx.Err()), dfupeer.ErrNotSent)
	}
}

// Cancel withdraws a request.
func (g gates) Cancel(ctx context.Context, to dfuroster.Node, cancel dfumessage.Cancel) error {
	if to.Member == g.local.self() {
		return g.local.Cancel(&cancel, &struct{}{})
	}
	return g.pool.Call(ctx, to.Peer, dfupeer.Control, dfumessage.MethodCancel, &cancel, &struct{}{})
}

// Seal forbids a request to start and returns its state. If the call fails, the
// link is closed, so that the next seal uses a new one.
func (g gates) Seal(ctx context.Context, to dfuroster.Node, seal dfumessage.Seal) (*dfumessage.SealReply, error) {
	reply := &dfumessage.SealReply{}
	if to.Member == g.local.self() {
		return reply, g.local.Seal(&seal, reply)
	}
	err := g.pool.Call(ctx, to.Peer, dfupeer.Control, dfumessage.MethodSeal, &seal, reply)
	if err != nil {
		g.pool.Reconnect(to.Peer, dfupeer.Control)
	}
	return reply, err
}

// receiver handles calls to the gate of a node that has joined.
type receiver struct {
	admission *dfuadmission.Controller
	view      func() *dfuroster.View
}

// gateReceiver is the net/rpc receiver "Gate". Until the node has joined there is
// no gate, and calls can only be meant for an earlier run of the node.
type gateReceiver struct {
	components *atomic.Pointer[components]
	view       func() *dfuroster.View
	bodies     *dfubody.Memory
}

// gate returns the gate, or nil before the node has joined.
func (r *gateReceiver) gate() *receiver {
	c := r.components.Load()
	if c == nil {
		return nil
	}
	return &receiver{admission: c.gate, view: r.view}
}

// Offer forwards the offer to the gate. Until the node has joined it replies that
// the request was not run because it is stale.
func (r *gateReceiver) Offer(offer *dfumessage.Offer, reply *dfumessage.Reply) error {
	if offer.Dropped() {
		*reply = dfumessage.Reply{ID: offer.ID, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonMemoryFull}
		return nil
	}
	g := r.gate()
	if g == nil {
		*reply = dfumessage.Reply{ID: offer.ID, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonStaleRequest}
		return nil
	}
	err := g.Offer(offer, reply)
	if size := reply.BodySize(); size > 0 {
		held := r.bodies.Open(nil)
		held.Force(dfuident.Bytes(size))
		reply.OnSent(held.Release)
	}
	return err
}

// Cancel withdraws a request.
func (r *gateReceiver) Cancel(cancel *dfumessage.Cancel, done *struct{}) error {
	if g := r.gate(); g != nil {
		return g.Cancel(cancel, done)
	}
	return nil
}

// News receives a crash report from another gate of the service.
func (r *gateReceiver) News(report *News, done *struct{}) error {
	if g := r.gate(); g != nil {
		return g.News(report, done)
	}
	return nil
}

// Seal forwards the seal to the gate. Until the node has joined it replies
// SealForgotten, since the earlier run of the node has ended.
func (r *gateReceiver) Seal(seal *dfumessage.Seal, reply *dfumessage.SealReply) error {
	if g := r.gate(); g != nil {
		return g.Seal(seal, reply)
	}
	*reply = dfumessage.SealReply{ID: seal.ID, State: dfumessage.SealForgotten}
	return nil
}

// errNoSealReply means that the gate gave no reply to the seal; the node may be
// stopping. The text is sent to other nodes.
var errNoSealReply = errors.New("gate is too busy to answer a seal")

// Offer runs a request and fills in its reply.
func (r *receiver) Offer(offer *dfumessage.Offer, reply *dfumessage.Reply) error {
	class := offer.Class
	if entry, revision, ok := r.view().Entry(offer.Service); !ok || revision > 0 {
		class = dfugate.Class(entry.Class.Rank())
	}
	*reply = *r.admission.Offer(offer, class)
	return nil
}

// Cancel withdraws a request.
func (r *receiver) Cancel(cancel *dfumessage.Cancel, _ *struct{}) error {
	r.admission.Cancel(*cancel)
	return nil
}

// News receives a crash report from another gate of the service.
func (r *receiver) News(report *News, _ *struct{}) error {
	for _, event := range report.events() {
		r.admission.Notify(event)
	}
	return nil
}

// Seal forbids a request to start and replies with its state. For a seal that is
// meant for an earlier run of this node the state is SealForgotten.
func (r *receiver) Seal(seal *dfumessage.Seal, reply *dfumessage.SealReply) error {
	if seal.To != r.self() {
		*reply = dfumessage.SealReply{ID: seal.ID, State: dfumessage.SealForgotten}
		return nil
	}
	answer := r.admission.Seal(seal.ID)
	if answer == nil {
		return errNoSealReply
	}
	*reply = *answer
	return nil
}

// self returns the member that is this run of the node.
func (r *receiver) self() dfuident.Member {
	return r.admission.Self()
}
