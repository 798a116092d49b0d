package dfuserver

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"dragonflyusher/core/connection/dfuidle"
	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfubody"
	"dragonflyusher/io/connection/dfuheader"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

var (
	// errInputEnded is returned if the caller's input ends before a complete request.
	errInputEnded = errors.New("the input has ended")
	// errAtEnd is returned if no further request is accepted.
	errAtEnd = errors.New("the connection accepts no further request")
	// ErrTimeout means that a request took longer to arrive than Timeouts allows.
	ErrTimeout = errors.New("the request took too long to arrive")
)

// conn is a connection of a caller. One goroutine at a time reads its requests. After
// a request it starts another goroutine that reads on, handles the request and writes
// the responses that become ready with the request's own.
type conn struct {
	server *Server
	nc     net.Conn
	// onEnd is called after the connection was closed.
	onEnd func()
	// first holds a byte that was read while the connection had no buffer, if hasFirst
	// is set. Only the reading goroutine uses them and the reader.
	first    [1]byte
	hasFirst bool
	reader   *bufio.Reader
	// inBody is set while a body is being read. Each read from nc is then limited.
	inBody bool
	// readErr is the error of the last read from nc, or nil.
	readErr error
	// buffer is the memory of the reader's buffer; nil if there is none. It is received
	// while a header or a body that has no memory yet is being read.
	buffer *dfubody.Body

	mu       sync.Mutex
	changed  sync.Cond
	pipeline *dfupipeline.Pipeline
	// exchanges holds the unanswered requests.
	exchanges map[dfupipeline.Sequence]*Exchange
	// idle is set while the reading goroutine waits for the first byte of a request.
	idle bool
	// readAhead is set while the reading goroutine reads ahead because the pipeline
	// accepts no request.
	readAhead bool
	// closeIdle is set if the connection is to be closed as soon as it is idle.
	closeIdle bool
	// lingerEnd is when reading ends after the last response; zero before that.
	lingerEnd time.Time
	// readLimit is when reading the present request ends; zero if there is no limit.
	readLimit time.Time
	// reading is set while a request is being read, and interrupted if it has to end for
	// lack of memory.
	reading, interrupted bool
	// waits is set while the connection waits for further bytes of the caller.
	waits bool
	// place is the connection's place among those that may be closed for others, and evicted
	// is set once it was chosen. The mutexes of the server guard them.
	place   dfuidle.Entry[*conn]
	evicted bool
}

func newConn(s *Server, nc net.Conn, onEnd func()) *conn {
	c := &conn{
		server:    s,
		nc:        nc,
		onEnd:     onEnd,
		pipeline:  dfupipeline.New(s.cfg.Pipeline),
		exchanges: map[dfupipeline.Sequence]*Exchange{},
	}
	c.changed.L = &c.mu
	c.place.Element = c
	return c
}

// serve reads and handles the next request while another goroutine reads on, or ends
// the connection if no request follows.
func (c *conn) serve() {
	x, err := c.nextRequest()
	if errors.Is(err, errInputEnded) {
		c.step(dfupipeline.InputEnded{})
	}
	if x != nil && !c.dispatch(x, err != nil) {
		x.release()
		x = nil
	}
	if x == nil {
		c.end()
		return
	}
	go c.serve()
	if err != nil {
		c.server.handler.HandleReadError(x.Ctx, err)
	} else {
		c.server.handler.Handle(x)
	}
	c.respond(x)
}

// end closes the connection once the last response has been written.
func (c *conn) end() {
	c.releaseReader()
	c.discardInput()
	c.mu.Lock()
	for !c.pipeline.Closed() {
		c.changed.Wait()
	}
	c.mu.Unlock()
	_ = c.nc.Close()
	c.onEnd()
}

// nextRequest reads the next request. The exchange is nil if there is none. If it is
// not nil and there is an error, the request could not be read.
func (c *conn) nextRequest() (*Exchange, error) {
	if err := c.await((*dfupipeline.Pipeline).CanRead); err != nil {
		return nil, err
	}
	err := c.awaitFirstByte()
	if errors.Is(err, dfubody.ErrFull) {
		return c.newExchange(), err
	}
	if err != nil {
		return nil, err
	}
	x := c.newExchange()
	err = c.endRead(c.readRequest(x))
	c.buffer.Received()
	x.memory.Received()
	if err != nil {
		x.release()
	}
	if errors.Is(err, errInputEnded) || errors.Is(err, errAtEnd) {
		return nil, err
	}
	x.isHTTP11 = x.Ctx.Request.Header.IsHTTP11()
	return x, err
}

// limitRead bounds the time until more of the present request arrives.
func (c *conn) limitRead(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.wait()
	c.readLimit = time.Now().Add(limit)
	c.resetReadDeadline()
}

// stopWaiting marks that the connection doesn't wait for bytes of the caller.
func (c *conn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = false
	c.server.updatePlace(c, c.mayMakeRoom(), false)
}

// wait marks that the connection waits for bytes of the caller from now on. The caller must
// hold c.mu.
func (c *conn) wait() {
	c.waits = true
	c.server.updatePlace(c, c.mayMakeRoom(), true)
}

// mayMakeRoom reports whether the connection may be closed for another one. The caller must
// hold c.mu.
func (c *conn) mayMakeRoom() bool {
	return c.waits && c.pipeline.Len() == 0 && !c.pipeline.Closed()
}

// endRead ends the reading of a request, of which err is the result, and returns why it
// could not be read.
func (c *conn) endRead(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted, limit := c.interrupted, c.readLimit
	c.inBody = false
	c.reading, c.interrupted, c.readLimit, c.waits = false, false, time.Time{}, false
	c.server.updatePlace(c, false, false)
	c.resetReadDeadline()
	isTimeout := errors.Is(c.readErr, os.ErrDeadlineExceeded)
	switch {
	case c.readErr == nil:
		return err
	case isTimeout && interrupted:
		c.readErr = nil
		return dfubody.ErrFull
	case isTimeout && c.lingerEnd.IsZero() && !time.Now().Before(limit):
		c.readErr = nil
		return ErrTimeout
	default:
		return errInputEnded
	}
}

// interrupt ends the reading of the present request, if there is one, for lack of memory.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.interrupted = true
		c.resetReadDeadline()
	}
}

// awaitFirstByte waits for the first byte of a request. An idle connection holds no
// buffer. The error is dfubody.ErrFull if there is no memory for one.
func (c *conn) awaitFirstByte() error {
	if c.reader != nil {
		if c.reader.Buffered() > 0 {
			c.buffer.Transfer(c.interrupt)
			return nil
		}
		c.releaseReader()
	}
	c.mu.Lock()
	c.idle = true
	c.wait()
	c.checkIdle()
	c.mu.Unlock()
	_, err := io.ReadFull(c.nc, c.first[:])
	c.mu.Lock()
	c.idle, c.waits = false, false
	c.server.updatePlace(c, false, false)
	c.mu.Unlock()
	if err != nil {
		return errInputEnded
	}
	c.buffer = c.server.cfg.Memory.Open(c.interrupt)
	if err := c.buffer.TakePatiently(c.server.cfg.MaxHeader, memoryWait, longestMemoryWait); err != nil {
		c.buffer.Release()
		c.buffer = nil
		return err
	}
	c.hasFirst = true
	c.reader = c.server.readers.Get().(*bufio.Reader)
	c.reader.Reset(c)
	return nil
}

// resetReadDeadline undoes the interruption of a wait. The caller must hold c.mu.
func (c *conn) resetReadDeadline() {
	deadline := c.lingerEnd
	if deadline.IsZero() {
		deadline = c.readLimit
	}
	if c.interrupted {
		deadline = longAgo
	}
	_ = c.nc.SetReadDeadline(deadline)
}

func (c *conn) releaseReader() {
	c.buffer.Release()
	c.buffer = nil
	if c.reader != nil {
		c.reader.Reset(nil)
		c.server.readers.Put(c.reader)
		c.reader = nil
	}
}

// Read reads from the connection, for the reader.
func (c *conn) Read(b []byte) (n int, err error) {
	if c.hasFirst && len(b) > 0 {
		b[0] = c.first[0]
		c.hasFirst = false
		return 1, nil
	}
	if c.inBody {
		c.limitRead(c.server.cfg.Timeouts().Pause)
	}
	n, c.readErr = c.nc.Read(b)
	if c.buffer != nil {
		c.buffer.Progress(n)
	}
	return n, c.readErr
}

func (c *conn) newExchange() *Exchange {
	x := c.server.exchanges.Get().(*Exchange)
	x.Ctx.Init2(c.nc, silentLogger{}, true)
	x.Ctx.Response.Header.SetNoDefaultContentType(true)
	return x
}

// releaseExchange makes an exchange available for reuse after its response was written.
func (c *conn) releaseExchange(x *Exchange) {
	x.Ctx.Request.Reset()
	x.Ctx.Response.Reset()
	x.release()
	c.server.exchanges.Put(&Exchange{Ctx: x.Ctx})
}

// readRequest reads a request into x.
func (c *conn) readRequest(x *Exchange) error {
	request := &x.Ctx.Request
	c.limitRead(c.server.cfg.Timeouts().Header)
	err := request.Header.Read(c.reader)
	c.buffer.Received()
	if err == nil {
		err = checkFields(&request.Header)
	}
	if err != nil {
		return err
	}
	if err := c.takeHeader(x); err != nil {
		return err
	}
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	if err := uri.Parse(request.Header.Host(), request.Header.RequestURI()); err != nil {
		return errors.Wrap(err, "parse URI")
	}
	return c.readBody(x)
}

// checkFields returns an error if a header has a malformed line. A target could read other
// fields in it than fasthttp, or another end of the header or the body.
func checkFields(header *fasthttp.RequestHeader) error {
	lines := header.RawHeaders()
	if len(lines) == 0 {
		return nil
	}
	return dfuheader.CheckFields(lines)
}

// headerCopies is how often a header is in memory until its request is answered: as it arrived,
// with its fields apart, as part of the call and of its offer.
const headerCopies = 4

// takeHeader takes memory for the header of x, which stays in memory until its response was
// written, beyond the buffer that it was read into.
func (c *conn) takeHeader(x *Exchange) error {
	c.stopWaiting()
	x.head = c.server.cfg.Memory.Open(nil)
	size := headerCopies * dfuident.Bytes(len(x.Ctx.Request.Header.RawHeaders()))
	return x.head.TakePatiently(size, memoryWait, longestMemoryWait)
}

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// sendContinue sends an interim response once the responses to all earlier requests
// have been written.
func (c *conn) sendContinue() error {
	if err := c.await(func(p *dfupipeline.Pipeline) bool { return p.Len() == 0 }); err != nil {
		return err
	}
	if _, err := io.WriteString(c.nc, continueResponse); err != nil {
		return errInputEnded
	}
	return nil
}

// await waits until ready is true for the pipeline. Meanwhile it reads ahead into the
// reader's buffer, to detect that the caller disconnects.
func (c *conn) await(ready func(*dfupipeline.Pipeline) bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.pipeline.AtEnd():
			return errAtEnd
		case c.interrupted:
			return dfubody.ErrFull
		case ready(c.pipeline):
			return nil
		case c.reader.Buffered() == c.reader.Size():
			c.changed.Wait()
		default:
			if err := c.readMore(); err != nil {
				return err
			}
		}
	}
}

// readMore reads into the reader's buffer until something arrives or the pipeline
// changes. The caller must hold c.mu, which is released meanwhile.
func (c *conn) readMore() error {
	c.readAhead = true
	c.readLimit = time.Time{}
	c.resetReadDeadline()
	c.mu.Unlock()
	_, err := c.reader.Peek(c.reader.Buffered() + 1)
	c.mu.Lock()
	c.readAhead = false
	c.resetReadDeadline()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errInputEnded
	}
	c.readErr = nil
	return nil
}

// dispatch reports whether a request is to be handled.
// isFinal is set if no request can follow this one.
func (c *conn) dispatch(x *Exchange, isFinal bool) bool {
	request := &x.Ctx.Request
	size := dfuident.Bytes(len(request.Header.RawHeaders()) + len(request.Body()))
	isFinal = isFinal || request.Header.ConnectionClose()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, action := range c.pipeline.Step(dfupipeline.Received{Size: size, Close: isFinal}) {
		if a, ok := action.(dfupipeline.Dispatch); ok {
			x.sequence = a.Sequence
			c.exchanges[a.Sequence] = x
			return true
		}
	}
	return false
}

// respond passes on that the response of x is set.
func (c *conn) respond(x *Exchange) {
	x.readyAt = time.Now()
	size := dfuident.Bytes(len(x.Ctx.Response.Body()))
	if x.memory == nil {
		x.memory = c.server.cfg.Memory.Open(nil)
	}
	x.memory.Force(size)
	c.mu.Lock()
	x.responded = true
	c.mu.Unlock()
	c.step(dfupipeline.Responded{Sequence: x.sequence, Size: size})
	c.dropUnwritten()
}

// dropUnwritten releases the exchanges whose response will not be written because the
// connection is closed.
func (c *conn) dropUnwritten() {
	for _, x := range c.unwritten() {
		x.release()
	}
}

// unwritten removes and returns the exchanges whose response will not be written.
func (c *conn) unwritten() (list []*Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pipeline.Closed() {
		return nil
	}
	for sequence, x := range c.exchanges {
		if x.responded {
			delete(c.exchanges, sequence)
			list = append(list, x)
		}
	}
	return list
}

// step passes an event to the pipeline and executes the resulting actions.
func (c *conn) step(event dfupipeline.Event) {
	for event != nil {
		write, canceled := c.apply(event)
		for _, x := range canceled {
			x.cancel()
		}
		event = nil
		if write != nil {
			event = dfupipeline.Written{Failed: c.write(*write) != nil}
		}
	}
}

// apply passes an event to the pipeline. It returns the response to be written, or
// nil, and the requests to be canceled.
func (c *conn) apply(event dfupipeline.Event) (write *dfupipeline.Write, canceled []*Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, action := range c.pipeline.Step(event) {
		switch a := action.(type) {
		case dfupipeline.Dispatch:
		case dfupipeline.Write:
			write = &a
		case dfupipeline.Cancel:
			canceled = append(canceled, c.exchanges[a.Sequence])
		case dfupipeline.Close:
			c.closeOutput()
		}
	}
	if c.readAhead {
		_ = c.nc.SetReadDeadline(longAgo)
	}
	c.checkIdle()
	c.server.updatePlace(c, c.mayMakeRoom(), false)
	c.changed.Broadcast()
	return write, canceled
}

// checkIdle interrupts the wait for the next request if the connection is idle and is
// to be closed. The caller must hold c.mu.
func (c *conn) checkIdle() {
	if c.closeIdle && c.idle && c.pipeline.Len() == 0 && !c.pipeline.Closed() {
		_ = c.nc.SetReadDeadline(time.Now().Add(idleCloseDelay))
	}
}

// longAgo is a deadline that interrupts a read.
var longAgo = time.Unix(1, 0)

// closeOutput closes the sending side after the last response and bounds how long the
// input is still read. The caller must hold c.mu.
func (c *conn) closeOutput() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.lingerEnd = time.Now().Add(lingerTime)
		c.resetReadDeadline()
		return
	}
	_ = c.nc.Close()
}

// discardInput reads and drops what follows the last request, until the caller closes
// the connection or the time after the last response is over.
func (c *conn) discardInput() {
	c.mu.Lock()
	isEnded := c.pipeline.InputEnded()
	c.mu.Unlock()
	if isEnded {
		return
	}
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.nc})
	c.step(dfupipeline.InputEnded{})
}

// write writes the response to a request and releases its exchange.
func (c *conn) write(a dfupipeline.Write) error {
	c.mu.Lock()
	x := c.exchanges[a.Sequence]
	delete(c.exchanges, a.Sequence)
	c.mu.Unlock()
	held := time.Since(x.readyAt)
	w := c.server.writers.Get().(*bufio.Writer)
	w.Reset(c.nc)
	if size := len(x.Ctx.Response.Body()); size > pieceBytes {
		limitUnsent(c.nc)
		x.memory.Send(func() { _ = c.nc.Close() })
		w.Reset(pieceWriter{c, x.memory})
	}
	err := writeResponse(w, x, a.Close)
	w.Reset(nil)
	c.server.writers.Put(w)
	if err == nil && x.OnWritten != nil {
		x.OnWritten(held)
	}
	c.releaseExchange(x)
	return err
}

// evict closes the connection, which was taken from those that may be closed, and reports
// whether it did. It doesn't if the connection has gone on meanwhile.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayMakeRoom() || c.server.hasPlace(c) {
		return false
	}
	_ = c.nc.Close()
	return true
}

// stop ends the connection after its newest request or, if it has none unanswered,
// after its next one. If closeIdle is set, an idle connection is closed.
func (c *conn) stop(closeIdle bool) {
	c.step(dfupipeline.Stop{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle = c.closeIdle || closeIdle
	c.checkIdle()
}

// abort resets the connection.
func (c *conn) abort() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.nc.Close()
}

// silentLogger discards fasthttp's log lines, which are not JSON.
type silentLogger struct{}

// Printf discards the line.
func (silentLogger) Printf(string, ...any) {}
