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

// Config lists the routes and where their ends are.
type Config struct {
	// Admin is the address on which faults are set.
	Admin  string  `json:"admin"`
	Routes []Route `json:"routes"`
	// Places tells the place of an IP address by its prefix.
	Places []Place `json:"places"`
	Delays Delays  `json:"delays_us"`
}

// Route is a listener and where its connections go.
type Route struct {
	Listen string `json:"listen"`
	To     string `json:"to"`
}

// Place is where the addresses with a prefix are.
type Place struct {
	Prefix string `json:"prefix"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Delays are one-way delays in microseconds.
type Delays struct {
	SameRegion int `json:"same_region"`
	FarRegion  int `json:"far_region"`
}

// Fault is something wrong between two zones, regions or addresses, in both
// directions. An empty name means any.
type Fault struct {
	// Kind is cut, silent, reset, stall, delay or heal. Cut ends connections and
	// refuses new ones until heal; silent lets the open connections go silent for
	// good; reset ends the open ones. Until heal, stall holds back what goes from A
	// to B, and delay lets everything between them take Delay longer.
	Kind  string            `json:"kind"`
	A     string            `json:"a"`
	B     string            `json:"b"`
	Delay dfuclock.Duration `json:"delay_ms"`
}

// The kinds of faults.
const (
	FaultCut    = "cut"
	FaultSilent = "silent"
	FaultReset  = "reset"
	FaultStall  = "stall"
	FaultDelay  = "delay"
	FaultHeal   = "heal"
)

// Relay is one running relay.
type Relay struct {
	cfg       Config
	listeners []net.Listener
	server    *http.Server
	mu        sync.Mutex
	// cuts, stalls and delays hold until heal.
	cuts, stalls, delays []Fault
	pairs                map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	from, to   end
	near, far  net.Conn
	delay      time.Duration
	silent     chan struct{}
	silentOnce sync.Once
}

// end is where one side of a connection is.
type end struct {
	address string
	place   Place
}

// New opens the listeners of every route.
func New(cfg Config) (*Relay, error) {
	r := &Relay{cfg: cfg, pairs: map[*pair]struct{}{}}
	r.server = &http.Server{Addr: cfg.Admin, Handler: http.HandlerFunc(r.admin), ReadHeaderTimeout: time.Second}
	for _, route := range cfg.Routes {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", route.Listen)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		r.listeners = append(r.listeners, l)
	}
	return r, nil
}

// Run relays until the admin listener fails or the relay is closed.
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

// relay joins a connection with a new one to the route's end.
func (r *Relay) relay(near net.Conn, route Route) {
	defer near.Close()
	p := &pair{from: r.end(near.RemoteAddr().String()), to: r.end(route.To), near: near, silent: make(chan struct{})}
	p.delay = r.delay(p)
	far, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", route.To)
	if err != nil {
		return
	}
	defer far.Close()
	p.far = far
	if !r.add(p) {
		return
	}
	defer r.remove(p)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(far, near, func() (time.Duration, bool) { return r.disturbance(p.from, p.to) }) })
	wg.Go(func() { p.copy(near, far, func() (time.Duration, bool) { return r.disturbance(p.to, p.from) }) })
	wg.Wait()
}

func (r *Relay) end(address string) end {
	for _, place := range r.cfg.Places {
		if strings.HasPrefix(address, place.Prefix) {
			return end{address, place}
		}
	}
	return end{address: address}
}

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

func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cut := range r.cuts {
		if cut.concerns(p) {
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

// Set puts a fault in force.
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
			if f.concerns(p) {
				p.silentOnce.Do(func() { close(p.silent) })
			}
		}
	default:
		return errors.Newf("unknown fault %q", f.Kind)
	}
	return nil
}

// closePairs ends the open connections that a fault concerns. The mutex is held.
func (r *Relay) closePairs(f Fault) {
	for p := range r.pairs {
		if f.concerns(p) {
			p.close()
		}
	}
}

// disturbance returns how much longer what goes from one end to another takes, and
// whether it is held back.
func (r *Relay) disturbance(from, to end) (delay time.Duration, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.stalls {
		held = held || from.is(f.A) && to.is(f.B)
	}
	for _, f := range r.delays {
		if from.is(f.A) && to.is(f.B) || from.is(f.B) && to.is(f.A) {
			delay += f.Delay.Std()
		}
	}
	return delay, held
}

func (f Fault) concerns(p *pair) bool {
	return (p.from.is(f.A) && p.to.is(f.B)) || (p.from.is(f.B) && p.to.is(f.A))
}

func (e end) is(name string) bool {
	return name == "" || name == e.place.Zone || name == e.place.Region || strings.HasPrefix(e.address, name)
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}

// Close ends the relay: its listeners and all connections.
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
