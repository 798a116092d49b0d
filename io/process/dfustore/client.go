package dfustore

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// defaultTimeout bounds a call whose configuration names no time.
	defaultTimeout = 2 * dfuclock.Second
	// maxIdleTime is shorter than any server keeps an idle connection, so that
	// a write seldom goes out on a connection that was just closed.
	maxIdleTime = 5 * dfuclock.Second
	// maxAnswerBytes bounds the answer to a list or a watch.
	maxAnswerBytes = 64 << 20
	// RegionHeader tells the store the region of its client.
	RegionHeader = "X-Region"
)

// Config tells a client where the store is.
type Config struct {
	Address dfuident.Address
	// Timeout bounds each call. A watch may take its waiting time besides.
	Timeout dfuclock.Duration
	// Region is where the client runs; it may be empty.
	Region dfuident.Region
}

// Client calls the store over HTTP. It may be used by several goroutines.
type Client struct {
	cfg  Config
	http *fasthttp.HostClient
}

// New returns a client. It opens connections as calls need them.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{
		cfg: cfg,
		http: &fasthttp.HostClient{
			Addr:                          string(cfg.Address),
			Dial:                          dialer(cfg.Timeout),
			MaxIdleConnDuration:           maxIdleTime.Std(),
			MaxResponseBodySize:           maxAnswerBytes,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    neverRetry,
			DisablePathNormalizing:        true,
			NoDefaultUserAgentHeader:      true,
			DisableHeaderNamesNormalizing: true,
		},
	}
}

// dialer returns a dial function whose errors tell that nothing was sent.
func dialer(timeout dfuclock.Duration) fasthttp.DialFunc {
	d := net.Dialer{Timeout: timeout.Std()}
	return func(address string) (net.Conn, error) {
		conn, err := d.Dial("tcp", address)
		return conn, errors.Mark(err, ErrUnavailable)
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get returns the record of a key. A key that was never written has revision
// zero.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var answer struct {
		Record Record `json:"record"`
	}
	err := c.read(ctx, "/v1/get", url.Values{"key": {key}}, 0, &answer)
	return answer.Record, err
}

// List returns the records whose key has the prefix, remembered deletes
// included, ordered by key, and the revision of the store that it shows.
func (c *Client) List(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error) {
	var answer struct {
		Records  []Record          `json:"records"`
		Revision dfuident.Revision `json:"revision"`
	}
	err := c.read(ctx, "/v1/list", url.Values{"prefix": {prefix}}, 0, &answer)
	return answer.Records, answer.Revision, err
}

// Watch waits until a record whose key has the prefix has a revision above
// after, for wait at the longest. It returns all such records, remembered
// deletes included, ordered by revision, and the revision to watch from next.
// Both are returned without records when the time passes.
func (c *Client) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]Record, dfuident.Revision, error) {
	var answer struct {
		Records   []Record          `json:"records"`
		Revision  dfuident.Revision `json:"revision"`
		Compacted bool              `json:"compacted"`
	}
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait_ms": {strconv.FormatInt(int64(wait), 10)},
	}
	if err := c.read(ctx, "/v1/watch", query, wait, &answer); err != nil {
		return nil, after, err
	}
	if answer.Compacted {
		return nil, after, errors.WithStack(ErrCompacted)
	}
	return answer.Records, answer.Revision, nil
}

// CompareAndSwap writes a key if its revision is the expected one and returns
// the new revision. An expected revision of zero means that the key must not
// exist. With a lease, the key is deleted when the lease lapses.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect dfuident.Revision, value []byte, lease LeaseID) (dfuident.Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	return c.write(ctx, "/v1/cas", struct {
		Key    string            `json:"key"`
		Expect dfuident.Revision `json:"expect"`
		Value  []byte            `json:"value"`
		Lease  LeaseID           `json:"lease,omitempty"`
	}{key, expect, value, lease})
}

// Delete removes a key if its revision is the expected one and returns the
// revision of the delete.
func (c *Client) Delete(ctx context.Context, key string, expect dfuident.Revision) (dfuident.Revision, error) {
	return c.write(ctx, "/v1/delete", struct {
		Key    string            `json:"key"`
		Expect dfuident.Revision `json:"expect"`
	}{key, expect})
}

// write sends a conditional write and returns the revision it made.
func (c *Client) write(ctx context.Context, path string, body any) (dfuident.Revision, error) {
	var answer struct {
		Revision dfuident.Revision `json:"revision"`
	}
	err := c.post(ctx, path, body, &answer)
	return answer.Revision, err
}

// GrantLease opens a lease that lapses when it is not kept alive for ttl.
func (c *Client) GrantLease(ctx context.Context, ttl dfuclock.Duration) (LeaseID, error) {
	var answer struct {
		Lease LeaseID `json:"lease"`
	}
	err := c.post(ctx, "/v1/lease/grant", struct {
		TTL dfuclock.Duration `json:"ttl_ms"`
	}{ttl}, &answer)
	return answer.Lease, err
}

// KeepAlive starts the lease's time anew.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.useLease(ctx, "/v1/lease/keepalive", lease)
}

// Revoke ends the lease at once.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.useLease(ctx, "/v1/lease/revoke", lease)
}

func (c *Client) useLease(ctx context.Context, path string, lease LeaseID) error {
	var answer struct{}
	return c.post(ctx, path, struct {
		Lease LeaseID `json:"lease"`
	}{lease}, &answer)
}

// read sends a call without effect, so whatever fails, nothing was applied.
func (c *Client) read(ctx context.Context, path string, query url.Values, wait dfuclock.Duration, answer any) error {
	call := call{method: fasthttp.MethodGet, uri: path + "?" + query.Encode(), wait: wait}
	err := c.do(ctx, call, answer)
	if errors.Is(err, ErrUncertain) {
		return errors.Mark(errors.Newf("%s: %s", path, err.Error()), ErrUnavailable)
	}
	return err
}

func (c *Client) post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Mark(errors.Wrap(err, path), ErrUnavailable)
	}
	return c.do(ctx, call{method: fasthttp.MethodPost, uri: path, body: data}, answer)
}

// call is one request to the store.
type call struct {
	method string
	uri    string
	body   []byte
	wait   dfuclock.Duration
}

// reply is the outcome of one exchange with the store.
type reply struct {
	status int
	body   []byte
	err    error
}

// do sends a call and decodes its answer. When ctx ends first it returns at
// once; the exchange then ends by its own deadline, with its own buffers.
func (c *Client) do(ctx context.Context, call call, answer any) error {
	if err := ctx.Err(); err != nil {
		return errors.Mark(errors.Wrap(err, "not sent"), ErrUnavailable)
	}
	deadline := time.Now().Add((c.cfg.Timeout + call.wait).Std())
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan reply, 1)
	go func() { done <- c.exchange(call, deadline) }()
	select {
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "waiting for the store"), ErrUncertain)
	case r := <-done:
		return r.decode(answer)
	}
}

// exchange sends a request and copies the reply, which does not outlive it.
func (c *Client) exchange(call call, deadline time.Time) reply {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.DisableNormalizing()
	request.Header.SetMethod(call.method)
	request.SetRequestURI("http://" + string(c.cfg.Address) + call.uri)
	request.SetBody(call.body)
	if c.cfg.Region != "" {
		request.Header.Set(RegionHeader, string(c.cfg.Region))
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return reply{err: err}
	}
	return reply{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
}

// decode turns a reply into the answer or one of the package's errors.
func (r reply) decode(answer any) error {
	switch {
	case errors.Is(r.err, ErrUnavailable):
		return r.err
	case errors.Is(r.err, fasthttp.ErrNoFreeConns):
		return errors.Mark(r.err, ErrUnavailable)
	case r.err != nil:
		return errors.Mark(r.err, ErrUncertain)
	}
	switch r.status {
	case fasthttp.StatusOK:
		err := json.Unmarshal(r.body, answer)
		return errors.Mark(errors.Wrap(err, "decode the answer of the store"), ErrUncertain)
	case fasthttp.StatusConflict:
		return r.conflict()
	case fasthttp.StatusNotFound:
		return errors.WithStack(ErrNoLease)
	case fasthttp.StatusRequestEntityTooLarge:
		return errors.WithStack(ErrTooLarge)
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusBadRequest:
		return errors.Wrapf(ErrUnavailable, "status %d: %s", r.status, r.body)
	default:
		return errors.Wrapf(ErrUncertain, "status %d: %s", r.status, r.body)
	}
}

func (r reply) conflict() error {
	var answer struct {
		Record Record `json:"record"`
	}
	if err := json.Unmarshal(r.body, &answer); err != nil {
		return errors.Mark(errors.Wrap(err, "decode a conflict"), ErrConflict)
	}
	return errors.WithStack(&ConflictError{Current: answer.Record})
}
