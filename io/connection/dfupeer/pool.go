package dfupeer

import (
	"context"
	"net"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfubody"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// Lane is a class of traffic between two nodes.
type Lane uint8

// The lanes. Each uses a separate connection.
const (
	// Control carries membership, records, claims, seals and cancellations.
	Control Lane = iota
	// Small carries requests with small bodies.
	Small
	// Bulk carries requests with large bodies.
	Bulk
)

// CountFunc counts a call that was written to a peer, or a reply that was read from one: the
// call's method, the message and its size in bytes. It may be called concurrently.
type CountFunc func(method string, message any, bytes int64)

// Pool manages the links to other nodes.
type Pool struct {
	timing  Timing
	local   net.IP
	mu      sync.Mutex
	links   map[linkKey]*link
	dialing map[linkKey]*dialing
	closed  bool
	memory  *dfubody.Memory
	// counterOf returns what counts the bytes of a link to a peer.
	counterOf func(dfuident.Address) CountFunc
}

type linkKey struct {
	address dfuident.Address
	lane    Lane
}

// dialing is a link that is being opened for all calls that wait for it. link
// and err are set before done is closed.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

var errClosed = errors.Mark(errors.New("pool is closed"), ErrNotSent)

// NewPool returns a pool without links. Links are opened from the IP address local.
func NewPool(timing Timing, local net.IP) *Pool {
	return &Pool{timing: timing, local: local, links: map[linkKey]*link{}, dialing: map[linkKey]*dialing{}, memory: unlimitedMemory(), counterOf: countNothing}
}

// LimitMemory limits the memory of large bodies. It must be called before the first call.
func (p *Pool) LimitMemory(memory *dfubody.Memory) {
	p.memory = memory
}

// CountBytes sets the function that returns, for each new link, what counts its bytes. It must
// be called before the first call.
func (p *Pool) CountBytes(counterOf func(to dfuident.Address) CountFunc) {
	p.counterOf = counterOf
}

func countNothing(dfuident.Address) CountFunc {
	return func(string, any, int64) {}
}

func unlimitedMemory() *dfubody.Memory {
	return dfubody.NewMemory(dfubody.Limits{}, dfuclock.New(), metrics.NewRegistry())
}

// Call calls a method of a peer on a lane. The error is marked ErrNotSent if no byte
// of the call left this node, and ErrLost if the peer may have received the call. An
// error that the peer returned is not marked.
func (p *Pool) Call(ctx context.Context, to dfuident.Address, lane Lane, method string, args, reply any) error {
	return p.CallOrDetach(ctx, to, lane, method, args, reply, nil)
}

// CallOrDetach is like Call, but a call that has begun on a link continues after ctx
// ends: CallOrDetach then returns ErrDetached, and onDone is called later with the
// error that Call would have returned. In all other cases onDone is not called. It is
// for callers that can't wait beyond ctx but still need the result. On the Bulk lane,
// args may still be read after CallOrDetach has returned.
func (p *Pool) CallOrDetach(ctx context.Context, to dfuident.Address, lane Lane, method string, args, reply any, onDone func(error)) error {
	for attempt := 0; ; attempt++ {
		l, err := p.link(ctx, linkKey{to, lane})
		if err != nil {
			return err
		}
		err = l.call(ctx, method, args, reply, onDone)
		if attempt > 0 || !errors.Is(err, ErrNotSent) {
			return err
		}
	}
}

// Run maintains the links until ctx ends: it closes idle links and detects silent
// ones.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(p.timing.Quiet / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// Reconnect closes the link to a peer on a lane, so that the next call opens a new
// one.
func (p *Pool) Reconnect(to dfuident.Address, lane Lane) {
	p.mu.Lock()
	l := p.links[linkKey{to, lane}]
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Close closes every link. A link that is being opened is closed once it is open.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
	clear(p.links)
}

// link returns the open link for key. If there is none, it opens one and waits until
// the link is open or ctx ends.
func (p *Pool) link(ctx context.Context, key linkKey) (*link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errClosed
	}
	if l := p.links[key]; l != nil && !l.ended() {
		p.mu.Unlock()
		return l, nil
	}
	d := p.dialing[key]
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		p.dialing[key] = d
		go p.open(key, d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "dial %s", key.address), ErrNotSent)
	}
}

// open opens a link for all calls that wait for it, so it is not canceled when the
// context of one of them ends.
func (p *Pool) open(key linkKey, d *dialing) {
	defer close(d.done)
	d.link, d.err = dial(string(key.address), p.local, p.timing, p.counterOf(key.address), p.memory)
	if d.err == nil {
		d.link.bulk = key.lane == Bulk
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, key)
	switch {
	case d.err != nil:
	case p.closed:
		d.link.close()
		d.link, d.err = nil, errClosed
	default:
		p.links[key] = d.link
	}
}

// sweep closes idle links, pings links where that is due, and removes ended links.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, l := range p.links {
		l.sweep(now)
		if l.ended() {
			delete(p.links, key)
		}
	}
}
