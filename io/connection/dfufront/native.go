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

// The headers of callers' requests and of the responses to them. The headers of
// the deadline, the key, the retry allowance and the trace are the same as in
// requests to targets, so that a target can copy them into its own calls.
const (
	HeaderService  = "Dragonflyusher-Service"
	HeaderCaller   = "Dragonflyusher-Caller"
	HeaderOutcome  = "Dragonflyusher-Outcome"
	HeaderReason   = "Dragonflyusher-Reason"
	HeaderTarget   = "Dragonflyusher-Target"
	HeaderAttempts = "Dragonflyusher-Attempts"
)

// MaxRetryAllowance is the maximum number of retries of a request, and the number
// that applies to a request without dfutarget.HeaderAllowance, which is at the top
// level of the call tree.
const MaxRetryAllowance = 2

// Native is the dialect that docs/HTTP.md specifies.
type Native struct{}

// ParseCall implements Dialect.
func (Native) ParseCall(ctx *fasthttp.RequestCtx) (Call, error) {
	h := &ctx.Request.Header
	call := Call{
		Service:     dfuident.Service(h.Peek(HeaderService)),
		Caller:      dfuident.Caller(h.Peek(HeaderCaller)),
		Key:         dfuident.Key(h.Peek(dfutarget.HeaderKey)),
		Traceparent: string(h.Peek(dfutarget.HeaderTraceparent)),
		Allowance:   MaxRetryAllowance,
		Method:      string(ctx.Method()),
		URI:         string(ctx.RequestURI()),
		Headers:     CopyHeaders(h, isForwarded),
		Body:        ctx.Request.Body(),
	}
	if err := rejectRepeatedHeaders(h); err != nil {
		return Call{}, err
	}
	if call.Service == "" {
		return Call{}, errors.Newf("header %s is missing", HeaderService)
	}
	deadline, err := parseIntHeader(h, dfutarget.HeaderDeadline)
	if err != nil {
		return Call{}, err
	}
	if deadline <= 0 {
		return Call{}, errors.Newf("header %s must be a positive number of milliseconds", dfutarget.HeaderDeadline)
	}
	call.Remaining = dfuclock.Duration(deadline)
	if len(h.Peek(dfutarget.HeaderAllowance)) > 0 {
		allowance, err := parseIntHeader(h, dfutarget.HeaderAllowance)
		if err != nil {
			return Call{}, err
		}
		call.Allowance = int(min(max(allowance, 0), MaxRetryAllowance))
	}
	return call, nil
}

// rejectRepeatedHeaders returns an error if a header that controls how the request
// is handled occurs more than once. Otherwise two components could use different
// values.
func rejectRepeatedHeaders(h *fasthttp.RequestHeader) error {
	for _, name := range []string{HeaderService, HeaderCaller, dfutarget.HeaderKey, dfutarget.HeaderDeadline, dfutarget.HeaderAllowance} {
		if len(h.PeekAll(name)) > 1 {
			return errors.Newf("header %s is given more than once", name)
		}
	}
	return nil
}

func parseIntHeader(h *fasthttp.RequestHeader, name string) (int64, error) {
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

// CopyHeaders returns the header fields to be sent to the target: those for which
// forwarded returns true and which are not hop-by-hop.
func CopyHeaders(h *fasthttp.RequestHeader, forwarded func(name string) bool) []dfumessage.Header {
	var headers []dfumessage.Header
	options := dfutarget.ConnectionOptions(h.All())
	for name, value := range h.All() {
		if forwarded(string(name)) && !options.IsHopByHop(string(name)) {
			headers = append(headers, dfumessage.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}

// isForwarded reports whether a request header is sent to the target unchanged; the
// node handles the others itself.
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

// httpStatus returns the HTTP status for a call without a target's response. It
// depends on the reason or, for reasons without a status of their own, on the
// outcome.
func httpStatus(r Result) int {
	switch r.Reason {
	case dfuoutcome.ReasonBadRequest, dfuoutcome.ReasonKeyMissing, dfuoutcome.ReasonKeyFromFuture:
		return fasthttp.StatusBadRequest
	case dfuoutcome.ReasonBodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case dfuoutcome.ReasonRequestTimeout:
		return fasthttp.StatusRequestTimeout
	case dfuoutcome.ReasonUnknownService:
		return fasthttp.StatusNotFound
	case dfuoutcome.ReasonAlreadyRun, dfuoutcome.ReasonKeyRunning:
		return fasthttp.StatusConflict
	case dfuoutcome.ReasonRateLimited, dfuoutcome.ReasonQuotaExceeded:
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
			if !isNodeHeader(h.Name) {
				ctx.Response.Header.Add(h.Name, h.Value)
			}
		}
		ctx.Response.SetBodyRaw(r.Answer.Body)
	} else {
		writeError(ctx, r)
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

// isNodeHeader reports whether a response header is set by the node only. A target's
// response contains such a header if the target copied it from the response to a
// call of its own.
func isNodeHeader(name string) bool {
	switch name {
	case HeaderOutcome, HeaderReason, HeaderTarget, HeaderAttempts, dfutarget.HeaderRequestID:
		return true
	default:
		return false
	}
}

func writeError(ctx *fasthttp.RequestCtx, r Result) {
	ctx.SetStatusCode(httpStatus(r))
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
