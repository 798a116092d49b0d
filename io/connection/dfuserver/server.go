package dfuserver

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"dragonflyusher/core/connection/dfuidle"
	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfubody"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Handler handles requests. Its methods may be called concurrently.
type Handler interface {
	// Handle blocks until the response is set in x.Ctx.
	Handle(x *Exchange)
	// HandleReadError sets the response to a request that could not be read, for
	// instance because it is malformed or too large. The connection closes after it.
	HandleReadError(ctx *fasthttp.RequestCtx, err error)
}

// Config limits requests and connections.
type Config struct {
	// MaxHeader and MaxBody are the maximum sizes of a request's header and body.
	MaxHeader dfuident.Bytes
	MaxBody   dfuident.Bytes
	// Pipeline limits the unanswered requests of a connection.
	Pipeline dfupipeline.Limits
	// Memory limits the memory of bodies and of the buffers of connections; nil for no
	// limit.
	Memory *dfubody.Memory
	// MaxConns is the maximum number of connections; zero means no limit. Above it, the one
	// that has waited for bytes of its caller for longest is closed for a new one.
	MaxConns int
	// Timeouts returns the limits of time that apply now; nil for the defaults.
	Timeouts func() Timeouts
	// Closed counts the connections that were closed for a new one; it may be nil.
	Closed metrics.Counter
}

// Timeouts limits how long the bytes of a request may take.
type Timeouts struct {
	// Header is the time from the first byte of a request to the end of its header, and
	// Pause the time in which no byte of its body arrives.
	Header, Pause time.Duration
}

// DefaultTimeouts returns the Timeouts that apply if nothing else is configured.
func DefaultTimeouts() Timeouts {
	const timeout = 30 * time.Second
	return Timeouts{Header: timeout, Pause: timeout}
}

const (
	// acceptRetryDelay is the delay before an accept is retried after a failure, such
	// as a lack of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// roomPollPeriod is how often a server whose connections are all in use looks for one
	// that may be closed, unless one ends.
	roomPollPeriod = 20 * time.Millisecond
	// backlogTime is how long a stopping server accepts connections that are waiting in
	// the listener's backlog. Closing the listener resets those that are left.
	backlogTime = 50 * time.Millisecond
	// idleCloseDelay is how long a stopping server waits for a request that may be on
	// its way on an idle connection.
	idleCloseDelay = 50 * time.Millisecond
	// lingerTime is how long a connection is read after its last response. Closing a
	// connection with unread input resets it, and the caller may then lose the response.
	lingerTime = 500 * time.Millisecond
)

// Server serves the connections of one listener.
type Server struct {
	cfg       Config
	handler   Handler
	exchanges sync.Pool
	readers   sync.Pool
	writers   sync.Pool
	// joining is held while the blocks of a chunked body are copied into one.
	joining sync.Mutex

	// idleMu guards idle. It is locked after the mutexes of a connection and of the server.
	idleMu sync.Mutex
	idle   *dfuidle.Queue[*conn]
	clock  dfuclock.Clock

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	// evicted counts the connections that were closed for others and have not ended yet.
	evicted int
	// stopping is set if each connection is to be closed after its newest request,
	// closing if idle connections are to be closed as well.
	stopping bool
	closing  bool
	// ended has room for one value, which is sent when a connection has ended.
	ended chan struct{}
	// done is closed when the listener is closed and all connections have ended.
	done chan struct{}
}

// New returns a Server that passes requests to handler.
func New(cfg Config, handler Handler) *Server {
	if cfg.Memory == nil {
		cfg.Memory = dfubody.NewMemory(dfubody.Limits{}, dfuclock.New(), metrics.NewRegistry())
	}
	if cfg.Timeouts == nil {
		cfg.Timeouts = DefaultTimeouts
	}
	if cfg.Closed == nil {
		cfg.Closed = metrics.NewCounter()
	}
	return &Server{
		cfg:       cfg,
		handler:   handler,
		exchanges: sync.Pool{New: func() any { return &Exchange{Ctx: new(fasthttp.RequestCtx)} }},
		readers:   sync.Pool{New: func() any { return bufio.NewReaderSize(nil, int(cfg.MaxHeader)) }},
		writers:   sync.Pool{New: func() any { return bufio.NewWriter(nil) }},
		idle:      dfuidle.New[*conn](minIdle),
		clock:     dfuclock.New(),
		conns:     map[*conn]struct{}{},
		ended:     make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
}

// Run accepts and serves connections until Close. It returns an error only if the
// listener fails without having been closed.
func (s *Server) Run(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.closing {
		s.closeListener()
	}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.makeRoom()
			s.start(nc)
		case s.isClosing():
			s.finishListener(l)
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept")
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// start serves a connection in goroutines of its own.
func (s *Server) start(nc net.Conn) {
	var c *conn
	c = newConn(s, nc, func() { s.remove(c) })
	s.mu.Lock()
	s.conns[c] = struct{}{}
	stopping, closing := s.stopping, s.closing
	s.mu.Unlock()
	if stopping {
		c.stop(closing)
	}
	go c.serve()
}

// minIdle is how long a connection has waited for its caller at least when it is closed for
// another one. It is half of the time after which callers give up a request that isn't read.
const minIdle = 500 * dfuclock.Millisecond

// makeRoom waits until there is room for a new connection. Meanwhile it closes the
// connections that have waited for longest, as many as are needed.
func (s *Server) makeRoom() {
	for s.cfg.MaxConns > 0 && !s.isClosing() {
		s.mu.Lock()
		excess := len(s.conns) + 1 - s.cfg.MaxConns
		ending := s.evicted
		s.mu.Unlock()
		if excess <= 0 {
			return
		}
		if excess > ending && s.evictOldest() {
			continue
		}
		select {
		case <-s.ended:
		case <-time.After(roomPollPeriod):
		}
	}
}

// evictOldest closes the connection that has waited for longest, unless it goes on just now. It
// reports whether there was one.
func (s *Server) evictOldest() bool {
	s.idleMu.Lock()
	c, ok := s.idle.Take(s.clock.Now())
	s.idleMu.Unlock()
	if !ok || !c.evict() {
		return ok
	}
	s.cfg.Closed.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, hasNotEnded := s.conns[c]; hasNotEnded && !c.evicted {
		c.evicted = true
		s.evicted++
	}
	return true
}

// hasPlace reports whether a connection is among those that may be closed.
func (s *Server) hasPlace(c *conn) bool {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	return s.idle.Holds(&c.place)
}

// updatePlace updates the place of a connection among those that may be closed: it is the
// newest one if isActive is set or it has no place yet.
func (s *Server) updatePlace(c *conn, mayMakeRoom, isActive bool) {
	if s.cfg.MaxConns == 0 {
		return
	}
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	switch {
	case !mayMakeRoom:
		s.idle.Remove(&c.place)
	case isActive || !s.idle.Holds(&c.place):
		s.idle.Put(s.clock.Now(), &c.place)
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.evicted {
		s.evicted--
	}
	s.updatePlace(c, false, false)
	select {
	case s.ended <- struct{}{}:
	default:
	}
	s.checkDone()
}

// checkDone closes done if nothing is left to be served. The caller must hold s.mu.
func (s *Server) checkDone() {
	if s.closing && s.listener == nil && len(s.conns) == 0 {
		select {
		case <-s.done:
		default:
			close(s.done)
		}
	}
}

// finishListener closes the listener after the last connection was accepted.
func (s *Server) finishListener(l net.Listener) {
	_ = l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = nil
	s.checkDone()
}

// closeListener makes Run return once it has accepted the connections in the backlog.
// The caller must hold s.mu.
func (s *Server) closeListener() {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		if l.SetDeadline(time.Now().Add(backlogTime)) == nil {
			return
		}
	}
	_ = s.listener.Close()
}

// CloseConnections closes each connection after the response to its newest request
// or, if it has none unanswered, to its next one. Responses announce the close.
func (s *Server) CloseConnections() {
	s.stopConnections(false)
}

// Close stops accepting connections, closes idle ones and waits until the requests in
// progress have their responses. If ctx is done first, Close resets the remaining
// connections and returns the error of ctx.
func (s *Server) Close(ctx context.Context) error {
	s.stopConnections(true)
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
	return errors.WithStack(ctx.Err())
}

func (s *Server) stopConnections(closeIdle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if closeIdle && !s.closing {
		s.closing = true
		if s.listener != nil {
			s.closeListener()
		}
	}
	for c := range s.conns {
		c.stop(closeIdle)
	}
	s.checkDone()
}
