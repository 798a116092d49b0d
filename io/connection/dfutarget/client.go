package dfutarget

import (
	"bufio"
	"cmp"
	"context"
	"slices"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/io/connection/dfubody"
	"dragonflyusher/io/connection/dfudial"
	"dragonflyusher/io/connection/dfuheader"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// dialTimeout is the time limit for connecting to the local target.
const dialTimeout = 250 * dfuclock.Millisecond

// asyncWriteBytes is the body size from which a request is written in a separate
// goroutine, because the target may respond before it has read the whole body.
const asyncWriteBytes = 16 << 10

var (
	// ErrNotSent means that the target did not receive the request.
	ErrNotSent = errors.New("request did not reach the target")
	// ErrInterrupted means that the target may have run the request, but no
	// complete response was received.
	ErrInterrupted = errors.New("target did not send a complete response")
)

// Config describes one target and the connections to it.
type Config struct {
	Address dfuident.Address
	// Instance identifies one run of the target's process; empty if the target
	// has no such id.
	Instance dfuident.Instance
	// AnswerLimit is the maximum body size of a response.
	AnswerLimit dfuident.Bytes
	// LargeAnswers limits the memory of large responses; nil for no limit.
	LargeAnswers *dfubody.Memory
	// IdleLimit is the maximum number of idle connections, and IdleTime is how
	// long an idle connection may be reused.
	IdleLimit int
	IdleTime  dfuclock.Duration
	Dialect   Dialect
	// OnLeaving, unless nil, is called before a response is returned in which the
	// instance states that it is leaving.
	OnLeaving func()
}

// Client sends requests to one target.
type Client struct {
	cfg Config
	// requests holds the connections of requests, and queries those of load queries and
	// health checks, whose answers bear no id.
	requests, queries connPool
}

// Result is a target's response to a request.
type Result struct {
	Answer           dfumessage.Answer
	ResponseMetadata ResponseMetadata
	Exchange         Exchange
}

// Exchange describes how the response to a request was found on its connection.
type Exchange struct {
	// EarlierAnswers is the number of answers to earlier requests on the connection.
	EarlierAnswers int
	// Skipped is the number of responses to other requests that were read before the
	// response.
	Skipped int
}

// New returns a client for the target that cfg describes.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, requests: connPool{needsID: true, limit: cfg.IdleLimit}, queries: connPool{limit: maxIdleQueryConns}}
}

// Instance returns the id of the run of the target's process.
func (c *Client) Instance() dfuident.Instance {
	return c.cfg.Instance
}

// Run sends the request and returns the target's complete response. If ctx is
// done first, Run closes the connection. Errors are marked ErrNotSent or
// ErrInterrupted.
func (c *Client) Run(ctx context.Context, offer *dfumessage.Offer, remaining dfuclock.Duration) (Result, error) {
	return c.run(ctx, &c.requests, offer, func(h *fasthttp.RequestHeader) {
		c.cfg.Dialect.SetHeaders(h, offer, c.cfg.Instance, remaining)
	})
}

// run sends a request after fill has completed its header, over a connection of the pool
// or a new one.
func (c *Client) run(ctx context.Context, pool *connPool, offer *dfumessage.Offer, fill func(*fasthttp.RequestHeader)) (Result, error) {
	id := hashAnswerID(c.cfg.Dialect.AnswerID(offer))
	cn, err := c.acquire(ctx, pool, id, offer.Idempotent)
	if err != nil {
		return Result{}, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	result, reusable, err := c.exchange(cn, offer, fill)
	if !stop() || err != nil || !reusable || !pool.recordAnswer(cn, id, result.ResponseMetadata) {
		cn.Close()
	} else {
		pool.put(cn, c.idleTime(result.ResponseMetadata))
	}
	return result, err
}

// errNoLoad means that a response does not report the target's load.
var errNoLoad = errors.New("response does not report the target's load")

// FetchLoad requests the target's load from a path. If ctx is done first, FetchLoad closes
// the connection.
func (c *Client) FetchLoad(ctx context.Context, path string) (dfugate.TargetLoad, error) {
	offer := &dfumessage.Offer{Method: fasthttp.MethodGet, URI: path, Idempotent: true}
	result, err := c.run(ctx, &c.queries, offer, func(*fasthttp.RequestHeader) {})
	switch {
	case err != nil:
		return dfugate.TargetLoad{}, err
	case result.ResponseMetadata.Load == nil:
		return dfugate.TargetLoad{}, errNoLoad
	}
	load := *result.ResponseMetadata.Load
	load.Limit = result.ResponseMetadata.Limit
	load.ColdKnown, load.ColdFor = true, result.ResponseMetadata.ColdFor
	return load, nil
}

// Health is what a target reports of itself in its answer to a health check.
type Health struct {
	// InService is set if the answer is a success and comes from the configured
	// instance.
	InService bool
	// Limit is the rate limit that the target advertises, or zero.
	Limit dfugate.Rate
}

// CheckHealth returns what the target reports of itself at a path. If ctx is done first,
// CheckHealth closes the connection and returns an error.
func (c *Client) CheckHealth(ctx context.Context, path string) (Health, error) {
	offer := &dfumessage.Offer{Method: fasthttp.MethodGet, URI: path, Idempotent: true}
	result, err := c.run(ctx, &c.queries, offer, func(*fasthttp.RequestHeader) {})
	if err != nil {
		return Health{}, err
	}
	return Health{
		InService: result.Answer.Status == fasthttp.StatusOK && c.isFromInstance(result.ResponseMetadata),
		Limit:     result.ResponseMetadata.Limit,
	}, nil
}

// isFromInstance reports whether a response comes from the configured instance, as far as
// it states its instance.
func (c *Client) isFromInstance(metadata ResponseMetadata) bool {
	return !metadata.Replaced && cmp.Or(metadata.Instance, c.cfg.Instance) == c.cfg.Instance
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.requests.close()
	c.queries.close()
}

// acquire returns an idle or a new connection. A non-idempotent request gets a
// new one unless the targets of the dialect state their idle timeout: the target
// could close an idle connection while the request is being written, and it would
// be unknown whether the target ran the request.
func (c *Client) acquire(ctx context.Context, pool *connPool, id answerIDHash, idempotent bool) (*conn, error) {
	for idempotent || c.cfg.Dialect.StatesIdleTime() {
		cn := pool.pop(id)
		if cn == nil {
			break
		}
		if time.Now().Before(cn.idleUntil) && dfudial.IsQuiet(cn.Conn) {
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

// idleTime returns how long a connection may be reused after a response: the configured
// idle time, or the target's if that is stated and shorter.
func (c *Client) idleTime(metadata ResponseMetadata) dfuclock.Duration {
	return min(c.cfg.IdleTime, cmp.Or(metadata.IdleTime, c.cfg.IdleTime))
}

// maxResponseReads is the maximum number of responses that one exchange reads in
// search of the one that belongs to its request.
const maxResponseReads = 4

// exchange writes the request and reads the response. The second result reports
// whether the connection can be reused.
func (c *Client) exchange(cn *conn, offer *dfumessage.Offer, fill func(*fasthttp.RequestHeader)) (Result, bool, error) {
	pending := c.write(cn, offer, fill)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.SetNoDefaultContentType(true)
	exchange := Exchange{EarlierAnswers: cn.answers}
	body := bodyReader{limit: c.cfg.AnswerLimit, memory: c.cfg.LargeAnswers}
	defer body.release()
	metadata, err := c.readMatchingResponse(resp, &body, cn.r, offer, &exchange.Skipped)
	if err == nil && body.untilClose {
		err = pending.checkWritten(cn)
	}
	cn.answers++
	if err != nil {
		cn.Close()
		return Result{Exchange: exchange}, false, markInterrupted(errors.CombineErrors(pending.wait(), err))
	}
	if c.cfg.OnLeaving != nil && metadata.Leaving && c.isFromInstance(metadata) {
		c.cfg.OnLeaving()
	}
	reusable := exchange.Skipped == 0 && !resp.ConnectionClose() && cn.r.Buffered() == 0
	select {
	case <-pending.done:
		reusable = reusable && pending.err == nil
	default:
		// The target responded before the whole request was written. The
		// connection can't be reused in the middle of a request.
		reusable = false
		cn.Close()
		<-pending.done
	}
	return Result{Answer: copyResponse(resp, body.body), ResponseMetadata: metadata, Exchange: exchange}, reusable, nil
}

// pendingWrite is a request that is being written. err is set before done is
// closed.
type pendingWrite struct {
	done chan struct{}
	err  error
}

// writeEndPoll is the interval at which the end of a write is awaited that may have written
// everything.
const writeEndPoll = time.Millisecond

var errRequestNotWritten = errors.New("response ended with its connection before the request was written")

// checkWritten returns an error unless the request was written completely and has reached the
// target's host. A response that ends with its connection is whole only then: a failed write
// takes the error of the socket, so that a reset appears as an orderly end to the read after
// it.
func (w *pendingWrite) checkWritten(cn *conn) error {
	for {
		isWritten := false
		select {
		case <-w.done:
			isWritten = true
		default:
		}
		switch {
		case isWritten && w.err != nil:
			return errors.Wrap(w.err, errRequestNotWritten.Error())
		case dfudial.HasUnacknowledged(cn.Conn):
			return errRequestNotWritten
		case isWritten:
			return nil
		}
		time.Sleep(writeEndPoll)
	}
}

// wait blocks until the write ends and returns its error.
func (w *pendingWrite) wait() error {
	<-w.done
	return w.err
}

// write writes a request. If its body has asyncWriteBytes or more, write returns
// at once and a separate goroutine writes the request.
func (c *Client) write(cn *conn, offer *dfumessage.Offer, fill func(*fasthttp.RequestHeader)) *pendingWrite {
	pending := &pendingWrite{done: make(chan struct{})}
	send := func() {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		c.fillRequest(req, offer)
		fill(&req.Header)
		pending.err = req.Write(cn.w)
		if pending.err == nil {
			pending.err = cn.w.Flush()
		}
		close(pending.done)
	}
	if len(offer.Body) < asyncWriteBytes {
		send()
	} else {
		go send()
	}
	return pending
}

// readMatchingResponse reads the response to the offer. It skips and counts late
// responses to earlier requests on the connection.
func (c *Client) readMatchingResponse(resp *fasthttp.Response, body *bodyReader, r *bufio.Reader, offer *dfumessage.Offer, skipped *int) (ResponseMetadata, error) {
	for range maxResponseReads {
		body.body, body.untilClose = body.body[:0], false
		if err := c.readResponse(resp, body, r, offer.Method); err != nil {
			return ResponseMetadata{}, err
		}
		metadata := c.cfg.Dialect.Read(&resp.Header, offer)
		if !metadata.ForOtherRequest {
			return metadata, metadata.Invalid
		}
		*skipped++
		resp.Reset()
		resp.Header.SetNoDefaultContentType(true)
	}
	return ResponseMetadata{}, errNoMatchingResponse
}

// The values that fasthttp returns as the content length of a chunked response,
// and of a response that ends when the connection is closed. The latter can't be
// distinguished from a truncated response.
const (
	lengthChunked    = -1
	lengthUntilClose = -2
)

var (
	errNoLength           = errors.New("response has no Content-Length and is not chunked")
	errNoMatchingResponse = errors.New("target sent only responses to other requests")
)

// readResponse reads the final response. It reads header and body separately,
// because fasthttp's Response.Read hides whether the response stated its length, and
// allocates the length that is announced.
func (c *Client) readResponse(resp *fasthttp.Response, body *bodyReader, r *bufio.Reader, method string) error {
	if err := readFinalHeader(&resp.Header, r); err != nil {
		return err
	}
	status, length := resp.StatusCode(), resp.Header.ContentLength()
	if method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	switch {
	case length == lengthUntilClose && !c.cfg.Dialect.AllowsUntilClose():
		return errNoLength
	case length == lengthUntilClose:
		body.untilClose = true
		return body.read(r)
	case length == lengthChunked:
		if err := body.readChunks(r); err != nil {
			return err
		}
		if err := dfuheader.PeekTrailers(r); err != nil {
			return err
		}
		// Trailers are no part of the header, which states whether the request ran.
		var trailers fasthttp.ResponseHeader
		return trailers.ReadTrailer(r)
	default:
		return body.readLength(r, length)
	}
}

func markInterrupted(err error) error {
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

// copyResponse returns an answer with the body and with the status and the headers of
// the pooled response.
func copyResponse(resp *fasthttp.Response, body []byte) dfumessage.Answer {
	answer := dfumessage.Answer{Status: resp.StatusCode(), Body: slices.Clip(body)}
	options := ConnectionOptions(resp.Header.All())
	for name, value := range resp.Header.All() {
		if isForwarded(string(name)) && !options.IsHopByHop(string(name)) {
			answer.Headers = append(answer.Headers, dfumessage.Header{Name: string(name), Value: string(value)})
		}
	}
	return answer
}

// isForwarded reports whether a response header is passed on unchanged.
// Content-Length is dropped because the server for callers computes it again. Date is
// dropped and not replaced.
func isForwarded(name string) bool {
	return name != fasthttp.HeaderContentLength && name != fasthttp.HeaderDate
}
