package dfunode

import (
	"context"
	"sync/atomic"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
)

// gates reaches this node's own gate directly and the others over peer links.
type gates struct {
	pool  *dfupeer.Pool
	local *receiver
}

// Offer asks the gate beside a target to run a request. If ctx ends first it
// returns dfupeer.ErrDetached, and late gets the end.
func (g gates) Offer(ctx context.Context, to dfuroster.Node, offer *dfumessage.Offer, late func(*dfumessage.Reply, error)) (*dfumessage.Reply, error) {
	reply := &dfumessage.Reply{}
	if to.Member == g.local.self() {
		return reply, g.local.Offer(offer, reply)
	}
	if len(offer.Body) > bodyAheadBytes && (offer.Idempotent || offer.NoClaim) {
		refused, err := g.askAhead(ctx, to, offer)
		if refused != nil || err != nil {
			return refused, err
		}
		whole := *offer
		whole.NoWait = false
		offer = &whole
	}
	lane := dfupeer.Small
	if offer.Bulk {
		lane = dfupeer.Bulk
	}
	err := g.pool.CallOrDetach(ctx, to.Peer, lane, dfumessage.MethodOffer, offer, reply, func(err error) { late(reply, err) })
	return reply, err
}

// bodyAheadBytes is the body above which the gate is asked before it is sent: a
// refusal then saves more than ten times the bytes of the question.
const bodyAheadBytes = 16 << 10

// askAhead asks the gate whether the offer's body may be sent, and returns its reply
// if it may not. An offer without its body never runs, so that a question which is
// lost counts as one that was not sent.
func (g gates) askAhead(ctx context.Context, to dfuroster.Node, offer *dfumessage.Offer) (*dfumessage.Reply, error) {
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

// Seal asks what became of a request. A failure ends the link, so that the
// next seal goes over a new one.
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

// receiver is what other nodes call as "Gate".
type receiver struct {
	duty *dfuadmission.Duty
	view func() *dfuroster.View
}

// gateReceiver is what is registered as "Gate". Before the node has joined it has
// no gate: what reaches it is meant for a former run.
type gateReceiver struct {
	started *atomic.Pointer[started]
	view    func() *dfuroster.View
}

// gate returns the gate, or nil before the node has joined.
func (r *gateReceiver) gate() *receiver {
	s := r.started.Load()
	if s == nil {
		return nil
	}
	return &receiver{duty: s.gate, view: r.view}
}

// Offer runs a request and fills in its reply.
func (r *gateReceiver) Offer(offer *dfumessage.Offer, reply *dfumessage.Reply) error {
	if g := r.gate(); g != nil {
		return g.Offer(offer, reply)
	}
	*reply = dfumessage.Reply{ID: offer.ID, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonStaleRequest}
	return nil
}

// Cancel withdraws a request.
func (r *gateReceiver) Cancel(cancel *dfumessage.Cancel, done *struct{}) error {
	if g := r.gate(); g != nil {
		return g.Cancel(cancel, done)
	}
	return nil
}

// News takes what another gate of the service tells about crashes.
func (r *gateReceiver) News(news *News, done *struct{}) error {
	if g := r.gate(); g != nil {
		return g.News(news, done)
	}
	return nil
}

// Seal finds that a former run is over.
func (r *gateReceiver) Seal(seal *dfumessage.Seal, reply *dfumessage.SealReply) error {
	if g := r.gate(); g != nil {
		return g.Seal(seal, reply)
	}
	*reply = dfumessage.SealReply{ID: seal.ID, State: dfumessage.SealForgotten}
	return nil
}

var errGateBusy = errors.New("gate is too busy to answer a seal")

// Offer runs a request and fills in its reply.
func (r *receiver) Offer(offer *dfumessage.Offer, reply *dfumessage.Reply) error {
	class := offer.Class
	if entry, revision, ok := r.view().Entry(offer.Service); !ok || revision > 0 {
		class = dfugate.Class(entry.Class.Rank())
	}
	*reply = *r.duty.Offer(offer, class)
	return nil
}

// Cancel withdraws a request.
func (r *receiver) Cancel(cancel *dfumessage.Cancel, _ *struct{}) error {
	r.duty.Cancel(*cancel)
	return nil
}

// News takes what another gate of the service tells about crashes.
func (r *receiver) News(news *News, _ *struct{}) error {
	for _, event := range news.events() {
		r.duty.Notify(event)
	}
	return nil
}

// Seal forbids a request to start. A seal meant for a former run of this node
// finds that the run is over.
func (r *receiver) Seal(seal *dfumessage.Seal, reply *dfumessage.SealReply) error {
	if seal.To != r.self() {
		*reply = dfumessage.SealReply{ID: seal.ID, State: dfumessage.SealForgotten}
		return nil
	}
	answer := r.duty.Seal(seal.ID)
	if answer == nil {
		return errGateBusy
	}
	*reply = *answer
	return nil
}

// self returns this run of the node.
func (r *receiver) self() dfuident.Member {
	return r.duty.Self()
}
