package dfupeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// Lane separates kinds of traffic between two nodes.
type Lane uint8

// The lanes, each with a connection of its own.
const (
	// Control carries membership, records, claims, seals and cancellations.
	Control Lane = iota
	// Small carries requests with small bodies.
	Small
	// Bulk carries requests with large bodies.
	Bulk
)

// Traffic counts the bytes of one lane over all peers.
type Traffic struct {
	Read    atomic.Int64
	Written atomic.Int64
}

// Pool holds the links to other nodes.
type Pool struct {
	timing  Timing
	local   net.IP
	mu      sync.Mutex
	links   map[linkKey]*link
	opening map[linkKey]*opening
	closed  bool
	traffic [Bulk + 1]Traffic
}

type linkKey struct {
	address dfuident.Address
	lane    Lane
}

// opening is a link that is being opened for all calls that wait for it. The
// result is set before done is closed.
type opening struct {
	done chan struct{}
	link *link
	err  error
}

var errClosed = errors.Mark(errors.New("pool is closed"), ErrNotSent)

// NewPool returns a pool without links. Links are opened from the local address.
func NewPool(timing Timing, local net.IP) *Pool {
	return &Pool{timing: timing, local: local, links: map[linkKey]*link{}, opening: map[linkKey]*opening{}}
}

// Call makes one call on a lane to a peer. The error is marked ErrNotSent when
// no byte left this node, and ErrLost when the peer may have got the call.
func (p *Pool) Call(ctx context.Context, to dfuident.Address, lane Lane, method string, args, reply any) error {
	return p.CallOrDetach(ctx, to, lane, method, args, reply, nil)
}

// CallOrDetach is Call for a caller that must not wait beyond ctx but still
// needs the end of the call: if ctx ends first it returns ErrDetached, and late
// gets what Call would have returned. On the bulk lane args may still be read
// after the return.
func (p *Pool) CallOrDetach(ctx context.Context, to dfuident.Address, lane Lane, method string, args, reply any, late func(error)) error {
	for attempt := 0; ; attempt++ {
		l, err := p.link(ctx, linkKey{to, lane})
		if err != nil {
			return err
		}
		err = l.call(ctx, method, args, reply, late)
		if attempt > 0 || !errors.Is(err, ErrNotSent) {
			return err
		}
	}
}

// Run looks after the links until ctx ends: it closes idle ones and finds
// silent ones.
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

// Reconnect ends the link to a peer on a lane, so that the next call opens a
// new one.
func (p *Pool) Reconnect(to dfuident.Address, lane Lane) {
	p.mu.Lock()
	l := p.links[linkKey{to, lane}]
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Traffic returns the byte counters of a lane.
func (p *Pool) Traffic(lane Lane) *Traffic {
	return &p.traffic[lane]
}

// Close ends every link. A link that is being opened is closed once it is open.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
	clear(p.links)
}

// link returns the open link or waits, no longer than ctx, until there is one.
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
	o := p.opening[key]
	if o == nil {
		o = &opening{done: make(chan struct{})}
		p.opening[key] = o
		go p.open(key, o)
	}
	p.mu.Unlock()
	select {
	case <-o.done:
		return o.link, o.err
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "dial %s", key.address), ErrNotSent)
	}
}

// open opens a link on behalf of every call that waits for it, so it does not
// end with any one of them.
func (p *Pool) open(key linkKey, o *opening) {
	defer close(o.done)
	o.link, o.err = dial(string(key.address), p.local, p.timing, &p.traffic[key.lane])
	if o.err == nil {
		o.link.bulk = key.lane == Bulk
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.opening, key)
	switch {
	case o.err != nil:
	case p.closed:
		o.link.close()
		o.link, o.err = nil, errClosed
	default:
		p.links[key] = o.link
	}
}

// sweep looks after every link and forgets the ended ones.
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
