package dfurelaystandin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"

	"github.com/cockroachdb/errors"
)

// Config is the configuration of a relay.
type Config struct {
	// Admin is the IP address and port of the HTTP listener that accepts faults.
	Admin  string  `json:"admin"`
	Routes []Route `json:"routes"`
	// Places maps addresses to places; the first prefix that matches applies.
	Places []Place `json:"places"`
	Delays Delays  `json:"delays_us"`
}

// Route is the address of a listener and the address to which its connections are
// relayed.
type Route struct {
	Listen string `json:"listen"`
	To     string `json:"to"`
}

// Place is the location of the addresses with a prefix.
type Place struct {
	Prefix string `json:"prefix"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Delays are one-way delays in microseconds: between two zones of a region and
// between two regions.
type Delays struct {
	SameRegion int `json:"same_region"`
	FarRegion  int `json:"far_region"`
}

// Fault is a network fault between A and B, each of which is a zone, a region or
// the prefix of an address; empty matches any. Except for stall, it applies in both
// directions.
type Fault struct {
	// Kind is one of the Fault constants.
	Kind string `json:"kind"`
	A    string `json:"a"`
	B    string `json:"b"`
	// Delay is the additional one-way delay of a fault of kind delay.
	Delay dfuclock.Duration `json:"delay_ms"`
}

// The kinds of faults.
const (
	// FaultCut closes the open connections and, until heal, new ones at once.
	FaultCut = "cut"
	// FaultSilent discards all further data of the open connections but keeps them
	// open. It does not end at heal; new connections are not affected.
	FaultSilent = "silent"
	// FaultReset closes the open connections.
	FaultReset = "reset"
	// FaultStall holds back data from A to B until heal.
	FaultStall = "stall"
	// FaultDelay adds Fault.Delay to the delay of data until heal.
	FaultDelay = "delay"
	// FaultHeal ends all faults of kind cut, stall and delay.
	FaultHeal = "heal"
)

// Relay relays the connections of its routes. New creates one and Run serves it.
type Relay struct {
	cfg       Config
	listeners []net.Listener
	server    *http.Server
	mu        sync.Mutex
	// cuts, stalls and delays are the faults in force.
	cuts, stalls, delays []Fault
	pairs                map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	from, to endpoint
	// client is the accepted connection and upstream the dialed one.
	client, upstream net.Conn
	// delay is the one-way delay without faults.
	delay time.Duration
	// silent is closed when the pair goes silent.
	silent     chan struct{}
	silentOnce sync.Once
}

// endpoint is the address and the place of one side of a connection.
type endpoint struct {
	address string
	place   Place
}

// New opens the listeners of all routes and returns a relay for them.
func New(cfg Config) (*Relay, error) {
	r := &Relay{cfg: cfg, pairs: map[*pair]struct{}{}}
	r.server = &http.Server{Addr: cfg.Admin, Handler: http.HandlerFunc(r.handleAdmin), ReadHeaderTimeout: time.Second}
	for _, route := range cfg.Routes {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", route.Listen)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		r.listeners = append(r.listeners, l)
	}
	return r, nil
}

// Run relays connections until the admin listener fails or the relay is closed. It
// always returns an error; after Close that is http.ErrServerClosed.
func (r *Relay) Run() error {
	for i, l := range r.listeners {
		go r.accept(l, r.cfg.Routes[i])
	}
	return r.server.ListenAndServe()
}

func (r *Relay) accept(l net.Listener, route Route) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.relay(conn, route)
	}
}

// relay dials the destination of the route and relays data between the accepted
// connection and the new one until both are done.
func (r *Relay) relay(client net.Conn, route Route) {
	defer client.Close()
	p := &pair{from: r.endpoint(client.RemoteAddr().String()), to: r.endpoint(route.To), client: client, silent: make(chan struct{})}
	p.delay = r.delay(p)
	upstream, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", route.To)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.upstream = upstream
	if !r.add(p) {
		return
	}
	defer r.remove(p)
	var wg sync.WaitGroup
	wg.Go(func() {
		p.copy(upstream, client, func() (time.Duration, bool) { return r.impairment(p.from, p.to) })
	})
	wg.Go(func() {
		p.copy(client, upstream, func() (time.Duration, bool) { return r.impairment(p.to, p.from) })
	})
	wg.Wait()
}

// endpoint returns the endpoint of an address. Its place is empty if no prefix
// matches.
func (r *Relay) endpoint(address string) endpoint {
	for _, place := range r.cfg.Places {
		if strings.HasPrefix(address, place.Prefix) {
			return endpoint{address, place}
		}
	}
	return endpoint{address: address}
}

// delay returns the configured one-way delay of a pair; it is zero within a zone and
// if a region is unknown.
func (r *Relay) delay(p *pair) time.Duration {
	a, b := p.from.place, p.to.place
	switch {
	case a.Region == "" || b.Region == "" || a.Zone == b.Zone:
		return 0
	case a.Region == b.Region:
		return time.Duration(r.cfg.Delays.SameRegion) * time.Microsecond
	default:
		return time.Duration(r.cfg.Delays.FarRegion) * time.Microsecond
	}
}

// add adds an open pair and reports true, unless a cut affects it.
func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cut := range r.cuts {
		if cut.affects(p) {
			return false
		}
	}
	r.pairs[p] = struct{}{}
	return true
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// Set applies a fault. It fails if the kind of the fault is unknown.
func (r *Relay) Set(f Fault) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch f.Kind {
	case FaultHeal:
		r.cuts, r.stalls, r.delays = nil, nil, nil
	case FaultCut:
		r.cuts = append(r.cuts, f)
		r.closePairs(f)
	case FaultReset:
		r.closePairs(f)
	case FaultStall:
		r.stalls = append(r.stalls, f)
	case FaultDelay:
		r.delays = append(r.delays, f)
	case FaultSilent:
		for p := range r.pairs {
			if f.affects(p) {
				p.silentOnce.Do(func() { close(p.silent) })
			}
		}
	default:
		return errors.Newf("unknown kind of fault: %q", f.Kind)
	}
	return nil
}

// closePairs closes the open pairs that a fault affects. The mutex must be held.
func (r *Relay) closePairs(f Fault) {
	for p := range r.pairs {
		if f.affects(p) {
			p.close()
		}
	}
}

// impairment returns the additional delay of data from one endpoint to another and
// whether it is stalled.
func (r *Relay) impairment(from, to endpoint) (delay time.Duration, stalled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.stalls {
		stalled = stalled || from.matches(f.A) && to.matches(f.B)
	}
	for _, f := range r.delays {
		if from.matches(f.A) && to.matches(f.B) || from.matches(f.B) && to.matches(f.A) {
			delay += f.Delay.Std()
		}
	}
	return delay, stalled
}

// affects reports whether a pair connects A and B, in either direction.
func (f Fault) affects(p *pair) bool {
	return (p.from.matches(f.A) && p.to.matches(f.B)) || (p.from.matches(f.B) && p.to.matches(f.A))
}

// matches reports whether name is the zone, the region or a prefix of the address of
// the endpoint, or empty.
func (e endpoint) matches(name string) bool {
	return name == "" || name == e.place.Zone || name == e.place.Region || strings.HasPrefix(e.address, name)
}

func (p *pair) close() {
	p.client.Close()
	p.upstream.Close()
}

// Close closes the listeners and all connections.
func (r *Relay) Close() {
	for _, l := range r.listeners {
		l.Close()
	}
	r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}
