package dfupeer

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Timing bounds how long a link may stay without a sign of life.
type Timing struct {
	// Dial bounds the opening of a connection.
	Dial time.Duration
	// Quiet is how long a call waits with nothing read before a ping.
	Quiet time.Duration
	// Silent is how long the ping's answer may take.
	Silent time.Duration
	// Idle is how long a link without calls stays open.
	Idle time.Duration
}

// DefaultTiming suits links with a round trip of up to 50 ms.
func DefaultTiming() Timing {
	return Timing{
		Dial:   500 * time.Millisecond,
		Quiet:  250 * time.Millisecond,
		Silent: 500 * time.Millisecond,
		Idle:   60 * time.Second,
	}
}

// link is one connection to a peer with the calls that wait on it. Its client is
// never closed but through the connection: net/rpc then reports ErrShutdown only
// for calls that were made after the end and so were never sent.
type link struct {
	client    *rpc.Client
	conn      *countedConn
	timing    Timing
	waiting   atomic.Int64
	busySince atomic.Int64
	lastUsed  atomic.Int64
	pinging   atomic.Bool
}

// countedConn notes when bytes were last read and counts both directions.
type countedConn struct {
	net.Conn
	lastRead atomic.Int64
	failed   atomic.Bool
	traffic  *Traffic
}

// Read reads from the connection and notes the time.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.traffic.Read.Add(int64(n))
	}
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Write writes to the connection.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Written.Add(int64(n))
	return n, err
}

func dial(ctx context.Context, address string, local net.IP, timing Timing, traffic *Traffic) (*link, error) {
	dialer := net.Dialer{Timeout: timing.Dial, LocalAddr: &net.TCPAddr{IP: local}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrNotSent)
	}
	counted := &countedConn{Conn: conn, traffic: traffic}
	now := time.Now().UnixNano()
	counted.lastRead.Store(now)
	l := &link{client: rpc.NewClient(counted), conn: counted, timing: timing}
	l.lastUsed.Store(now)
	return l, nil
}

// call sends one call and waits for its answer, for ctx or for the link's end.
// If ctx ends first and late is not nil, call returns ErrDetached and late gets
// the call's end.
func (l *link) call(ctx context.Context, method string, args, reply any, late func(error)) error {
	l.begin()
	call := l.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		l.end()
		return callError(call.Error)
	case <-ctx.Done():
	}
	if late == nil {
		l.end()
		return errors.Mark(errors.Wrap(ctx.Err(), "wait for peer"), ErrLost)
	}
	go func() {
		<-call.Done
		l.end()
		late(callError(call.Error))
	}()
	return ErrDetached
}

// begin notes that one more call waits on the link.
func (l *link) begin() {
	if l.waiting.Add(1) == 1 {
		l.busySince.Store(time.Now().UnixNano())
	}
}

// end notes that one call less waits on the link.
func (l *link) end() {
	l.lastUsed.Store(time.Now().UnixNano())
	l.waiting.Add(-1)
}

// callError tells a failure of the link from an error that the peer returned.
func callError(err error) error {
	var remote rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return errors.WithStack(err)
	case errors.Is(err, rpc.ErrShutdown):
		return errors.Mark(errors.WithStack(err), ErrNotSent)
	default:
		return errors.Mark(errors.WithStack(err), ErrLost)
	}
}

// sweep closes the link if it has been idle for long, and pings it if its calls
// wait while nothing is read.
func (l *link) sweep(now time.Time) {
	if l.expired(now) {
		l.close()
		return
	}
	if l.quiet(now) && l.pinging.CompareAndSwap(false, true) {
		go l.ping()
	}
}

func (l *link) expired(now time.Time) bool {
	return l.waiting.Load() == 0 && now.UnixNano()-l.lastUsed.Load() > int64(l.timing.Idle)
}

func (l *link) quiet(now time.Time) bool {
	since := max(l.busySince.Load(), l.conn.lastRead.Load())
	return l.waiting.Load() > 0 && now.UnixNano()-since > int64(l.timing.Quiet)
}

// ping closes the link unless a byte comes back in time.
func (l *link) ping() {
	defer l.pinging.Store(false)
	asked := time.Now().UnixNano()
	call := l.client.Go("Liveness.Ping", struct{}{}, &struct{}{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(l.timing.Silent)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		if l.conn.lastRead.Load() < asked {
			l.close()
		}
	}
}

// ended reports whether no further call can be made on the link.
func (l *link) ended() bool {
	return l.conn.failed.Load()
}

// close ends the link; calls that wait on it return ErrLost.
func (l *link) close() {
	l.conn.failed.Store(true)
	l.conn.Close()
}
