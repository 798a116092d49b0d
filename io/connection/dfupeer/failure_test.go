package dfupeer

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// patience ends a test that hangs; no verdict depends on it.
const patience = 30 * time.Second

var shortTiming = Timing{Dial: 5 * time.Second, Quiet: 40 * time.Millisecond, Silent: 200 * time.Millisecond, Idle: time.Hour}

// Answerer is the receiver of the tests.
type Answerer struct {
	release chan struct{}
}

// Say answers at once.
func (e *Answerer) Say(in []byte, out *int) error { *out = len(in); return nil }

// Wait answers after so many milliseconds.
func (e *Answerer) Wait(ms int, out *int) error {
	time.Sleep(time.Duration(ms) * time.Millisecond)
	*out = ms
	return nil
}

// Block answers when the test says so.
func (e *Answerer) Block(in int, out *int) error { <-e.release; *out = in; return nil }

// way is what the network between two nodes does with a connection.
type way int

const (
	pass way = iota
	swallow
	stuck
	garble
	cut
)

// network stands between the pool and the server; connection i goes ways[i],
// and the ones after the last pass.
type network struct {
	net.Listener
	to   string
	ways []way
	seen atomic.Int32
	wg   sync.WaitGroup
	mu   sync.Mutex
	open []net.Conn
}

func (n *network) run() {
	for {
		conn, err := n.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.open = append(n.open, conn)
		n.mu.Unlock()
		w, i := pass, int(n.seen.Add(1))-1
		if i < len(n.ways) {
			w = n.ways[i]
		}
		n.wg.Go(func() { n.carry(conn, w) })
	}
}

func (n *network) carry(conn net.Conn, w way) {
	var one [1]byte
	switch w {
	case swallow:
		_, _ = io.Copy(io.Discard, conn)
	case garble:
		_, _ = conn.Read(one[:])
		_, _ = conn.Write([]byte{3, 0xff, 0xff, 0xff, 0, 0, 1, 1})
	case cut:
		_, _ = conn.Read(one[:])
		conn.Close()
	case pass:
		up, err := net.Dial("tcp", n.to)
		if err != nil {
			conn.Close()
			return
		}
		n.wg.Go(func() { _, _ = io.Copy(up, conn); up.Close() })
		_, _ = io.Copy(conn, up)
		conn.Close()
	case stuck:
	}
}

// bed is one server, the network before it and a pool.
type bed struct {
	is   *is.I
	echo *Answerer
	net  *network
	pool *Pool
	ctx  context.Context
}

func newBed(t *testing.T, timing Timing, ways ...way) *bed {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	b := &bed{is: is.New(t), echo: &Answerer{release: make(chan struct{})}}
	server, err := NewServer(listen(b.is))
	b.is.NoErr(err)
	b.is.NoErr(server.Register("Echo", b.echo))
	b.net = &network{Listener: listen(b.is), to: server.listener.Addr().String(), ways: ways}
	b.pool = NewPool(timing, net.IPv4(127, 0, 0, 1))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	b.ctx = ctx
	var wg sync.WaitGroup
	wg.Go(server.Run)
	wg.Go(b.net.run)
	wg.Go(func() { b.pool.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		b.pool.Close()
		b.net.Close()
		b.net.mu.Lock()
		for _, c := range b.net.open {
			c.Close()
		}
		b.net.mu.Unlock()
		close(b.echo.release)
		server.Close()
		b.net.wg.Wait()
		wg.Wait()
	})
	return b
}

func listen(is *is.I) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	return l
}

func (b *bed) address() dfuident.Address { return dfuident.Address(b.net.Addr().String()) }

func (b *bed) call(ctx context.Context, lane Lane, method string, args any) error {
	return b.pool.Call(ctx, b.address(), lane, method, args, new(int))
}

func (b *bed) until(ok func() bool) {
	for !ok() {
		b.is.NoErr(b.ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// A call over a connection that fails in any way is ErrLost, and the next call
// goes once over a new connection.
func TestFailedConnectionIsLostAndReplaced(t *testing.T) {
	large := make([]byte, 32<<20)
	for _, c := range []struct {
		name string
		way  way
		args []byte
	}{
		{"swallows", swallow, []byte("a")},
		{"swallows a large body", swallow, large},
		{"stops reading in a large body", stuck, large},
		{"answers garbage", garble, []byte("a")},
		{"ends in the call", cut, []byte("a")},
		{"ends in a large body", cut, large},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, shortTiming, c.way)
			err := b.call(b.ctx, Small, "Echo.Say", c.args)
			b.is.True(errors.Is(err, ErrLost))
			b.is.True(!IsNotSent(err))
			b.is.NoErr(b.ctx.Err())
			b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("b")))
			b.is.Equal(b.net.seen.Load(), int32(2))
		})
	}
}

func TestSlowPeerIsNotCut(t *testing.T) {
	b := newBed(t, shortTiming)
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Wait", 2000))
	b.is.Equal(b.net.seen.Load(), int32(1))
}

// Calls that each give up before the ping still reveal a silent link.
func TestSilentLinkUnderShortCalls(t *testing.T) {
	b := newBed(t, shortTiming, swallow)
	b.until(func() bool {
		ctx, cancel := context.WithTimeout(b.ctx, 5*time.Millisecond)
		defer cancel()
		_ = b.call(ctx, Control, "Echo.Say", []byte("a"))
		return b.net.seen.Load() > 1
	})
}

func TestRefusedIsNotSent(t *testing.T) {
	b := newBed(t, shortTiming)
	b.net.Close()
	b.is.True(IsNotSent(b.call(b.ctx, Small, "Echo.Say", []byte("a"))))
	b.pool.Close()
	b.is.True(IsNotSent(b.call(b.ctx, Small, "Echo.Say", []byte("a"))))
}

// A call that waits for a link ends with its own context, not with the dial.
func TestWaitForLinkEndsWithContext(t *testing.T) {
	is := is.New(t)
	defer goleak.VerifyNone(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	full := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	first, err := net.DialTCP("tcp", nil, full)
	is.NoErr(err)
	p := NewPool(Timing{Dial: patience}, net.IPv4(127, 0, 0, 1))
	to := dfuident.Address(full.String())
	opener := make(chan error, 1)
	go func() { opener <- p.Call(context.Background(), to, Small, "Echo.Say", []byte{}, new(int)) }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(IsNotSent(p.Call(ctx, to, Small, "Echo.Say", []byte{}, new(int))))
	p.mu.Lock()
	is.Equal(len(p.opening), 1)
	p.mu.Unlock()
	p.Close()
	first.Close()
	is.NoErr(syscall.Close(fd))
	is.True(IsNotSent(<-opener))
}

func TestFirstCallsShareOneLink(t *testing.T) {
	b := newBed(t, shortTiming)
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() { b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a"))) })
	}
	wg.Wait()
	b.is.Equal(b.net.seen.Load(), int32(1))
}

// The end of a detached call is told exactly once, whatever ends it.
func TestDetachedCallEndsOnce(t *testing.T) {
	for name, end := range map[string]func(*bed){
		"answer":     func(b *bed) { b.echo.release <- struct{}{} },
		"reconnect":  func(b *bed) { b.pool.Reconnect(b.address(), Small) },
		"pool close": func(b *bed) { b.pool.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, shortTiming)
			ctx, cancel := context.WithCancel(b.ctx)
			time.AfterFunc(20*time.Millisecond, cancel)
			late := make(chan error, 2)
			err := b.pool.CallOrDetach(ctx, b.address(), Small, "Echo.Block", 1, new(int), func(err error) { late <- err })
			b.is.True(errors.Is(err, ErrDetached))
			b.is.Equal(len(late), 0)
			end(b)
			err = <-late
			b.is.True(err == nil || errors.Is(err, ErrLost))
			b.is.Equal(err == nil, name == "answer")
			runtime.Gosched()
			b.is.Equal(len(late), 0)
		})
	}
}

func TestCloseEndsWaitingCalls(t *testing.T) {
	b := newBed(t, shortTiming)
	time.AfterFunc(20*time.Millisecond, b.pool.Close)
	err := b.call(b.ctx, Small, "Echo.Block", 1)
	b.is.True(errors.IsAny(err, ErrLost, ErrNotSent))
}

func TestIdleLinkCloses(t *testing.T) {
	timing := shortTiming
	timing.Idle = 50 * time.Millisecond
	b := newBed(t, timing)
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
	b.until(func() bool {
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		return len(b.pool.links) == 0
	})
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
	b.is.Equal(b.net.seen.Load(), int32(2))
}

// A call that got the link just before it is closed for being idle is not sent.
func TestNoCallBeginsOnRetiredLink(t *testing.T) {
	b := newBed(t, shortTiming)
	l, err := b.pool.link(b.ctx, linkKey{b.address(), Small})
	b.is.NoErr(err)
	l.sweep(time.Now().Add(2 * shortTiming.Idle))
	b.is.True(IsNotSent(l.call(b.ctx, "Echo.Say", []byte("a"), new(int), nil)))
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
}

// A body that is stuck holds up neither its own caller nor the small lane.
func TestStuckBulkDoesNotDelaySmall(t *testing.T) {
	timing := shortTiming
	timing.Quiet, timing.Silent = time.Hour, time.Hour
	b := newBed(t, timing, stuck)
	stuck := make(chan error, 2)
	_, err := b.pool.link(b.ctx, linkKey{b.address(), Bulk})
	b.is.NoErr(err)
	ctx, cancel := context.WithCancel(b.ctx)
	time.AfterFunc(20*time.Millisecond, cancel)
	err = b.pool.CallOrDetach(ctx, b.address(), Bulk, "Echo.Say", make([]byte, 32<<20), new(int), func(err error) { stuck <- err })
	b.is.True(errors.Is(err, ErrDetached))
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
	b.is.Equal(len(stuck), 0)
	b.pool.Reconnect(b.address(), Bulk)
	b.is.True(errors.Is(<-stuck, ErrLost))
}

// Whatever a stranger writes to the server, it goes on serving and reads no
// message above the limit.
func TestServerOutlivesGarbage(t *testing.T) {
	b := newBed(t, shortTiming)
	for _, garbage := range [][]byte{
		{0},
		{3, 1, 2, 3},
		{0x80},
		{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		{0xfc, 0x7f, 0xff, 0xff, 0xff, 1},
		[]byte("GET / HTTP/1.1\r\n\r\n"), bytes.Repeat([]byte{0xff}, 4096),
	} {
		conn, err := net.Dial("tcp", b.net.to)
		b.is.NoErr(err)
		_, err = conn.Write(garbage)
		b.is.NoErr(err)
		// The server ends a connection that claims too large a message itself.
		if garbage[0] != 0xfc {
			b.is.NoErr(conn.(*net.TCPConn).CloseWrite())
		}
		b.is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
		_, err = io.Copy(io.Discard, conn)
		b.is.True(!errors.Is(err, os.ErrDeadlineExceeded))
		conn.Close()
	}
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
	for _, c := range []struct {
		bytes []byte
		ok    bool
	}{
		{[]byte{2, 1, 2, 0xfe, 1, 0}, true},
		{[]byte{0xfc, 0x40, 0, 0, 0}, true},
		{[]byte{0xfc, 0x40, 0, 0, 1}, false},
		{[]byte{2, 1, 2, 0xf8, 1, 0, 0, 0, 0, 0, 0, 0}, false},
	} {
		limit, ok := &messageLimit{}, true
		for i := range c.bytes {
			ok = ok && limit.within(c.bytes[i:i+1])
		}
		b.is.Equal(ok, c.ok)
		b.is.Equal((&messageLimit{}).within(c.bytes), c.ok)
	}
}

// faultyListener fails to accept once, as for want of file descriptors.
type faultyListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept fails once and then accepts.
func (l *faultyListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestServerOutlivesFailedAccept(t *testing.T) {
	is := is.New(t)
	defer goleak.VerifyNone(t)
	server, err := NewServer(&faultyListener{Listener: listen(is)})
	is.NoErr(err)
	var wg sync.WaitGroup
	wg.Go(server.Run)
	p := NewPool(shortTiming, net.IPv4(127, 0, 0, 1))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	to := dfuident.Address(server.listener.Addr().String())
	is.NoErr(p.Call(ctx, to, Control, "Liveness.Ping", struct{}{}, &struct{}{}))
	p.Close()
	server.Close()
	wg.Wait()
}
