package dfufront

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfuserver"
	"dragonflyusher/io/request/dfumessage"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

// testTimeout stops a test that hangs; no test result depends on its value.
const testTimeout = 30 * time.Second

const maxBodyBytes = 1 << 16

// handlerFunc implements CallHandler by a function.
type handlerFunc func(call Call, watchClose func(func()) func()) Result

// Serve calls f.
func (f handlerFunc) Serve(call Call, watchClose func(onClose func()) (stop func())) Result {
	return f(call, watchClose)
}

// echo responds with the body of the call.
func echo(call Call, _ func(func()) func()) Result {
	return Result{Outcome: dfuoutcome.Answered, Answer: dfumessage.Answer{Status: 200, Body: call.Body}}
}

// faulty is a listener that fails once to accept a connection, as if the process
// had run out of file descriptors.
type faulty struct {
	net.Listener
	failed atomic.Bool
}

// Accept returns EMFILE at the first call and accepts connections after that.
func (l *faulty) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// startServer starts a CallerServer with handler and returns a function that opens a
// connection to it.
func startServer(t *testing.T, handler handlerFunc) func() *net.TCPConn {
	t.Helper()
	is := is.New(t)
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(Deps{
		Handler: handler,
		Dialect: Native{},
		Admin:   func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("admin") },
		Log:     zap.NewNop(),
		Metrics: metrics.NewRegistry(),
		Times:   dfuhistogram.New(),
	}, dfuserver.Config{
		MaxHeader: 4096,
		MaxBody:   maxBodyBytes,
		Pipeline:  dfupipeline.Limits{Requests: 16, Bytes: 1 << 18},
	})
	var wg sync.WaitGroup
	wg.Go(func() { is.NoErr(s.Run(&faulty{Listener: l})) })
	var conns []net.Conn
	t.Cleanup(func() {
		for _, c := range conns {
			c.Close()
		}
		is.NoErr(s.Close(context.Background()))
		wg.Wait()
	})
	var mu sync.Mutex
	return func() *net.TCPConn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(testTimeout)))
		mu.Lock()
		conns = append(conns, c)
		mu.Unlock()
		return c.(*net.TCPConn)
	}
}

// received is a complete response.
type received struct {
	status int
	header http.Header
	body   []byte
}

func receive(is *is.I, r *bufio.Reader, method string) received {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return received{resp.StatusCode, resp.Header, body}
}

const validHeaders = "Host: a\r\nDragonflyusher-Service: s\r\nDragonflyusher-Deadline-Ms: 1000\r\n"

// An invalid request gets a response with an outcome and is not passed to the
// handler.
func TestRefusedRequests(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n"
	const service = "Dragonflyusher-Service: s\r\n"
	const deadline = "Dragonflyusher-Deadline-Ms: "
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"good", head + service + deadline + "1000\r\n\r\n", 200},
		{"spaces around", head + service + deadline + "  1000 \r\n\r\n", 200},
		{"greatest deadline", head + service + deadline + "9223372036854775807\r\n\r\n", 200},
		{"no service", head + deadline + "1000\r\n\r\n", 400},
		{"no deadline", head + service + "\r\n", 400},
		{"empty deadline", head + service + deadline + "\r\n\r\n", 400},
		{"zero deadline", head + service + deadline + "0\r\n\r\n", 400},
		{"negative deadline", head + service + deadline + "-1\r\n\r\n", 400},
		{"huge deadline", head + service + deadline + "9223372036854775808\r\n\r\n", 400},
		{"fraction", head + service + deadline + "1.5\r\n\r\n", 400},
		{"inner space", head + service + deadline + "1 0\r\n\r\n", 400},
		{"two deadlines", head + service + deadline + "1\r\n" + deadline + "2\r\n\r\n", 400},
		{"two services", head + service + service + deadline + "2\r\n\r\n", 400},
		{"two keys", head + service + deadline + "2\r\nIdempotency-Key: a\r\nidempotency-key: b\r\n\r\n", 400},
		{"absurd allowance", head + service + deadline + "2\r\nDragonflyusher-Retry-Allowance: x\r\n\r\n", 400},
		{"malformed header", head + "no colon\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\n" + validHeaders + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		{"length and chunks", "POST / HTTP/1.1\r\n" + validHeaders + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200},
		{"large body", "POST / HTTP/1.1\r\n" + validHeaders + "Content-Length: 65537\r\n\r\n", 413},
		{"large chunks", "POST / HTTP/1.1\r\n" + validHeaders + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("a", 65537) + "\r\n0\r\n\r\n", 413},
		{"head", "HEAD / HTTP/1.1\r\n" + validHeaders + "\r\n", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			conn := startServer(t, func(call Call, _ func(func()) func()) Result {
				calls.Add(1)
				is.True(call.Remaining > 0)
				return echo(call, nil)
			})()
			_, err := conn.Write([]byte(c.request))
			is.NoErr(err)
			method, _, _ := strings.Cut(c.request, " ")
			resp := receive(is, bufio.NewReader(conn), method)
			is.Equal(resp.status, c.status)
			want := map[int]string{200: "answered ", 400: "not_run bad_request", 413: "not_run body_too_large"}[c.status]
			is.Equal(resp.header.Get(HeaderOutcome)+" "+resp.header.Get(HeaderReason), want)
			is.Equal(calls.Load() == 1, c.status == 200)
		})
	}
}

// A handler is notified when the caller closes the connection or its sending side.
// A pipelined request is neither lost nor mistaken for a close.
func TestLeave(t *testing.T) {
	const request = "POST /1 HTTP/1.1\r\n" + validHeaders + "Content-Length: 1\r\n\r\na"
	for _, c := range []struct {
		name   string
		act    func(*net.TCPConn) error
		closes bool
	}{
		{"close", (*net.TCPConn).Close, true},
		{"reset", func(c *net.TCPConn) error { return c.SetLinger(0) }, true},
		{"half close", (*net.TCPConn).CloseWrite, true},
		{"pipelined request", func(c *net.TCPConn) error {
			_, err := c.Write([]byte(strings.Replace(request, "/1", "/2", 1)))
			return err
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			serving, closed := make(chan struct{}), make(chan struct{}, 10)
			var proceed atomic.Bool
			conn := startServer(t, func(call Call, watchClose func(func()) func()) Result {
				defer watchClose(func() { closed <- struct{}{} })()
				if call.URI == "/2" {
					return echo(call, nil)
				}
				close(serving)
				if c.closes {
					<-closed
				} else {
					for !proceed.Load() {
						time.Sleep(time.Millisecond)
					}
				}
				return echo(call, nil)
			})()
			_, err := conn.Write([]byte(request))
			is.NoErr(err)
			<-serving
			is.NoErr(c.act(conn))
			if c.name == "reset" {
				is.NoErr(conn.Close())
			}
			if c.closes {
				return
			}
			time.AfterFunc(20*time.Millisecond, func() { proceed.Store(true) })
			r := bufio.NewReader(conn)
			for range 2 {
				is.Equal(receive(is, r, "POST").status, 200)
			}
			is.Equal(len(closed), 0)
		})
	}
}

// End-to-end headers are passed on unchanged, hop-by-hop headers are dropped, and a
// line break in a name or value injects no other header.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	got := make(chan Call, 1)
	conn := startServer(t, func(call Call, _ func(func()) func()) Result {
		got <- call
		return Result{Outcome: dfuoutcome.Answered, Target: "n\r\nInjected: 1", Answer: dfumessage.Answer{Status: 200, Headers: []dfumessage.Header{
			{Name: "Evil", Value: "a\r\nInjected: 1"},
			{Name: "Evil\r\nInjected", Value: "1"},
			{Name: HeaderOutcome, Value: "not_run"},
			{Name: HeaderOutcome, Value: "unknown"},
			{Name: "Set-Cookie", Value: "a=1"},
			{Name: "Set-Cookie", Value: "a=2"},
		}}}
	})()
	_, err := conn.Write([]byte("POST //a%2F?q HTTP/1.1\r\n" + validHeaders + "Connection: keep-alive, X-Hop, idempotency-key\r\nX-Hop: 1\r\nTE: trailers\r\nTrailer: T\r\n" +
		"Upgrade: a\r\nProxy-Authorization: a\r\nProxy-Connection: a\r\nKeep-Alive: a\r\nExpect: 100-continue\r\nX-Own: 1\r\nX-Own: 2\r\nContent-Length: 1\r\n\r\n"))
	is.NoErr(err)
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = r.ReadString('\n')
	is.NoErr(err)
	_, err = conn.Write([]byte("a"))
	is.NoErr(err)
	resp := receive(is, r, "POST")
	call := <-got
	is.Equal(fmt.Sprint(call.Headers), "[{X-Own 1} {X-Own 2}]")
	is.Equal(call.URI, "//a%2F?q")
	is.Equal(resp.header.Get("Injected"), "")
	is.Equal(resp.header.Values(HeaderOutcome), []string{"answered"})
	is.Equal(len(resp.header.Values("Set-Cookie")), 2)
	is.Equal(len(resp.header.Values("Content-Type")), 0)
}

// Callers on separate connections each get exactly their own response, and the
// bodies of their calls stay unchanged after the handler has returned.
func TestAnswersDoNotMix(t *testing.T) {
	is := is.New(t)
	var bodies sync.Map
	dial := startServer(t, func(call Call, watchClose func(func()) func()) Result {
		defer watchClose(func() {})()
		bodies.Store(&call, bytes.Clone(call.Body))
		return echo(call, nil)
	})
	var wg sync.WaitGroup
	for worker := range 16 {
		conn := dial()
		wg.Go(func() {
			random := rand.New(rand.NewPCG(uint64(worker), 1))
			r := bufio.NewReader(conn)
			for range 50 {
				body := bytes.Repeat([]byte{byte(random.Uint32())}, random.IntN(20000))
				_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", validHeaders, len(body), body)
				is.NoErr(err)
				is.True(bytes.Equal(receive(is, r, "POST").body, body))
			}
		})
	}
	wg.Wait()
	bodies.Range(func(call, body any) bool {
		is.True(bytes.Equal(call.(*Call).Body, body.([]byte)))
		return true
	})
}

// FuzzParseCall checks that ParseCall never returns an invalid call, whatever the
// headers contain.
func FuzzParseCall(f *testing.F) {
	f.Add("s", "1000", "2", "k", "close, X")
	f.Add("", "-1", "99", "", "")
	f.Add("s", " +9223372036854775807", "-0", "k\r\nInjected: 1", ",")
	f.Fuzz(func(t *testing.T, service, deadline, allowance, key, connection string) {
		raw := "POST / HTTP/1.1\r\nHost: a\r\n" + HeaderService + ": " + service + "\r\nDragonflyusher-Deadline-Ms: " + deadline +
			"\r\nDragonflyusher-Retry-Allowance: " + allowance + "\r\nIdempotency-Key: " + key + "\r\nConnection: " + connection + "\r\nContent-Length: 1\r\n\r\na"
		var ctx fasthttp.RequestCtx
		if err := ctx.Request.Read(bufio.NewReader(strings.NewReader(raw))); err != nil {
			return
		}
		call, err := Native{}.ParseCall(&ctx)
		if err != nil {
			return
		}
		if call.Service == "" || call.Remaining <= 0 || call.Allowance < 0 || call.Allowance > MaxRetryAllowance {
			t.Fatalf("invalid call %+v", call)
		}
		for _, h := range call.Headers {
			if strings.ContainsAny(h.Name+h.Value, "\r\n") || !isForwarded(h.Name) {
				t.Fatalf("header %q is forwarded", h)
			}
		}
	})
}
