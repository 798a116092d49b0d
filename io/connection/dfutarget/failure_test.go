package dfutarget

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
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfudial"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// testTimeout stops a test that hangs; no test result depends on its value.
const testTimeout = 30 * time.Second

const maxAnswerBytes = 1000

// fakeTarget responds to its nth request, counted over all connections, with
// answers[n]. It closes the connection after each response if closes is set. After
// the last of the answers it only reads until the client closes the connection.
type fakeTarget struct {
	net.Listener
	answers  []string
	closes   bool
	requests atomic.Int32
	conns    atomic.Int32
	received chan *http.Request
	wg       sync.WaitGroup
}

func newTarget(t *testing.T, closes bool, answers ...string) (*fakeTarget, *Client) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f := &fakeTarget{Listener: l, answers: answers, closes: closes, received: make(chan *http.Request, 10)}
	f.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.conns.Add(1)
			f.wg.Go(func() { f.serve(conn) })
		}
	})
	c := New(Config{Address: dfuident.Address(l.Addr().String()), AnswerLimit: maxAnswerBytes, IdleLimit: 4, IdleTime: dfuclock.Minute, Dialect: Native{}})
	t.Cleanup(func() { c.Close(); l.Close(); f.wg.Wait() })
	return f, c
}

func (f *fakeTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Header.Get("Early") == "" {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		f.received <- req
		n := int(f.requests.Add(1)) - 1
		if n >= len(f.answers) {
			_, _ = io.Copy(io.Discard, r)
			return
		}
		if _, err := conn.Write([]byte(f.answers[n])); err != nil || f.closes {
			return
		}
	}
}

func run(c *Client, method string, idempotent bool, body []byte, headers ...dfumessage.Header) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	offer := &dfumessage.Offer{
		ID:     dfuident.RequestID{Entry: dfuident.Member{Node: "a", Incarnation: 1}, Sequence: 1},
		Method: method, URI: "//a%2Fb/../c?q=%20", Idempotent: idempotent, Body: body, Headers: headers,
	}
	return c.Run(ctx, offer, 1000)
}

// A truncated, malformed or too large response is reported as ErrInterrupted and
// never returned in part.
func TestAnswerIsWholeOrInterrupted(t *testing.T) {
	for _, c := range []struct {
		name, method, answer string
		status               int
		body                 string
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"},
		{"short length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", 0, ""},
		{"short chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok", 0, ""},
		{"no last chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", 0, ""},
		{"no end of chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", 0, ""},
		{"no length", "GET", "HTTP/1.1 200 OK\r\n\r\nok", 0, ""},
		{"no length, empty", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 0, ""},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", 0, ""},
		{"too large", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + strings.Repeat("a", 1001), 0, ""},
		{"too large chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("a", 1001) + "\r\n0\r\n\r\n", 0, ""},
		{"early hints", "GET", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"only early hints", "GET", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, ""},
		{"switching protocols", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n", 0, ""},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", 200, ""},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304, ""},
		{"half a header", "GET", "HTTP/1.1 200 OK\r\nContent-Le", 0, ""},
		{"garbage", "GET", "garbage\r\n\r\n", 0, ""},
		{"nothing", "GET", "", 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, client := newTarget(t, true, c.answer)
			result, err := run(client, c.method, true, nil)
			is.Equal(result.Answer.Status, c.status)
			is.Equal(string(result.Answer.Body), c.body)
			is.Equal(errors.Is(err, ErrInterrupted), c.status == 0)
			is.Equal(Classify(result, err) == CompletionInterrupted, c.status == 0)
		})
	}
}

// A connection is reused only if it is open and has no data left after the first
// response, which bears the id of its request and is no refusal, and never for a
// non-idempotent request.
func TestReuse(t *testing.T) {
	const id = "Dragonflyusher-Request-Id: a@1/1\r\n"
	const ok = "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok"
	const second = "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 6\r\n\r\nsecond"
	for _, c := range []struct {
		name, first        string
		closes, idempotent bool
		conns              int32
	}{
		{"clean", ok, false, true, 1},
		{"not idempotent", ok, false, false, 2},
		{"close announced", "HTTP/1.1 200 OK\r\nConnection: close\r\n" + id + "Content-Length: 2\r\n\r\nok", false, true, 2},
		{"no id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, true, 2},
		{"refused", "HTTP/1.1 503 Service Unavailable\r\nDragonflyusher-Not-Run: 1\r\n" + id + "Content-Length: 2\r\n\r\nno", false, true, 2},
		{"copy of another answer", "HTTP/1.1 200 OK\r\nDragonflyusher-Request-Id: a@1/0\r\nContent-Length: 5\r\n\r\nwrong" + ok, false, true, 2},
		{"closed", ok, true, true, 2},
		{"bytes after the answer", ok + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", false, true, 2},
		{"body after no content", "HTTP/1.1 204 No Content\r\n" + id + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", false, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, client := newTarget(t, c.closes, c.first, second)
			_, err := run(client, "GET", true, nil)
			is.NoErr(err)
			if c.closes { // wait until the client has received the close
				for cn := client.requests.idle[0]; dfudial.IsQuiet(cn.Conn); {
					time.Sleep(time.Millisecond)
				}
			}
			result, err := run(client, "GET", c.idempotent, nil)
			is.NoErr(err)
			is.Equal(string(result.Answer.Body), "second")
			is.Equal(f.conns.Load(), c.conns)
		})
	}
}

// Canceling the context closes the connection to the target.
func TestCancelReachesTarget(t *testing.T) {
	is := is.New(t)
	f, client := newTarget(t, false)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-f.received; cancel() }()
	_, err := client.Run(ctx, &dfumessage.Offer{Method: "GET", URI: "/", Idempotent: true}, 1000)
	is.True(errors.Is(err, ErrInterrupted))
	f.Close()
	f.wg.Wait() // returns only after the target's reads have returned
}

func TestAbsentTargetIsNotSent(t *testing.T) {
	is := is.New(t)
	f, client := newTarget(t, false)
	f.Close()
	result, err := run(client, "GET", true, nil)
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(Classify(result, err), CompletionNotRun)
	is.True(!client.Reachable())
}

// The client returns the response of a target that responds and closes the
// connection before it has read the request body.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	_, client := newTarget(t, true, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
	result, err := run(client, "POST", true, make([]byte, 32<<20), dfumessage.Header{Name: "Early", Value: "1"})
	is.NoErr(err)
	is.Equal(result.Answer.Status, 413)
}

// End-to-end headers are passed on unchanged, hop-by-hop headers are dropped, and
// a line break in a value injects no header.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	f, client := newTarget(t, true, "HTTP/1.1 200 OK\r\nServer: s\r\nSet-Cookie: a=1\r\nSet-Cookie: a=2\r\nX-Own: 1\r\nX-Hop: 1\r\n"+
		"Connection: close, x-hop\r\nKeep-Alive: 1\r\nUpgrade: a\r\nProxy-Authenticate: a\r\nTrailer: T\r\nContent-Length: 0\r\n\r\n")
	result, err := run(client, "POST", true, []byte("a"), dfumessage.Header{Name: "Evil", Value: "a\r\nInjected: 1"})
	is.NoErr(err)
	is.Equal(fmt.Sprint(result.Answer.Headers), "[{Server s} {Set-Cookie a=1} {Set-Cookie a=2} {X-Own 1}]")
	req := <-f.received
	is.Equal(req.RequestURI, "//a%2Fb/../c?q=%20")
	is.Equal(req.Header.Get("Injected"), "")
	is.Equal(len(req.Header.Values("Content-Type")), 0)
	is.Equal(req.Header.Get(HeaderDeadline), "1000")
}

// Concurrent requests that share a pool of connections each get their own
// response. A request that was not sent, as on a machine so busy that dialing times out,
// has not reached the target and is repeated.
func TestAnswersDoNotMix(t *testing.T) {
	is := is.New(t)
	defer goleak.VerifyNone(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var served atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})}
	client := New(Config{Address: dfuident.Address(l.Addr().String()), AnswerLimit: 1 << 20, IdleLimit: 4, IdleTime: dfuclock.Minute, Dialect: Native{}})
	var serving, calling sync.WaitGroup
	serving.Go(func() { _ = server.Serve(l) })
	const workers, requests = 16, 50
	for worker := range workers {
		calling.Go(func() {
			random := rand.New(rand.NewPCG(uint64(worker), 1))
			for range requests {
				body := bytes.Repeat([]byte{byte(random.Uint32())}, random.IntN(20000))
				isIdempotent := random.IntN(2) == 0
				result, err := run(client, "POST", isIdempotent, body)
				for errors.Is(err, ErrNotSent) {
					result, err = run(client, "POST", isIdempotent, body)
				}
				is.NoErr(err)
				is.True(bytes.Equal(result.Answer.Body, body))
			}
		})
	}
	calling.Wait()
	is.Equal(served.Load(), int64(workers*requests))
	client.Close()
	server.Close()
	serving.Wait()
}
