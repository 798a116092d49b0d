package dfufront

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// listener accepts connections that can detect when the caller closes them.
type listener struct {
	net.Listener
}

// acceptRetryDelay is the delay before Accept retries after a failure, such as a
// lack of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Accept waits for the next connection. It returns an error only if the listener
// is closed and retries after other failures, because fasthttp stops serving at the
// first error.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return &conn{Conn: c}, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// conn is a connection from a caller. fasthttp does not read from it while a
// handler runs, so watchClose reads in the background to detect that the caller
// closes it. A byte that this read returns belongs to the caller's next request and
// is kept for the next Read; a later close is then detected only when the response
// is written. A half-close by the caller counts as a close, because the two can't be
// distinguished.
type conn struct {
	net.Conn
	mu        sync.Mutex
	peeked    byte
	hasPeeked bool
}

// Read reads from the connection. If watchClose has kept a byte, Read returns that
// byte first.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.hasPeeked && len(b) > 0 {
		b[0] = c.peeked
		c.hasPeeked = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// watchClose calls onClose at most once, if the caller closes the connection before
// the returned stop function is called. The stop function returns after the
// background read has ended and onClose, if called, has returned.
func (c *conn) watchClose(onClose func()) func() {
	done := make(chan struct{})
	var stopMu sync.Mutex
	stopped := false
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n == 1 {
			c.unread(b[0])
			return
		}
		stopMu.Lock()
		defer stopMu.Unlock()
		if err != nil && !stopped {
			onClose()
		}
	}()
	return func() {
		stopMu.Lock()
		stopped = true
		stopMu.Unlock()
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *conn) unread(b byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peeked = b
	c.hasPeeked = true
}
