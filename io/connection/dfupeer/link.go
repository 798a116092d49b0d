package dfupeer

import (
	"context"
	"math"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfubody"

	"github.com/cockroachdb/errors"
)

// Timing contains the timeouts of a link.
type Timing struct {
	// Dial is the time limit for opening a connection.
	Dial time.Duration
	// Quiet is how long a call waits without data being read before a ping is sent.
	Quiet time.Duration
	// Silent is how long no data may be transferred during a ping before the link is
	// closed.
	Silent time.Duration
	// Idle is how long a link without calls is kept open.
	Idle time.Duration
}

// DefaultTiming returns timeouts for links with a round-trip time of up to 50 ms.
func DefaultTiming() Timing {
	return Timing{
		Dial:   500 * time.Millisecond,
		Quiet:  250 * time.Millisecond,
		Silent: 500 * time.Millisecond,
		Idle:   60 * time.Second,
	}
}

// retiredCount replaces the number of waiting calls of a link that is closed because
// it was idle. It is so low that the number stays negative and no call can begin.
const retiredCount = math.MinInt64 / 2

// writeChunkBytes is the maximum size of one write, so that the progress of a large
// body can be observed.
const writeChunkBytes = 64 << 10

// link is a connection to a peer and the calls that wait for their responses on it.
// Only the connection is closed, never the client: net/rpc then returns ErrShutdown
// only for calls that were made after the connection ended and so were never sent.
type link struct {
	client *rpc.Client
	codec  *codec
	conn   *countedConn
	timing Timing
	memory *dfubody.Memory
	// bulk is set if writing a call may take long, so that a separate goroutine
	// writes it.
	bulk      bool
	waiting   atomic.Int64
	busySince atomic.Int64
	lastUsed  atomic.Int64
	pinging   atomic.Bool
	// greeted is set once a response has shown whether the peer accepts raw bodies.
	greeted atomic.Bool
	// unanswered is set if the context of a call ended and nothing has been read
	// since the call began.
	unanswered atomic.Bool
}

// countedConn counts the bytes that are read and written, and records the time of
// the last read and write.
type countedConn struct {
	net.Conn
	lastRead  atomic.Int64
	lastWrite atomic.Int64
	failed    atomic.Bool
	read      atomic.Int64
	written   atomic.Int64
}

// Read reads from the connection and records the time. It closes the connection if that
// fails.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.read.Add(int64(n))
	}
	if err != nil {
		// net/rpc reads no further and leaves the connection open.
		c.failed.Store(true)
		c.Close()
	}
	return n, err
}

// Write writes to the connection in chunks and records the time of each.
func (c *countedConn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(written+writeChunkBytes, len(b))])
		written += n
		c.written.Add(int64(n))
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

func dial(address string, local net.IP, timing Timing, count CountFunc, memory *dfubody.Memory) (*link, error) {
	dialer := net.Dialer{Timeout: timing.Dial, LocalAddr: &net.TCPAddr{IP: local}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrNotSent)
	}
	counted := &countedConn{Conn: conn}
	now := time.Now().UnixNano()
	counted.lastRead.Store(now)
	codec := newCodec(counted, memory, func() { _ = counted.Close() })
	client := rpc.NewClientWithCodec(&clientCodec{codec: codec, conn: counted, count: count})
	l := &link{client: client, codec: codec, conn: counted, timing: timing, memory: memory}
	l.lastUsed.Store(now)
	return l, nil
}

// call sends a call and waits for its response, the end of ctx or the end of the
// link. If ctx ends first and onDone is not nil, call returns ErrDetached, and onDone
// is called with the call's result later.
func (l *link) call(ctx context.Context, method string, args, reply any, onDone func(error)) error {
	if !l.begin() {
		return errors.Mark(errors.New("link was closed because it was idle"), ErrNotSent)
	}
	began := time.Now().UnixNano()
	if isLarge(args) && !l.codec.peerAcceptsRaw.Load() && !l.greeted.Load() {
		if err := l.greet(ctx, began); err != nil {
			return err
		}
	}
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
	held := l.hold(args)
	if onDone == nil {
		if l.conn.lastRead.Load() < began {
			l.unanswered.Store(true)
		}
		l.end()
		if held != nil {
			go func() {
				<-done
				held.Release()
			}()
		}
		return errors.Mark(errors.Wrap(ctx.Err(), "wait for response from peer"), ErrLost)
	}
	go func() {
		call := <-done
		held.Release()
		onDone(l.finish(call.Error))
	}()
	return ErrDetached
}

// greet sends a ping, whose response contains whether the peer accepts raw bodies. If it
// fails, it ends the call, of which nothing was sent.
func (l *link) greet(ctx context.Context, began int64) error {
	done := make(chan *rpc.Call, 1)
	go l.client.Go("Liveness.Ping", struct{}{}, &struct{}{}, done)
	select {
	case call := <-done:
		if call.Error == nil {
			l.greeted.Store(true)
			return nil
		}
		l.end()
		l.close()
		return errors.Mark(errors.Wrap(call.Error, "greet peer"), ErrNotSent)
	case <-ctx.Done():
		if l.conn.lastRead.Load() < began {
			l.unanswered.Store(true)
		}
		l.end()
		return errors.Mark(errors.Wrap(ctx.Err(), "greet peer"), ErrNotSent)
	}
}

// hold takes memory for a call that goes on after its caller has left; it returns nil if the
// call has no large body.
func (l *link) hold(args any) *dfubody.Body {
	if !isLarge(args) {
		return nil
	}
	held := l.memory.Open(nil)
	held.Force(dfuident.Bytes(args.(Carrier).BodySize()))
	return held
}

// begin increments the number of waiting calls. It returns false if the link was
// closed because it was idle.
func (l *link) begin() bool {
	waiting := l.waiting.Add(1)
	if waiting == 1 {
		l.busySince.Store(time.Now().UnixNano())
	}
	return waiting > 0
}

// finish ends a call and returns its error, marked by markCallError. Any error that
// the peer did not return closes the link, so that the next call opens a new one:
// net/rpc stops reading at a response that it can't decode but leaves the connection
// open.
func (l *link) finish(err error) error {
	l.end()
	err = markCallError(err)
	if errors.IsAny(err, ErrNotSent, ErrLost) {
		l.close()
	}
	return err
}

// end decrements the number of waiting calls.
func (l *link) end() {
	l.lastUsed.Store(time.Now().UnixNano())
	l.waiting.Add(-1)
}

// markCallError marks a failure of the link as ErrNotSent or ErrLost. It leaves an
// error that the peer returned unmarked.
func markCallError(err error) error {
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

// sweep closes the link if it has been idle for longer than Timing.Idle, and starts a
// ping if needsPing reports that one is due.
func (l *link) sweep(now time.Time) {
	if l.retire(now) {
		l.close()
		return
	}
	if l.needsPing(now) && l.pinging.CompareAndSwap(false, true) {
		l.unanswered.Store(false)
		go l.ping()
	}
}

// retire reports whether the link has been idle for longer than Timing.Idle. If so,
// no further call can begin on it, and closing it interrupts no call.
func (l *link) retire(now time.Time) bool {
	return now.UnixNano()-l.lastUsed.Load() > int64(l.timing.Idle) && l.waiting.CompareAndSwap(0, retiredCount)
}

// needsPing reports whether calls have waited for longer than Timing.Quiet, or have
// given up, and nothing was read meanwhile.
func (l *link) needsPing(now time.Time) bool {
	if l.unanswered.Load() {
		return true
	}
	since := max(l.busySince.Load(), l.conn.lastRead.Load())
	return l.waiting.Load() > 0 && now.UnixNano()-since > int64(l.timing.Quiet)
}

// ping sends a ping and closes the link if no data is transferred for Timing.Silent
// before the response arrives. While the ping is queued behind a large body, written
// data counts too: a peer that reads the body slowly keeps its link, and a peer that
// has stopped reading is detected. After the ping has been written, only data that is
// read counts.
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
			lastProgress := l.conn.lastRead.Load()
			if sent != nil {
				lastProgress = max(lastProgress, l.conn.lastWrite.Load())
			}
			if lastProgress < since {
				l.close()
				return
			}
		}
		timer.Reset(l.timing.Silent)
	}
}

// ended reports whether the link has failed or was closed, so that no further call
// can be made on it.
func (l *link) ended() bool {
	return l.conn.failed.Load()
}

// close closes the connection; waiting calls return ErrLost.
func (l *link) close() {
	l.conn.failed.Store(true)
	l.conn.Close()
}
