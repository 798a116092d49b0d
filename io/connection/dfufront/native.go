package dfufront

import (
	"encoding/json"
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

// Native is the dialect of docs/HTTP.md.
type Native struct{}

// ParseCall implements Dialect.
func (Native) ParseCall(ctx *fasthttp.RequestCtx) (Call, error) {
	h := &ctx.Request.Header
	call := Call{
		Service:     dfuident.Service(h.Peek(HeaderService)),
		Caller:      dfuident.Caller(h.Peek(HeaderCaller)),
		Key:         dfuident.Key(h.Peek(dfutarget.HeaderKey)),
		Traceparent: string(h.Peek(dfutarget.HeaderTraceparent)),
		Allowance:   DefaultAllowance,
		Method:      string(ctx.Method()),
		URI:         string(ctx.RequestURI()),
		Headers:     CopyHeaders(h, isForwarded),
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

// CopyHeaders returns the fields that go on to the target: those that forwarded
// lets through and that concern more than one connection.
func CopyHeaders(h *fasthttp.RequestHeader, forwarded func(name string) bool) []dfumessage.Header {
	var headers []dfumessage.Header
	hops := dfutarget.Hops(h.All())
	for name, value := range h.All() {
		if forwarded(string(name)) && !hops.Has(string(name)) {
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

// WriteResult implements Dialect.
func (Native) WriteResult(ctx *fasthttp.RequestCtx, r Result) {
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
