package dfufront

import (
	"net"
	"sync"
	"time"
)

// listener hands fasthttp connections whose end can be watched.
type listener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a caller's connection. fasthttp reads nothing while a handler runs,
// so a read in the background finds out when the caller goes away. A byte that
// it gets meanwhile belongs to the caller's next request and is kept for it.
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
