package dfutarget

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

const (
	// endlessDeadline is the deadline of a request to a target whose bytes never end.
	endlessDeadline = 300 * time.Millisecond
	// endlessTargets is the number of such requests at one time.
	endlessTargets = 10
	// endlessAnswerLimit is the maximum size of an answer in these tests.
	endlessAnswerLimit = 8 << 20
	// endlessMemory bounds the memory that all of them occupy together: that of large
	// answers, and what is free of charge and buffered on each connection.
	endlessMemory = 24 << 20
)

// endlessTarget responds to each request with a beginning and then with a unit that is
// repeated until the client closes the connection.
type endlessTarget struct {
	start, unit string
	// pause is the time between two units; zero if they are sent as fast as possible.
	pause time.Duration
	// conns counts the goroutines, which end when the client closes their connection.
	conns *sync.WaitGroup
}

func (e endlessTarget) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.conns.Go(func() { e.respond(conn) })
	}
}

func (e endlessTarget) respond(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	unit := []byte(e.unit)
	if e.pause == 0 {
		unit = []byte(strings.Repeat(e.unit, 1+(64<<10)/len(e.unit)))
	}
	if _, err := conn.Write([]byte(e.start)); err != nil {
		return
	}
	for {
		if _, err := conn.Write(unit); err != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

// untilClose is a dialect whose responses may end with their connection.
type untilClose struct{ Native }

// AllowsUntilClose implements Dialect.
func (untilClose) AllowsUntilClose() bool { return true }

// peakHeap samples the heap until stop is called, which returns the largest growth.
func peakHeap() (stop func() uint64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, m.HeapAlloc
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				runtime.GC()
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return peak - before
	}
}

// Bytes that are no answer, or that follow one, may come without end. Ten requests at a
// time end at their deadline at the latest, occupy bounded memory, and their connections
// are closed. A whole answer that is followed by more bytes is returned.
func TestBytesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, method, start, unit string
		status                    int
	}{
		{"garbage", "GET", "", "garbage ", 0},
		{"empty lines", "GET", "", "\r\n", 0},
		{"status line", "GET", "HTTP/1.1 200 ", "O", 0},
		{"header lines", "GET", ok, "A: b\r\n", 0},
		{"one header line", "GET", ok + "A: ", "b", 0},
		{"interim answers", "GET", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 0},
		{"chunks", "GET", chunked, "1000\r\n" + strings.Repeat("b", 4096) + "\r\n", 0},
		{"small chunks", "GET", chunked, "1\r\nb\r\n", 0},
		{"one large chunk", "GET", chunked + "7fffffff\r\n", "b", 0},
		{"chunk size", "GET", chunked, "0", 0},
		{"chunk extension", "GET", chunked + "1;", "a", 0},
		{"trailers", "GET", chunked + "0\r\n", "A: b\r\n", 0},
		{"one trailer", "GET", chunked + "0\r\nA: ", "b", 0},
		{"length too large", "GET", ok + "Content-Length: 999999999999\r\n\r\n", "b", 0},
		{"length within the limit", "GET", ok + "Content-Length: 8388608\r\n\r\n", "b", 200},
		{"until close", "GET", ok + "\r\n", "b", 0},
		{"beyond the length", "GET", ok + "Content-Length: 1\r\n\r\n", "b", 200},
		{"after 204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "b", 204},
		{"after 304", "GET", "HTTP/1.1 304 Not Modified\r\n\r\n", "b", 304},
		{"to HEAD", "HEAD", ok + "Content-Length: 1\r\n\r\n", "b", 200},
	} {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			t.Run(c.name+" "+pause.String(), func(t *testing.T) {
				is := is.New(t)
				t.Cleanup(func() { goleak.VerifyNone(t) })
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				var conns sync.WaitGroup
				conns.Go(func() { endlessTarget{c.start, c.unit, pause, &conns}.serve(l) })
				client := New(Config{
					Address: dfuident.Address(l.Addr().String()), AnswerLimit: endlessAnswerLimit, IdleLimit: endlessTargets,
					IdleTime: dfuclock.Minute, Dialect: untilClose{}, LargeAnswers: NewMemory(endlessAnswerLimit),
				})
				stop := peakHeap()
				began := time.Now()
				var wg sync.WaitGroup
				for range endlessTargets {
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), endlessDeadline)
						defer cancel()
						result, err := client.Run(ctx, &dfumessage.Offer{Method: c.method, URI: "/", Idempotent: true}, 300)
						if c.status == 0 || err != nil {
							is.True(errors.Is(err, ErrInterrupted))
							return
						}
						is.Equal(result.Answer.Status, c.status)
					})
				}
				wg.Wait()
				is.True(time.Since(began) < endlessDeadline+time.Second)
				is.True(stop() < endlessMemory)
				client.Close()
				is.NoErr(l.Close())
				conns.Wait()
			})
		}
	}
}
