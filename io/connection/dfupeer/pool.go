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
	slots   map[slotKey]*slot
	closed  bool
	traffic [Bulk + 1]Traffic
}

type slotKey struct {
	address dfuident.Address
	lane    Lane
}

// slot serializes the opening of one link.
type slot struct {
	mu   sync.Mutex
	link atomic.Pointer[link]
}

// NewPool returns a pool without links. Links are opened from the local address.
func NewPool(timing Timing, local net.IP) *Pool {
	return &Pool{timing: timing, local: local, slots: map[slotKey]*slot{}}
}

// Call makes one call on a lane to a peer. The error is marked ErrNotSent when
// no byte left this node, and ErrLost when the peer may have got the call.
func (p *Pool) Call(ctx context.Context, to dfuident.Address, lane Lane, method string, args, reply any) error {
	return p.CallOrDetach(ctx, to, lane, method, args, reply, nil)
}

// CallOrDetach is Call for a caller that must not wait beyond ctx but still
// needs the end of the call: if ctx ends first it returns ErrDetached, and late
// gets what Call would have returned.
func (p *Pool) CallOrDetach(ctx context.Context, to dfuident.Address, lane Lane, method string, args, reply any, late func(error)) error {
	for attempt := 0; ; attempt++ {
		l, err := p.link(ctx, slotKey{to, lane})
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
	s := p.slots[slotKey{to, lane}]
	p.mu.Unlock()
	if s == nil {
		return
	}
	if l := s.link.Load(); l != nil {
		l.close()
	}
}

// Traffic returns the byte counters of a lane.
func (p *Pool) Traffic(lane Lane) *Traffic {
	return &p.traffic[lane]
}

// Close ends every link.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	slots := p.slots
	p.slots = map[slotKey]*slot{}
	p.mu.Unlock()
	for _, s := range slots {
		if l := s.link.Load(); l != nil {
			l.close()
		}
	}
}

func (p *Pool) link(ctx context.Context, key slotKey) (*link, error) {
	s, err := p.slot(key)
	if err != nil {
		return nil, err
	}
	if l := s.link.Load(); l != nil && !l.ended() {
		return l, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.link.Load(); l != nil && !l.ended() {
		return l, nil
	}
	l, err := dial(ctx, string(key.address), p.local, p.timing, &p.traffic[key.lane])
	if err != nil {
		return nil, err
	}
	s.link.Store(l)
	return l, nil
}

// sweep looks after every link and forgets the slots of ended ones.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, s := range p.slots {
		l := s.link.Load()
		switch {
		case l == nil:
		case l.ended():
			delete(p.slots, key)
		default:
			l.sweep(now)
		}
	}
}

func (p *Pool) slot(key slotKey) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Mark(errors.New("pool is closed"), ErrNotSent)
	}
	s := p.slots[key]
	if s == nil {
		s = &slot{}
		p.slots[key] = s
	}
	return s, nil
}
