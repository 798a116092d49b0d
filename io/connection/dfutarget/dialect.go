package dfutarget

import (
	"strconv"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/io/request/dfumessage"

	"github.com/valyala/fasthttp"
)

// Dialect defines the header fields that are sent to targets with a request, and
// the meaning of the header fields of their responses.
type Dialect interface {
	// Fill sets the request header fields that the node writes itself.
	Fill(h *fasthttp.RequestHeader, offer *dfumessage.Offer, instance dfuident.Instance, remaining dfuclock.Duration)
	// Read extracts the metadata for the node from a response header.
	Read(h *fasthttp.ResponseHeader, offer *dfumessage.Offer) Remark
	// StatesIdleTime reports whether targets state how long they keep idle
	// connections open.
	StatesIdleTime() bool
	// EndsWithConnection reports whether the end of the connection may end a
	// response that is not chunked and has no Content-Length.
	EndsWithConnection() bool
}

// Remark is the metadata that a Dialect extracts from a response header.
type Remark struct {
	// Stray is set if the response belongs to another request.
	Stray bool
	// Spoiled is the reason why the response can't come from the target itself, or
	// nil.
	Spoiled error
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Replaced is set if another instance now uses the target's address.
	Replaced bool
	// IdleTime is how long the target keeps the idle connection open; zero if it
	// is not stated.
	IdleTime dfuclock.Duration
	// Load is the load that the target reports, or nil.
	Load *dfugate.TargetLoad
}

// The headers of requests to targets and of their responses.
const (
	HeaderDeadline    = "Dragonflyusher-Deadline-Ms"
	HeaderRequestID   = "Dragonflyusher-Request-Id"
	HeaderAllowance   = "Dragonflyusher-Retry-Allowance"
	HeaderKey         = "Idempotency-Key"
	HeaderTraceparent = "Traceparent"
	// HeaderRetried marks a response for which more than one attempt was made, at
	// this level of the call tree or below.
	HeaderRetried = "Dragonflyusher-Retried"
	// HeaderNotRun marks a response of a target with status 503: the target did
	// not run the request.
	HeaderNotRun = "Dragonflyusher-Not-Run"
)

// Native is the dialect that docs/HTTP.md specifies.
type Native struct{}

// Fill implements Dialect.
func (Native) Fill(h *fasthttp.RequestHeader, offer *dfumessage.Offer, _ dfuident.Instance, remaining dfuclock.Duration) {
	h.Set(HeaderDeadline, strconv.FormatInt(int64(remaining), 10))
	h.Set(HeaderRequestID, offer.ID.String())
	h.Set(HeaderAllowance, strconv.Itoa(offer.Allowance))
	if offer.Key != "" {
		h.Set(HeaderKey, string(offer.Key))
	}
	if offer.Traceparent != "" {
		h.Set(HeaderTraceparent, offer.Traceparent)
	}
}

// Read implements Dialect.
func (Native) Read(h *fasthttp.ResponseHeader, _ *dfumessage.Offer) Remark {
	return Remark{NotRun: h.StatusCode() == fasthttp.StatusServiceUnavailable && len(h.Peek(HeaderNotRun)) > 0}
}

// StatesIdleTime implements Dialect.
func (Native) StatesIdleTime() bool { return false }

// EndsWithConnection implements Dialect.
func (Native) EndsWithConnection() bool { return false }
