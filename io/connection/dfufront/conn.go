package dfufront

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// listener hands fasthttp connections whose end can be watched.
type listener struct {
	net.Listener
}

// acceptPause is how long Accept waits after a connection could not be accepted,
// for instance for want of file descriptors.
const acceptPause = 10 * time.Millisecond

// Accept waits for the next connection. It fails only once the listener is
// closed, because fasthttp stops serving at the first failure.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return &conn{Conn: c}, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptPause)
	}
}

// conn is a caller's connection. fasthttp reads nothing while a handler runs,
// so a read in the background finds out when the caller goes away. A byte that
// it gets meanwhile belongs to the caller's next request and is kept for it; the
// caller's leave is then noticed only when the answer is written. A caller that
// closes only its sending side counts as gone: the two can't be told apart.
type conn struct {
	net.Conn
	mu     sync.Mutex
	stash  byte
	filled bool
}

// Read reads from the connection, first the byte kept by watch.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.filled && len(b) > 0 {
		b[0] = c.stash
		c.filled = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// watch calls gone once if the caller closes the connection before the
// returned function is called. That function returns when the watch is over.
func (c *conn) watch(gone func()) func() {
	done := make(chan struct{})
	var stopping sync.Mutex
	stopped := false
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n == 1 {
			c.keep(b[0])
			return
		}
		stopping.Lock()
		defer stopping.Unlock()
		if err != nil && !stopped {
			gone()
		}
	}()
	return func() {
		stopping.Lock()
		stopped = true
		stopping.Unlock()
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *conn) keep(b byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stash = b
	c.filled = true
}
