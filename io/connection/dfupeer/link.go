package dfupeer

import (
	"context"
	"math"
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

// retired is added to the number of waiting calls of a link that was closed for
// being idle, so that no call can begin on it.
const retired = math.MinInt64 / 2

// writeChunk bounds one write, so that a large body shows its progress.
const writeChunk = 64 << 10

// link is one connection to a peer with the calls that wait on it. Its client is
// never closed but through the connection: net/rpc then reports ErrShutdown only
// for calls that were made after the end and so were never sent.
type link struct {
	client *rpc.Client
	conn   *countedConn
	timing Timing
	// bulk says that writing a call may take long, so that no caller does it.
	bulk      bool
	waiting   atomic.Int64
	busySince atomic.Int64
	lastUsed  atomic.Int64
	pinging   atomic.Bool
	// unanswered says that a call gave up with nothing read since it began.
	unanswered atomic.Bool
}

// countedConn notes when bytes were last read and written and counts both
// directions.
type countedConn struct {
	net.Conn
	lastRead  atomic.Int64
	lastWrite atomic.Int64
	failed    atomic.Bool
	traffic   *Traffic
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

// Write writes to the connection in chunks and notes the time of each.
func (c *countedConn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(written+writeChunk, len(b))])
		written += n
		c.traffic.Written.Add(int64(n))
		if err != nil {
			c.failed.Store(true)
			return written, err
		}
		c.lastWrite.Store(time.Now().UnixNano())
		if written == len(b) {
			return written, nil
		}
	}
}

func dial(address string, local net.IP, timing Timing, traffic *Traffic) (*link, error) {
	dialer := net.Dialer{Timeout: timing.Dial, LocalAddr: &net.TCPAddr{IP: local}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrNotSent)
	}
	counted := &countedConn{Conn: conn, traffic: traffic}
	now := time.Now().UnixNano()
	counted.lastRead.Store(now)
	l := &link{client: rpc.NewClient(&messageLimit{Conn: counted}), conn: counted, timing: timing}
	l.lastUsed.Store(now)
	return l, nil
}

// call sends one call and waits for its answer, for ctx or for the link's end.
// If ctx ends first and late is not nil, call returns ErrDetached and late gets
// the call's end.
func (l *link) call(ctx context.Context, method string, args, reply any, late func(error)) error {
	if !l.begin() {
		return errors.Mark(errors.New("link was idle and is closed"), ErrNotSent)
	}
	began := time.Now().UnixNano()
	done := make(chan *rpc.Call, 1)
	if l.bulk {
		go l.client.Go(method, args, reply, done)
	} else {
		l.client.Go(method, args, reply, done)
	}
	select {
	case call := <-done:
		return l.finish(call.Error)
	case <-ctx.Done():
	}
	if late == nil {
		if l.conn.lastRead.Load() < began {
			l.unanswered.Store(true)
		}
		l.end()
		return errors.Mark(errors.Wrap(ctx.Err(), "wait for peer"), ErrLost)
	}
	go func() {
		call := <-done
		late(l.finish(call.Error))
	}()
	return ErrDetached
}

// begin notes that one more call waits on the link. It reports false if the link
// was closed for being idle.
func (l *link) begin() bool {
	waiting := l.waiting.Add(1)
	if waiting == 1 {
		l.busySince.Store(time.Now().UnixNano())
	}
	return waiting > 0
}

// finish ends a call. net/rpc stops reading at an answer that it can't decode,
// but leaves the connection open: any failure but the peer's own error ends the
// link, so that the next call opens another.
func (l *link) finish(err error) error {
	l.end()
	err = callError(err)
	if errors.IsAny(err, ErrNotSent, ErrLost) {
		l.close()
	}
	return err
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
// wait, or gave up, while nothing is read.
func (l *link) sweep(now time.Time) {
	if l.retire(now) {
		l.close()
		return
	}
	if l.quiet(now) && l.pinging.CompareAndSwap(false, true) {
		l.unanswered.Store(false)
		go l.ping()
	}
}

// retire reports whether the link has been idle for long. No call begins on it
// from then on, so that closing it loses none.
func (l *link) retire(now time.Time) bool {
	return now.UnixNano()-l.lastUsed.Load() > int64(l.timing.Idle) && l.waiting.CompareAndSwap(0, retired)
}

func (l *link) quiet(now time.Time) bool {
	if l.unanswered.Load() {
		return true
	}
	since := max(l.busySince.Load(), l.conn.lastRead.Load())
	return l.waiting.Load() > 0 && now.UnixNano()-since > int64(l.timing.Quiet)
}

// ping closes the link unless bytes move within each Silent until the ping's
// answer comes. While the ping waits behind a large body the body's progress
// counts, so that a peer that stopped reading is found too; once the ping is out
// only what is read counts.
func (l *link) ping() {
	defer l.pinging.Store(false)
	sent, answered := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(answered)
		call := l.client.Go("Liveness.Ping", struct{}{}, &struct{}{}, make(chan *rpc.Call, 1))
		close(sent)
		<-call.Done
	}()
	timer := time.NewTimer(l.timing.Silent)
	defer timer.Stop()
	for since := time.Now().UnixNano(); ; since = time.Now().UnixNano() {
		select {
		case <-answered:
			return
		case <-sent:
			sent = nil
		case <-timer.C:
			moved := l.conn.lastRead.Load()
			if sent != nil {
				moved = max(moved, l.conn.lastWrite.Load())
			}
			if moved < since {
				l.close()
				return
			}
		}
		timer.Reset(l.timing.Silent)
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
