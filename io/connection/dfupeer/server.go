package dfupeer

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"dragonflyusher/core/connection/dfuidle"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/io/connection/dfubody"

	"github.com/cockroachdb/errors"
)

// Server accepts calls from other nodes.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	wg       sync.WaitGroup
	memory   *dfubody.Memory
	// maxConns is the maximum number of connections; zero means no limit.
	maxConns int
	clock    dfuclock.Clock

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool
	// idle holds the connections without a call. If there are too many connections, the one
	// that has been idle for longest is closed for a new one.
	idle *dfuidle.Queue[*serverConn]
	// calls is the number of calls that have no reply yet. callEnded is signaled when it
	// decreases.
	calls     int
	callEnded sync.Cond
}

// Liveness is the net/rpc receiver of pings.
type Liveness struct{}

// Ping returns at once. A connection on which a ping gets no response is
// considered silent.
func (Liveness) Ping(_ struct{}, _ *struct{}) error {
	return nil
}

// NewServer returns a server that accepts connections from listener. Receivers must
// be registered before Run is called.
func NewServer(listener net.Listener) (*Server, error) {
	s := &Server{
		listener: listener, rpc: rpc.NewServer(), conns: map[*serverConn]struct{}{}, memory: unlimitedMemory(),
		clock: dfuclock.New(), idle: dfuidle.New[*serverConn](minIdle),
	}
	s.callEnded.L = &s.mu
	if err := s.Register("Liveness", Liveness{}); err != nil {
		return nil, err
	}
	return s, nil
}

// LimitMemory limits the memory of large bodies. It must be called before Run.
func (s *Server) LimitMemory(memory *dfubody.Memory) {
	s.memory = memory
}

// LimitConnections sets the maximum number of connections; zero means no limit. It must be
// called before Run.
func (s *Server) LimitConnections(limit int) {
	s.maxConns = limit
}

// Register makes the methods of receiver callable as name.Method. The methods must
// have the form that net/rpc requires.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// acceptRetryDelay is the delay before Run retries after a connection could not be
// accepted, for instance for lack of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Run accepts and serves connections until Close.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.makeRoom()
		c := s.track(conn)
		if c == nil {
			conn.Close()
			return
		}
		s.wg.Go(func() {
			defer s.untrack(c)
			codec := newCodec(&lingeringConn{Conn: c}, s.memory, func() { _ = conn.Close() })
			s.rpc.ServeCodec(&serverCodec{codec: codec, conn: c, held: map[uint64]*dfubody.Body{}})
		})
	}
}

const (
	// lastCallTime is how long a closing server still serves calls, which peers may have
	// sent before they learned that the node has left.
	lastCallTime = 50 * time.Millisecond
	// lingerTime is how long a connection is read after its last reply. Closing a
	// connection with unread input resets it, and the peer may then lose the reply.
	lingerTime = 100 * time.Millisecond
)

// lingeringConn is a connection whose Close delivers what was written before.
type lingeringConn struct {
	net.Conn
}

// Close closes the sending side, discards the input until the peer closes the connection or
// lingerTime is over, and then closes the connection.
func (c *lingeringConn) Close() error {
	if half, ok := c.Conn.(*serverConn); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
	}
	return c.Conn.Close()
}

// Close stops accepting connections and closes each one when the replies of its calls have
// been sent. When ctx is done it closes those that are left. It waits until the calls in
// progress have returned.
func (s *Server) Close(ctx context.Context) {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.SetReadDeadline(time.Now().Add(lastCallTime))
	}
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, s.closeConns)
	defer stop()
	s.wg.Wait()
}

// closeConns closes every connection without waiting for replies.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}
