package dfufront

import (
	"encoding/json"
	"net"
	"strconv"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// The headers of a caller's request and of its answer. The deadline, the key,
// the retry allowance and the trace are the same as towards a target, so that
// a target can pass them on in its own calls.
const (
	HeaderService  = "Dragonflyusher-Service"
	HeaderCaller   = "Dragonflyusher-Caller"
	HeaderOutcome  = "Dragonflyusher-Outcome"
	HeaderReason   = "Dragonflyusher-Reason"
	HeaderTarget   = "Dragonflyusher-Target"
	HeaderAttempts = "Dragonflyusher-Attempts"
)

// DefaultAllowance is the number of retries of a request whose caller states
// none: it is the topmost level of the call tree.
const DefaultAllowance = 2

// adminPrefix starts the paths that the node itself answers.
const adminPrefix = "/dragonflyusher/"

// Call is one request of a caller, copied out of the connection's buffers.
type Call struct {
	Service     dfuident.Service
	Caller      dfuident.Caller
	Key         dfuident.Key
	Remaining   dfuclock.Duration
	Allowance   int
	Traceparent string
	Method      string
	URI         string
	Headers     []dfumessage.Header
	Body        []byte
}

// Result is what the caller is told.
type Result struct {
	Outcome  dfuoutcome.Outcome
	Reason   dfuoutcome.Reason
	Detail   string
	ID       dfuident.RequestID
	Target   dfuident.NodeID
	Attempts int
	Answer   dfumessage.Answer
}

// Entry decides about calls.
type Entry interface {
	// Serve blocks until the call has its outcome. It may watch for the
	// caller's leave: gone is called once if the caller closes the connection
	// before stop.
	Serve(call Call, watch func(gone func()) (stop func())) Result
}

// Front serves callers on one listener.
type Front struct {
	entry  Entry
	admin  fasthttp.RequestHandler
	server *fasthttp.Server
}

// New returns a front that gives calls to entry and the paths below
// /dragonflyusher/ to admin. Bodies above bodyLimit are refused.
func New(entry Entry, admin fasthttp.RequestHandler, bodyLimit dfuident.Bytes) *Front {
	f := &Front{entry: entry, admin: admin}
	f.server = &fasthttp.Server{
		Handler:               f.handle,
		ErrorHandler:          refuseMalformed,
		MaxRequestBodySize:    int(bodyLimit),
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                silentLogger{},
		CloseOnShutdown:       true,
	}
	return f
}

// Run serves until Close.
func (f *Front) Run(l net.Listener) error {
	return errors.Wrap(f.server.Serve(listener{l}), "serve callers")
}

// Close stops accepting and waits for the requests in progress.
func (f *Front) Close() error {
	return errors.Wrap(f.server.Shutdown(), "stop serving callers")
}

func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	if len(ctx.Path()) >= len(adminPrefix) && string(ctx.Path()[:len(adminPrefix)]) == adminPrefix {
		f.admin(ctx)
		return
	}
	call, err := parseCall(ctx)
	if err != nil {
		writeResult(ctx, Result{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonBadRequest, Detail: err.Error()})
		return
	}
	writeResult(ctx, f.serve(ctx, call))
}

func (f *Front) serve(ctx *fasthttp.RequestCtx, call Call) Result {
	if watched, ok := ctx.Conn().(*conn); ok {
		return f.entry.Serve(call, watched.watch)
	}
	return f.entry.Serve(call, func(func()) func() { return func() {} })
}

// parseCall copies the call out of ctx, whose buffers are reused.
func parseCall(ctx *fasthttp.RequestCtx) (Call, error) {
	h := &ctx.Request.Header
	call := Call{
		Service:     dfuident.Service(h.Peek(HeaderService)),
		Caller:      dfuident.Caller(h.Peek(HeaderCaller)),
		Key:         dfuident.Key(h.Peek(dfutarget.HeaderKey)),
		Traceparent: string(h.Peek(dfutarget.HeaderTraceparent)),
		Allowance:   DefaultAllowance,
		Method:      string(ctx.Method()),
		URI:         string(ctx.RequestURI()),
		Headers:     copyHeaders(h),
		Body:        append([]byte(nil), ctx.Request.Body()...),
	}
	if err := checkSingle(h); err != nil {
		return Call{}, err
	}
	if call.Service == "" {
		return Call{}, errors.Newf("header %s is missing", HeaderService)
	}
	deadline, err := parseNumber(h, dfutarget.HeaderDeadline)
	if err != nil {
		return Call{}, err
	}
	if deadline <= 0 {
		return Call{}, errors.Newf("header %s must be a positive number of milliseconds", dfutarget.HeaderDeadline)
	}
	call.Remaining = dfuclock.Duration(deadline)
	if len(h.Peek(dfutarget.HeaderAllowance)) > 0 {
		allowance, err := parseNumber(h, dfutarget.HeaderAllowance)
		if err != nil {
			return Call{}, err
		}
		call.Allowance = int(min(max(allowance, 0), DefaultAllowance))
	}
	return call, nil
}

// checkSingle refuses a request with two values of a header that decides about
// it: two readers could take one each.
func checkSingle(h *fasthttp.RequestHeader) error {
	for _, name := range []string{HeaderService, HeaderCaller, dfutarget.HeaderKey, dfutarget.HeaderDeadline, dfutarget.HeaderAllowance} {
		if len(h.PeekAll(name)) > 1 {
			return errors.Newf("header %s is given more than once", name)
		}
	}
	return nil
}

func parseNumber(h *fasthttp.RequestHeader, name string) (int64, error) {
	text := string(h.Peek(name))
	if text == "" {
		return 0, errors.Newf("header %s is missing", name)
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.Newf("header %s is %q, must be a whole number", name, text)
	}
	return value, nil
}

// copyHeaders returns the fields that go on to the target.
func copyHeaders(h *fasthttp.RequestHeader) []dfumessage.Header {
	var headers []dfumessage.Header
	hops := dfutarget.Hops(h.All())
	for name, value := range h.All() {
		if isForwarded(string(name)) && !hops.Has(string(name)) {
			headers = append(headers, dfumessage.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}

// isForwarded reports whether a field goes on to the target as it is; the node
// writes the others itself.
func isForwarded(name string) bool {
	switch name {
	case HeaderService, dfutarget.HeaderDeadline, dfutarget.HeaderKey, dfutarget.HeaderTraceparent,
		dfutarget.HeaderAllowance, dfutarget.HeaderRequestID,
		fasthttp.HeaderContentLength, fasthttp.HeaderHost, fasthttp.HeaderExpect:
		return false
	default:
		return true
	}
}

// status maps the reason of a request that was not answered to its HTTP
// status, unless the outcome's own status fits.
func status(r Result) int {
	switch r.Reason {
	case dfuoutcome.ReasonBadRequest, dfuoutcome.ReasonKeyMissing, dfuoutcome.ReasonKeyFromFuture:
		return fasthttp.StatusBadRequest
	case dfuoutcome.ReasonBodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case dfuoutcome.ReasonUnknownService:
		return fasthttp.StatusNotFound
	case dfuoutcome.ReasonAlreadyRun, dfuoutcome.ReasonKeyRunning:
		return fasthttp.StatusConflict
	case dfuoutcome.ReasonRateLimited:
		return fasthttp.StatusTooManyRequests
	default:
	}
	if r.Outcome == dfuoutcome.Unknown {
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusServiceUnavailable
}

func writeResult(ctx *fasthttp.RequestCtx, r Result) {
	if r.Outcome == dfuoutcome.Answered {
		ctx.SetStatusCode(r.Answer.Status)
		for _, h := range r.Answer.Headers {
			if !isOwn(h.Name) {
				ctx.Response.Header.Add(h.Name, h.Value)
			}
		}
		ctx.Response.SetBodyRaw(r.Answer.Body)
	} else {
		writeRefusal(ctx, r)
	}
	h := &ctx.Response.Header
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderAttempts, strconv.Itoa(r.Attempts))
	if r.Attempts > 1 {
		h.Set(dfutarget.HeaderRetried, "1")
	}
	if r.Reason != dfuoutcome.ReasonNone {
		h.Set(HeaderReason, string(r.Reason))
	}
	if r.Target != "" {
		h.Set(HeaderTarget, string(r.Target))
	}
	if r.ID.Sequence != 0 {
		h.Set(dfutarget.HeaderRequestID, r.ID.String())
	}
}

// isOwn reports whether the node alone states a header of the answer: a target
// that passes on the answer to a call of its own may have it too.
func isOwn(name string) bool {
	switch name {
	case HeaderOutcome, HeaderReason, HeaderTarget, HeaderAttempts, dfutarget.HeaderRequestID:
		return true
	default:
		return false
	}
}

func writeRefusal(ctx *fasthttp.RequestCtx, r Result) {
	ctx.SetStatusCode(status(r))
	ctx.SetContentType("application/json")
	body, err := json.Marshal(struct {
		Outcome dfuoutcome.Outcome `json:"outcome"`
		Reason  dfuoutcome.Reason  `json:"reason"`
		Detail  string             `json:"detail,omitempty"`
	}{r.Outcome, r.Reason, r.Detail})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(append(body, '\n'))
}

// refuseMalformed answers a request that could not be read as HTTP.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	reason := dfuoutcome.ReasonBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		reason = dfuoutcome.ReasonBodyTooLarge
	}
	writeResult(ctx, Result{Outcome: dfuoutcome.NotRun, Reason: reason, Detail: err.Error()})
}

// silentLogger drops fasthttp's own lines, which are not JSON; the outcome of
// each request is counted and logged by the node.
type silentLogger struct{}

// Printf drops the line.
func (silentLogger) Printf(string, ...any) {}
