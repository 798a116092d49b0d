package dfuserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyusher/core/connection/dfupipeline"

	"github.com/matryer/is"
)

// shortListener accepts connections on which a write fails after a number of bytes.
type shortListener struct {
	net.Listener
	mu    sync.Mutex
	bytes int
}

func (l *shortListener) set(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes = bytes
}

// Accept implements net.Listener.
func (l *shortListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &shortConn{TCPConn: conn.(*net.TCPConn), left: l.bytes}, nil
}

// shortConn fails once, as soon as left bytes are written, and writes what follows.
type shortConn struct {
	*net.TCPConn
	left   int
	failed bool
}

// Write implements net.Conn.
func (c *shortConn) Write(b []byte) (int, error) {
	if c.failed || len(b) <= c.left {
		c.left -= len(b)
		return c.TCPConn.Write(b)
	}
	c.failed = true
	n, _ := c.TCPConn.Write(b[:c.left])
	return n, io.ErrShortWrite
}

// wholeResponses returns the number of whole responses at the start of a stream, and
// whether the stream ends behind one.
func wholeResponses(stream []byte, methods []string) (n int, atEnd bool) {
	r := bufio.NewReader(bytes.NewReader(stream))
	for _, method := range methods {
		if _, err := r.Peek(1); err != nil {
			return n, true
		}
		response, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return n, false
		}
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return n, false
		}
		n++
	}
	return n, r.Buffered() == 0
}

// Callers got a short answer that was framed as whole. If writing fails at any byte of the
// responses to pipelined requests, the connection ends, the response that was begun must
// not be whole, and no other may follow it.
func TestResponseThatBreaksOffIsNotWhole(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	short := &shortListener{Listener: l}
	s := New(Config{MaxHeader: maxHeaderBytes, MaxBody: maxBodyBytes, Pipeline: dfupipeline.Limits{Requests: 4, Bytes: 1 << 16}},
		handlerFunc(func(x *Exchange) {
			switch string(x.Ctx.Path()) {
			case "/204":
				x.Ctx.SetStatusCode(http.StatusNoContent)
			case "/304":
				x.Ctx.SetStatusCode(http.StatusNotModified)
			case "/empty":
			default:
				echo(x)
			}
		}))
	var wg sync.WaitGroup
	wg.Go(func() { is.NoErr(s.Run(short)) })
	defer wg.Wait()
	defer func() { is.NoErr(s.Close(context.Background())) }()

	methods := []string{"GET", "HEAD", "GET", "GET", "GET", "GET"}
	var requests strings.Builder
	for i, path := range []string{"/a", "/b", "/204", "/304", "/empty", "/c"} {
		fmt.Fprintf(&requests, "%s %s HTTP/1.1\r\nHost: a\r\n", methods[i], path)
		if i == len(methods)-1 {
			requests.WriteString("Connection: close\r\n")
		}
		requests.WriteString("\r\n")
	}
	read := func(bytes int) []byte {
		short.set(bytes)
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
		_, err = io.WriteString(conn, requests.String())
		is.NoErr(err)
		stream, err := io.ReadAll(conn)
		is.NoErr(err)
		return stream
	}
	all := read(1 << 20)
	n, atEnd := wholeResponses(all, methods)
	is.Equal(n, len(methods))
	is.True(atEnd)
	ends := 0
	for bytes := range all {
		stream := read(bytes)
		is.Equal(string(stream), string(all[:bytes]))
		n, atEnd := wholeResponses(stream, methods)
		is.True(n < len(methods))
		if atEnd {
			ends++
		}
	}
	is.Equal(ends, len(methods)) // only between two responses, and before the first one
}

// Callers got a short answer that was framed as whole. A server that stops before it could
// write a large response ends the connection, and the caller must see that it is short.
func TestResponseCutByStopIsNotWhole(t *testing.T) {
	is := is.New(t)
	const size = 32 << 20 // more than the buffers of the sockets hold
	s := startServer(t, func(x *Exchange) { x.Ctx.SetBody(make([]byte, size)) })
	conn := s.dial()
	_, err := io.WriteString(conn, get("/")+get("/"))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.ContentLength, int64(size))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(s.Close(ctx) != nil)
	n, err := io.Copy(io.Discard, response.Body)
	is.True(err != nil)
	is.True(n < size)
}
