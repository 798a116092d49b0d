package dfupeer

import (
	"net"
	"time"

	"dragonflyusher/core/connection/dfuidle"
	"dragonflyusher/core/process/dfuclock"

	"github.com/cockroachdb/errors"
)

const (
	// minIdle is how long a connection has been idle at least when it is closed for another
	// one.
	minIdle = 500 * dfuclock.Millisecond
	// roomPollPeriod is how often a server whose connections are all in use looks for one
	// that may be closed.
	roomPollPeriod = 20 * time.Millisecond
	// messagePause is how long nothing may arrive of a call, or be read of a reply. Links
	// whose peer is silent end much sooner.
	messagePause = 15 * time.Second
	// maxCalls is the number of calls without a reply from which on a connection is read only
	// while it has fewer than fewCalls of them.
	maxCalls = 4096
	fewCalls = 16
)

// errNoHalfClose means that a connection has no sending side of its own.
var errNoHalfClose = errors.New("connection can't be closed for sending only")

// serverConn is a connection of a peer.
type serverConn struct {
	net.Conn
	server *Server
	// inCall is set while a call is being read, and limited if its reads have a deadline. Only
	// the reading goroutine uses them.
	inCall, limited bool
	// place is its place among those that are idle, and calls the number of its calls without
	// a reply. The mutex of the server guards them.
	place dfuidle.Entry[*serverConn]
	calls int
}

// CloseWrite closes the sending side.
func (c *serverConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoHalfClose
}

// Read reads from the connection. It fails if nothing of a call arrives for messagePause.
func (c *serverConn) Read(b []byte) (int, error) {
	if c.inCall {
		c.limitRead(time.Now().Add(messagePause))
		c.limited = true
	}
	return c.Conn.Read(b)
}

// limitRead sets the time until which something is read. A closing server has set one already.
func (c *serverConn) limitRead(deadline time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.server.closed {
		_ = c.SetReadDeadline(deadline)
	}
}

// Write writes to the connection in chunks. It fails if the peer reads nothing for
// messagePause.
func (c *serverConn) Write(b []byte) (written int, err error) {
	for {
		if err := c.SetWriteDeadline(time.Now().Add(messagePause)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(written+writeChunkBytes, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// beginCall records that the header of a call was read. It waits while there are too many calls.
func (c *serverConn) beginCall() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.calls >= maxCalls && c.calls >= fewCalls {
		s.callEnded.Wait()
	}
	c.inCall = true
	c.calls++
	s.calls++
	s.idle.Remove(&c.place)
}

// callRead records that a call was read.
func (c *serverConn) callRead() {
	c.inCall = false
	if c.limited {
		c.limited = false
		c.limitRead(time.Time{})
	}
}

// endCall records that the reply to a call was written, or could not be.
func (c *serverConn) endCall() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.calls--
	s.calls--
	if _, isOpen := s.conns[c]; isOpen && c.calls == 0 {
		s.idle.Put(s.clock.Now(), &c.place)
	}
	s.callEnded.Broadcast()
}

// makeRoom waits until there is room for a new connection, for which it closes the one that has
// been idle for longest.
func (s *Server) makeRoom() {
	for !s.hasRoom() {
		time.Sleep(roomPollPeriod)
	}
}

func (s *Server) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.maxConns == 0 || len(s.conns) < s.maxConns {
		return true
	}
	c, ok := s.idle.Take(s.clock.Now())
	if ok {
		delete(s.conns, c)
		_ = c.Close()
	}
	return ok
}

// track returns the state of a new connection, or nil if the server is closed.
func (s *Server) track(conn net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	c := &serverConn{Conn: conn, server: s}
	c.place.Element = c
	s.conns[c] = struct{}{}
	s.idle.Put(s.clock.Now(), &c.place)
	return c
}

func (s *Server) untrack(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.Remove(&c.place)
	delete(s.conns, c)
}
