package dfutarget

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/io/connection/dfudial"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// dialTimeout bounds the opening of a connection to the local target.
const dialTimeout = 250 * dfuclock.Millisecond

// asideBody is the size of a request's body from which it is written by a
// goroutine of its own, since a target may answer before it has read it.
const asideBody = 16 << 10

var (
	// ErrNotSent means that the target certainly did not get the request.
	ErrNotSent = errors.New("request did not reach the target")
	// ErrInterrupted means that the target may have run the request, but no
	// whole answer came back.
	ErrInterrupted = errors.New("target gave no whole answer")
)

// Config describes one target and how it is spoken to.
type Config struct {
	Address dfuident.Address
	// Instance is the id of the target's run; empty if it has none.
	Instance dfuident.Instance
	// AnswerLimit is the largest answer that is taken.
	AnswerLimit dfuident.Bytes
	// IdleLimit is how many connections are kept open without a request, and
	// IdleTime for how long.
	IdleLimit int
	IdleTime  dfuclock.Duration
	Dialect   Dialect
}

// Client sends requests to one target.
type Client struct {
	cfg       Config
	mu        sync.Mutex
	idle      []*conn
	idleLimit int
}

// conn is one connection to the target.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// idleUntil is when the target may close the connection while it is idle.
	idleUntil time.Time
}

// Result is what became of a request that a target answered.
type Result struct {
	Answer dfumessage.Answer
	Remark Remark
}

// New returns a client of a target.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, idleLimit: cfg.IdleLimit}
}

// Instance returns the id of the target's run.
func (c *Client) Instance() dfuident.Instance {
	return c.cfg.Instance
}

// Run sends the request and returns the target's whole answer. The end of ctx
// closes the connection. The error is marked ErrNotSent or ErrInterrupted.
func (c *Client) Run(ctx context.Context, offer *dfumessage.Offer, remaining dfuclock.Duration) (Result, error) {
	return c.run(ctx, offer, func(h *fasthttp.RequestHeader) {
		c.cfg.Dialect.Fill(h, offer, c.cfg.Instance, remaining)
	})
}

// run sends a request whose header fill completes.
func (c *Client) run(ctx context.Context, offer *dfumessage.Offer, fill func(*fasthttp.RequestHeader)) (Result, error) {
	cn, err := c.acquire(ctx, offer.Idempotent)
	if err != nil {
		return Result{}, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	result, reusable, err := c.exchange(cn, offer, fill)
	if !stop() || err != nil || !reusable {
		cn.Close()
	} else {
		c.release(cn, result.Remark.IdleTime)
	}
	return result, err
}

// errNoLoad is an answer that tells no load.
var errNoLoad = errors.New("target told no load")

// Ask asks the target for its load at a path, on a connection that is kept for
// requests. The end of ctx ends it.
func (c *Client) Ask(ctx context.Context, path string) (dfugate.TargetLoad, error) {
	offer := &dfumessage.Offer{Method: fasthttp.MethodGet, URI: path, Idempotent: true}
	result, err := c.run(ctx, offer, func(*fasthttp.RequestHeader) {})
	switch {
	case err != nil:
		return dfugate.TargetLoad{}, err
	case result.Remark.Load == nil:
		return dfugate.TargetLoad{}, errNoLoad
	}
	return *result.Remark.Load, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		cn.Close()
	}
	c.idle = nil
	c.idleLimit = 0
}

// acquire returns a connection. Unless the dialect's targets tell how long they
// keep an idle one, a request that must not repeat gets a new one: an idle one
// may end just as the request is written, which would leave open whether the
// target ran it.
func (c *Client) acquire(ctx context.Context, idempotent bool) (*conn, error) {
	for idempotent || c.cfg.Dialect.StatesIdleTime() {
		cn := c.pop()
		if cn == nil {
			break
		}
		if time.Now().Before(cn.idleUntil) && cn.alive() {
			return cn, nil
		}
		cn.Close()
	}
	raw, err := dfudial.New(dialTimeout).DialContext(ctx, "tcp", string(c.cfg.Address))
	if err != nil {
		return nil, errors.Wrapf(err, "dial target %s", c.cfg.Address)
	}
	return &conn{Conn: raw, r: bufio.NewReader(raw), w: bufio.NewWriter(raw)}, nil
}

func (c *Client) pop() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	cn := c.idle[last]
	c.idle = c.idle[:last]
	return cn
}

// release keeps a connection for as long as the target keeps it idle, or for
// the configured time if it doesn't say.
func (c *Client) release(cn *conn, stated dfuclock.Duration) {
	idle := c.cfg.IdleTime
	if stated > 0 {
		idle = min(idle, stated)
	}
	cn.idleUntil = time.Now().Add(idle.Std())
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.idleLimit {
		cn.Close()
		return
	}
	c.idle = append(c.idle, cn)
}

// alive reports whether an idle connection is open and has nothing to read. A
// read deadline can't tell, because Go checks it before it asks the kernel.
func (cn *conn) alive() bool {
	raw, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// strayLimit is how many answers to earlier requests are skipped.
const strayLimit = 4

// exchange writes the request and reads the answer. It reports whether the
// connection may carry another request.
func (c *Client) exchange(cn *conn, offer *dfumessage.Offer, fill func(*fasthttp.RequestHeader)) (Result, bool, error) {
	written := c.write(cn, offer, fill)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.SetNoDefaultContentType(true)
	strays := 0
	remark, err := c.readOwn(resp, cn.r, offer, &strays)
	if err != nil {
		cn.Close()
		return Result{}, false, interrupted(errors.CombineErrors(written.wait(), err))
	}
	reusable := strays == 0 && !resp.ConnectionClose() && cn.r.Buffered() == 0
	select {
	case <-written.done:
		reusable = reusable && written.err == nil
	default:
		// The target answered before it read the whole request. What is left
		// of the request must not be followed by another one.
		reusable = false
		cn.Close()
		<-written.done
	}
	return Result{Answer: copyAnswer(resp), Remark: remark}, reusable, nil
}

// writing is a request on its way to the target. err is set once done is closed.
type writing struct {
	done chan struct{}
	err  error
}

// wait returns what came of the writing.
func (w *writing) wait() error {
	<-w.done
	return w.err
}

// write writes a request, a long one in a goroutine of its own.
func (c *Client) write(cn *conn, offer *dfumessage.Offer, fill func(*fasthttp.RequestHeader)) *writing {
	written := &writing{done: make(chan struct{})}
	send := func() {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		c.fillRequest(req, offer)
		fill(&req.Header)
		written.err = req.Write(cn.w)
		if written.err == nil {
			written.err = cn.w.Flush()
		}
		close(written.done)
	}
	if len(offer.Body) < asideBody {
		send()
	} else {
		go send()
	}
	return written
}

// readOwn reads the answer to the offer. Answers to earlier requests of the
// connection, which a target may send late, are skipped and counted.
func (c *Client) readOwn(resp *fasthttp.Response, r *bufio.Reader, offer *dfumessage.Offer, strays *int) (Remark, error) {
	for range strayLimit {
		if err := c.readAnswer(resp, r, offer.Method); err != nil {
			return Remark{}, err
		}
		remark := c.cfg.Dialect.Read(&resp.Header, offer)
		if !remark.Stray {
			return remark, remark.Spoiled
		}
		*strays++
		resp.Reset()
		resp.Header.SetNoDefaultContentType(true)
	}
	return Remark{}, errStray
}

// fasthttp's content length of an answer in chunks, and of one that ends with
// its connection, whose truncation can't be told from its end.
const (
	lengthInChunks   = -1
	lengthUntilClose = -2
)

// interimLimit is the number of interim answers (103 and others) that may
// precede the answer.
const interimLimit = 16

var (
	errInterim  = errors.New("target gave no final answer")
	errNoLength = errors.New("answer has neither a length nor chunks")
	errStray    = errors.New("target sent only answers to other requests")
)

// readAnswer reads the final answer. fasthttp's own reading of a whole answer
// hides whether the answer stated its length.
func (c *Client) readAnswer(resp *fasthttp.Response, r *bufio.Reader, method string) error {
	if err := readFinalHeader(&resp.Header, r); err != nil {
		return err
	}
	status, length := resp.StatusCode(), resp.Header.ContentLength()
	if method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if length == lengthUntilClose && !c.cfg.Dialect.EndsWithConnection() {
		return errNoLength
	}
	if err := resp.ReadBody(r, int(c.cfg.AnswerLimit)); err != nil {
		return err
	}
	if length == lengthInChunks {
		return resp.Header.ReadTrailer(r)
	}
	return nil
}

func readFinalHeader(h *fasthttp.ResponseHeader, r *bufio.Reader) error {
	for range interimLimit {
		if err := h.Read(r); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		if h.StatusCode() == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	return errInterim
}

func interrupted(err error) error {
	return errors.Mark(errors.Wrap(err, "exchange with target"), ErrInterrupted)
}

func (c *Client) fillRequest(req *fasthttp.Request, offer *dfumessage.Offer) {
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(offer.Method)
	req.SetRequestURI(offer.URI)
	req.Header.SetHost(cmp.Or(offer.Host, string(c.cfg.Address)))
	for _, h := range offer.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.SetBodyRaw(offer.Body)
}

// copyAnswer copies what outlives the pooled response.
func copyAnswer(resp *fasthttp.Response) dfumessage.Answer {
	answer := dfumessage.Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	hops := Hops(resp.Header.All())
	for name, value := range resp.Header.All() {
		if isForwarded(string(name)) && !hops.Has(string(name)) {
			answer.Headers = append(answer.Headers, dfumessage.Header{Name: string(name), Value: string(value)})
		}
	}
	return answer
}

// isForwarded reports whether a header goes back as it is; fasthttp writes the
// others itself.
func isForwarded(name string) bool {
	return name != fasthttp.HeaderContentLength && name != fasthttp.HeaderDate
}
