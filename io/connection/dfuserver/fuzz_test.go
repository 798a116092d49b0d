package dfuserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/io/connection/dfuheader"

	"github.com/valyala/fasthttp"
)

// pipe is a connection whose input arrives in segments and whose output is dropped. The
// input ends when all responses to the requests in it have been written.
type pipe struct {
	net.Conn
	segments [][]byte
	conn     *conn

	mu       sync.Mutex
	deadline time.Time
}

// Read returns the next segment, or as much of it as fits. After the last one it blocks
// until the read deadline or the end of the input.
func (p *pipe) Read(b []byte) (int, error) {
	for len(p.segments) == 0 {
		if err := p.err(); err != nil {
			return 0, err
		}
		time.Sleep(20 * time.Microsecond)
	}
	n := copy(b, p.segments[0])
	p.segments[0] = p.segments[0][n:]
	if len(p.segments[0]) == 0 {
		p.segments = p.segments[1:]
	}
	return n, nil
}

// err returns the error of a read for which there is no input, or nil while it blocks.
func (p *pipe) err() error {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.deadline.IsZero() && p.deadline.Before(time.Now()):
		return os.ErrDeadlineExceeded
	case p.conn.pipeline.Len() == 0:
		return io.EOF
	default:
		return nil
	}
}

// SetReadDeadline sets the time at which a read without input fails.
func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	return nil
}

// Write drops the data.
func (p *pipe) Write(b []byte) (int, error) { return len(b), nil }

// Close does nothing.
func (p *pipe) Close() error { return nil }

// split cuts data into segments of the given lengths, in turn.
func split(data, lengths []byte) [][]byte {
	var segments [][]byte
	for i := 0; len(data) > 0; i++ {
		n := len(data)
		if len(lengths) > 0 {
			n = min(n, int(lengths[i%len(lengths)])+1)
		}
		segments = append(segments, bytes.Clone(data[:n]))
		data = data[n:]
	}
	return segments
}

// readSerially returns the requests in data, read one after the other from one buffer,
// up to the first that can't be read or that closes the connection.
func readSerially(data []byte) []string {
	var requests []string
	in := bytes.NewReader(data)
	r := bufio.NewReaderSize(in, maxHeaderBytes)
	position := func() int { return len(data) - in.Len() - r.Buffered() }
	for {
		var request fasthttp.Request
		if request.Header.Read(r) != nil || checkFields(&request.Header) != nil {
			return requests
		}
		isChunked, begin := request.Header.ContentLength() == lengthChunked, position()
		var uri fasthttp.URI
		if uri.Parse(request.Header.Host(), request.Header.RequestURI()) != nil {
			return requests
		}
		closes := request.Header.ConnectionClose()
		if request.ContinueReadBody(r, maxBodyBytes, false) != nil {
			return requests
		}
		if isChunked && dfuheader.CheckFields(trailers(data[begin:position()])) != nil {
			return requests
		}
		requests = append(requests, describe(&request))
		if closes {
			return requests
		}
	}
}

// trailers returns what follows the last chunk of a well-formed body.
func trailers(body []byte) []byte {
	for {
		line, rest, _ := bytes.Cut(body, []byte("\n"))
		digits := line[:len(line)-len(bytes.TrimLeft(line, "0123456789abcdefABCDEF"))]
		size, _ := strconv.ParseUint(string(digits), 16, 64)
		if size == 0 {
			return rest
		}
		body = rest[size+uint64(len("\r\n")):]
	}
}

// servePipelined returns the requests that the handler gets for the segments. The
// responses become ready in reverse order where the pipeline allows it.
func servePipelined(segments [][]byte) []string {
	var mu sync.Mutex
	requests := map[dfupipeline.Sequence]string{}
	s := New(Config{
		MaxHeader: maxHeaderBytes,
		MaxBody:   maxBodyBytes,
		Pipeline:  dfupipeline.Limits{Requests: 3, Bytes: 1 << 16},
	}, handlerFunc(func(x *Exchange) {
		defer x.WatchClose(func() {})()
		mu.Lock()
		defer mu.Unlock()
		requests[x.sequence] = describe(&x.Ctx.Request)
	}))
	p := &pipe{segments: segments}
	ended := make(chan struct{})
	p.conn = newConn(s, p, func() { close(ended) })
	p.conn.serve()
	<-ended
	mu.Lock()
	defer mu.Unlock()
	var ordered []string
	for n := dfupipeline.Sequence(1); requests[n] != ""; n++ {
		ordered = append(ordered, requests[n])
	}
	return ordered
}

// FuzzSplit checks that the handler gets the same requests as a serial reader, however
// the input is split into segments.
func FuzzSplit(f *testing.F) {
	one := "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	f.Add([]byte(strings.Repeat(one, 9)), []byte{0})
	f.Add([]byte(strings.Repeat(one, 9)), []byte{27, 1, 200})
	f.Add([]byte(one+"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+one), []byte{28})
	f.Add([]byte(one+"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n"+one), []byte{2})
	f.Add([]byte(one+"POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na"+one), []byte{100})
	f.Add([]byte(one+"GET /2 HTTP/1.1\r\nHost: a\r\nX Odd: 1\r\n\r\n"+one), []byte{9})
	f.Add([]byte(one+"GET /2 HTTP/1.1\r\nHost: a\r\nOdd: 1\r\n 2\r\n\r\n"+one), []byte{9})
	f.Add([]byte(one+"GET /2 HTTP/1.1\r\nHost: a\r\n\nOdd: 1\r\n\r\n"+one), []byte{9})
	f.Add([]byte(one+"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT : 1\r\n\r\n"+one), []byte{2})
	f.Add([]byte(one+"no request\r\n\r\n"+one), []byte{7, 3})
	f.Add([]byte(one+"GET /2 HTTP/1.0\r\n\r\n"+one), []byte{})
	f.Add([]byte("\r\n\r\n"+one+"\r\n"+one), []byte{1})
	f.Fuzz(func(t *testing.T, data, lengths []byte) {
		want, got := readSerially(data), servePipelined(split(data, lengths))
		if strings.Join(want, "\n") != strings.Join(got, "\n") {
			t.Fatalf("serial:\n%q\npipelined:\n%q", want, got)
		}
	})
}
