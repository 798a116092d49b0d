package dfupeer

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server accepts calls from other nodes.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
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
	s := &Server{listener: listener, rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.Register("Liveness", Liveness{}); err != nil {
		return nil, err
	}
	return s, nil
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
		if !s.track(conn) {
			conn.Close()
			return
		}
		s.wg.Go(func() {
			defer s.untrack(conn)
			s.rpc.ServeConn(&messageLimit{Conn: conn})
		})
	}
}

// Close stops accepting connections, closes every connection and waits until the
// calls in progress have returned.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
