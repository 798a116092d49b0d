package dfutarget

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// The headers that a target receives with a request.
const (
	HeaderDeadline    = "Dragonflyusher-Deadline-Ms"
	HeaderRequestID   = "Dragonflyusher-Request-Id"
	HeaderAllowance   = "Dragonflyusher-Retry-Allowance"
	HeaderKey         = "Idempotency-Key"
	HeaderTraceparent = "Traceparent"
	// HeaderRetried in an answer says that an extra attempt was made at this
	// level of the call tree or below.
	HeaderRetried = "Dragonflyusher-Retried"
	// HeaderNotRun in a target's answer with status 503 states that the target
	// did not run the request.
	HeaderNotRun = "Dragonflyusher-Not-Run"
)

// dialTimeout bounds the opening of a connection to the local target.
const dialTimeout = 250 * time.Millisecond

var (
	// ErrNotSent means that the target certainly did not get the request.
	ErrNotSent = errors.New("request did not reach the target")
	// ErrInterrupted means that the target may have run the request, but no
	// whole answer came back.
	ErrInterrupted = errors.New("target gave no whole answer")
)

// Client sends requests to one target.
type Client struct {
	address     dfuident.Address
	answerLimit dfuident.Bytes
	mu          sync.Mutex
	idle        []*conn
	idleLimit   int
}

// conn is one connection to the target.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
}

// New returns a client of the target at address. Answers above answerLimit are
// refused; up to idleLimit connections are kept open.
func New(address dfuident.Address, answerLimit dfuident.Bytes, idleLimit int) *Client {
	return &Client{address: address, answerLimit: answerLimit, idleLimit: idleLimit}
}

// Run sends the request and returns the target's whole answer. The end of ctx
// closes the connection. The error is marked ErrNotSent or ErrInterrupted.
func (c *Client) Run(ctx context.Context, offer *dfumessage.Offer, remaining dfuclock.Duration) (dfumessage.Answer, error) {
	cn, err := c.acquire(ctx, offer.Idempotent)
	if err != nil {
		return dfumessage.Answer{}, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	answer, reusable, err := c.exchange(cn, offer, remaining)
	if !stop() || err != nil || !reusable {
		cn.Close()
	} else {
		c.release(cn)
	}
	return answer, err
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

// acquire returns a connection. A request that must not repeat gets a new one,
// because an idle one may end just as the request is written, which would leave
// open whether the target ran it.
func (c *Client) acquire(ctx context.Context, idempotent bool) (*conn, error) {
	for idempotent {
		cn := c.pop()
		if cn == nil {
			break
		}
		if cn.alive() {
			return cn, nil
		}
		cn.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", string(c.address))
	if err != nil {
		return nil, errors.Wrapf(err, "dial target %s", c.address)
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

func (c *Client) release(cn *conn) {
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

// exchange writes the request and reads the answer. It reports whether the
// connection may carry another request.
func (c *Client) exchange(cn *conn, offer *dfumessage.Offer, remaining dfuclock.Duration) (dfumessage.Answer, bool, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, offer, remaining, string(c.address))
	// A target may answer, and close, before it has read the whole body.
	unsent := req.Write(cn.w)
	if unsent == nil {
		unsent = cn.w.Flush()
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.SetNoDefaultContentType(true)
	if err := c.readAnswer(resp, cn.r, offer.Method); err != nil {
		return dfumessage.Answer{}, false, interrupted(errors.CombineErrors(unsent, err))
	}
	reusable := unsent == nil && !resp.ConnectionClose() && cn.r.Buffered() == 0
	return copyAnswer(resp), reusable, nil
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
	if length == lengthUntilClose {
		return errNoLength
	}
	if err := resp.ReadBody(r, int(c.answerLimit)); err != nil {
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

func fillRequest(req *fasthttp.Request, offer *dfumessage.Offer, remaining dfuclock.Duration, host string) {
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(offer.Method)
	req.SetRequestURI(offer.URI)
	req.Header.SetHost(host)
	for _, h := range offer.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(HeaderDeadline, strconv.FormatInt(int64(remaining), 10))
	req.Header.Set(HeaderRequestID, offer.ID.String())
	req.Header.Set(HeaderAllowance, strconv.Itoa(offer.Allowance))
	if offer.Key != "" {
		req.Header.Set(HeaderKey, string(offer.Key))
	}
	if offer.Traceparent != "" {
		req.Header.Set(HeaderTraceparent, offer.Traceparent)
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
