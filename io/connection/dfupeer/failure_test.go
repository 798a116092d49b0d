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

// testTimeout stops a test that hangs; no test result depends on its value.
const testTimeout = 30 * time.Second

var shortTiming = Timing{Dial: 5 * time.Second, Quiet: 40 * time.Millisecond, Silent: 200 * time.Millisecond, Idle: time.Hour}

// Answerer is the net/rpc receiver that the tests call.
type Answerer struct {
	release chan struct{}
}

// Say returns the length of in at once.
func (e *Answerer) Say(in []byte, out *int) error { *out = len(in); return nil }

// Wait returns ms after ms milliseconds.
func (e *Answerer) Wait(ms int, out *int) error {
	time.Sleep(time.Duration(ms) * time.Millisecond)
	*out = ms
	return nil
}

// Block returns the value of in after the test has sent to release or closed it.
func (e *Answerer) Block(in int, out *int) error { <-e.release; *out = in; return nil }

// fault is how faultyNetwork makes a connection fail.
type fault int

const (
	noFault fault = iota
	// discard reads all data and never responds.
	discard
	// stalled reads nothing and never responds.
	stalled
	// corrupt responds to the first byte with a malformed message.
	corrupt
	// disconnect closes the connection after the first byte.
	disconnect
)

// faultyNetwork is a proxy between the pool and the server. The ith connection has
// faults[i]; connections beyond the end of faults have none.
type faultyNetwork struct {
	net.Listener
	to          string
	faults      []fault
	accepted    atomic.Int32
	wg          sync.WaitGroup
	mu          sync.Mutex
	clientConns []net.Conn
}

func (n *faultyNetwork) run() {
	for {
		conn, err := n.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.clientConns = append(n.clientConns, conn)
		n.mu.Unlock()
		f, i := noFault, int(n.accepted.Add(1))-1
		if i < len(n.faults) {
			f = n.faults[i]
		}
		n.wg.Go(func() { n.serve(conn, f) })
	}
}

func (n *faultyNetwork) serve(conn net.Conn, f fault) {
	var one [1]byte
	switch f {
	case discard:
		_, _ = io.Copy(io.Discard, conn)
	case corrupt:
		_, _ = conn.Read(one[:])
		_, _ = conn.Write([]byte{3, 0xff, 0xff, 0xff, 0, 0, 1, 1})
	case disconnect:
		_, _ = conn.Read(one[:])
		conn.Close()
	case noFault:
		up, err := net.Dial("tcp", n.to)
		if err != nil {
			conn.Close()
			return
		}
		n.wg.Go(func() { _, _ = io.Copy(up, conn); up.Close() })
		_, _ = io.Copy(conn, up)
		conn.Close()
	case stalled:
	}
}

// fixture is a server, a pool and the network between them.
type fixture struct {
	is     *is.I
	echo   *Answerer
	server *Server
	net    *faultyNetwork
	pool   *Pool
	ctx    context.Context
}

func newFixture(t *testing.T, timing Timing, faults ...fault) *fixture {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	b := &fixture{is: is.New(t), echo: &Answerer{release: make(chan struct{})}}
	server, err := NewServer(listen(b.is))
	b.is.NoErr(err)
	b.is.NoErr(server.Register("Echo", b.echo))
	b.server = server
	b.net = &faultyNetwork{Listener: listen(b.is), to: server.listener.Addr().String(), faults: faults}
	b.pool = NewPool(timing, net.IPv4(127, 0, 0, 1))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
		for _, c := range b.net.clientConns {
			c.Close()
		}
		b.net.mu.Unlock()
		close(b.echo.release)
		server.Close(context.Background())
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

func (b *fixture) address() dfuident.Address { return dfuident.Address(b.net.Addr().String()) }

func (b *fixture) call(ctx context.Context, lane Lane, method string, args any) error {
	return b.pool.Call(ctx, b.address(), lane, method, args, new(int))
}

func (b *fixture) until(ok func() bool) {
	for !ok() {
		b.is.NoErr(b.ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// A call over a connection that fails returns ErrLost, whatever the fault, and the
// next call is sent over one new connection.
func TestFailedConnectionIsLostAndReplaced(t *testing.T) {
	large := make([]byte, 32<<20)
	for _, c := range []struct {
		name  string
		fault fault
		args  []byte
	}{
		{"swallows", discard, []byte("a")},
		{"swallows a large body", discard, large},
		{"stops reading in a large body", stalled, large},
		{"answers garbage", corrupt, []byte("a")},
		{"ends in the call", disconnect, []byte("a")},
		{"ends in a large body", disconnect, large},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, shortTiming, c.fault)
			err := b.call(b.ctx, Small, "Echo.Say", c.args)
			b.is.True(errors.Is(err, ErrLost))
			b.is.True(!IsNotSent(err))
			b.is.NoErr(b.ctx.Err())
			b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("b")))
			b.is.Equal(b.net.accepted.Load(), int32(2))
		})
	}
}

func TestSlowPeerIsNotCut(t *testing.T) {
	b := newFixture(t, shortTiming)
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Wait", 2000))
	b.is.Equal(b.net.accepted.Load(), int32(1))
}

// A silent link is detected even if each call gives up before a ping is due.
func TestSilentLinkUnderShortCalls(t *testing.T) {
	b := newFixture(t, shortTiming, discard)
	b.until(func() bool {
		ctx, cancel := context.WithTimeout(b.ctx, 5*time.Millisecond)
		defer cancel()
		_ = b.call(ctx, Control, "Echo.Say", []byte("a"))
		return b.net.accepted.Load() > 1
	})
}

func TestRefusedIsNotSent(t *testing.T) {
	b := newFixture(t, shortTiming)
	b.net.Close()
	b.is.True(IsNotSent(b.call(b.ctx, Small, "Echo.Say", []byte("a"))))
	b.pool.Close()
	b.is.True(IsNotSent(b.call(b.ctx, Small, "Echo.Say", []byte("a"))))
}

// A call that waits for a link returns when its own context ends, although the dial
// continues.
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
	// The first connection fills the accept queue, so the pool's dial stays pending.
	first, err := net.DialTCP("tcp", nil, full)
	is.NoErr(err)
	p := NewPool(Timing{Dial: testTimeout}, net.IPv4(127, 0, 0, 1))
	to := dfuident.Address(full.String())
	opener := make(chan error, 1)
	go func() { opener <- p.Call(context.Background(), to, Small, "Echo.Say", []byte{}, new(int)) }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(IsNotSent(p.Call(ctx, to, Small, "Echo.Say", []byte{}, new(int))))
	p.mu.Lock()
	is.Equal(len(p.dialing), 1)
	p.mu.Unlock()
	p.Close()
	first.Close()
	is.NoErr(syscall.Close(fd))
	is.True(IsNotSent(<-opener))
}

func TestFirstCallsShareOneLink(t *testing.T) {
	b := newFixture(t, shortTiming)
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() { b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a"))) })
	}
	wg.Wait()
	b.is.Equal(b.net.accepted.Load(), int32(1))
}

// The callback of a detached call is called exactly once, whatever ends the call.
func TestDetachedCallEndsOnce(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"answer":     func(b *fixture) { b.echo.release <- struct{}{} },
		"reconnect":  func(b *fixture) { b.pool.Reconnect(b.address(), Small) },
		"pool close": func(b *fixture) { b.pool.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, shortTiming)
			// A call that is canceled while its link is being opened isn't sent.
			b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
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
	b := newFixture(t, shortTiming)
	time.AfterFunc(20*time.Millisecond, b.pool.Close)
	err := b.call(b.ctx, Small, "Echo.Block", 1)
	b.is.True(errors.IsAny(err, ErrLost, ErrNotSent))
}

func TestIdleLinkCloses(t *testing.T) {
	timing := shortTiming
	timing.Idle = 50 * time.Millisecond
	b := newFixture(t, timing)
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
	b.until(func() bool {
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		return len(b.pool.links) == 0
	})
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
	b.is.Equal(b.net.accepted.Load(), int32(2))
}

// A call that obtained a link just before the link is closed as idle is not sent.
func TestNoCallBeginsOnRetiredLink(t *testing.T) {
	b := newFixture(t, shortTiming)
	l, err := b.pool.link(b.ctx, linkKey{b.address(), Small})
	b.is.NoErr(err)
	l.sweep(time.Now().Add(2 * shortTiming.Idle))
	b.is.True(IsNotSent(l.call(b.ctx, "Echo.Say", []byte("a"), new(int), nil)))
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
}

// A large body whose write stalls blocks neither its own caller nor calls on the
// Small lane.
func TestStuckBulkDoesNotDelaySmall(t *testing.T) {
	timing := shortTiming
	timing.Quiet, timing.Silent = time.Hour, time.Hour
	b := newFixture(t, timing, stalled)
	stalled := make(chan error, 2)
	_, err := b.pool.link(b.ctx, linkKey{b.address(), Bulk})
	b.is.NoErr(err)
	ctx, cancel := context.WithCancel(b.ctx)
	time.AfterFunc(20*time.Millisecond, cancel)
	err = b.pool.CallOrDetach(ctx, b.address(), Bulk, "Echo.Say", make([]byte, 32<<20), new(int), func(err error) { stalled <- err })
	b.is.True(errors.Is(err, ErrDetached))
	b.is.NoErr(b.call(b.ctx, Small, "Echo.Say", []byte("a")))
	b.is.Equal(len(stalled), 0)
	b.pool.Reconnect(b.address(), Bulk)
	b.is.True(errors.Is(<-stalled, ErrLost))
}

// The server continues to serve calls after another client has sent malformed data,
// and it reads no message above the limit.
func TestServerOutlivesGarbage(t *testing.T) {
	b := newFixture(t, shortTiming)
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
		// The server closes a connection itself if it announces a message above the
		// limit.
		if garbage[0] != 0xfc {
			b.is.NoErr(conn.(*net.TCPConn).CloseWrite())
		}
		b.is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
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
			ok = ok && limit.withinLimit(c.bytes[i:i+1])
		}
		b.is.Equal(ok, c.ok)
		b.is.Equal((&messageLimit{}).withinLimit(c.bytes), c.ok)
	}
}

// faultyListener fails once to accept a connection, as if the process had run out of
// file descriptors.
type faultyListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept returns EMFILE at the first call and accepts connections after that.
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	to := dfuident.Address(server.listener.Addr().String())
	is.NoErr(p.Call(ctx, to, Control, "Liveness.Ping", struct{}{}, &struct{}{}))
	p.Close()
	server.Close(context.Background())
	wg.Wait()
}
