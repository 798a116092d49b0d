package dfutarget

import (
	"strconv"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/io/request/dfumessage"

	"github.com/valyala/fasthttp"
)

// Dialect is how targets are spoken to: the header fields that go with a
// request, and what those of an answer mean.
type Dialect interface {
	// Fill adds the fields that the node itself writes to a request.
	Fill(h *fasthttp.RequestHeader, offer *dfumessage.Offer, instance dfuident.Instance, remaining dfuclock.Duration)
	// Read tells what the header of an answer says besides the answer.
	Read(h *fasthttp.ResponseHeader, offer *dfumessage.Offer) Remark
	// StatesIdleTime reports whether targets state how long they keep an idle
	// connection.
	StatesIdleTime() bool
	// EndsWithConnection reports whether an answer without a length may end
	// with its connection.
	EndsWithConnection() bool
}

// Remark is what the header of an answer says besides the answer.
type Remark struct {
	// Stray says that the answer belongs to another request.
	Stray bool
	// Spoiled is why the answer can't be the target's own, or nil.
	Spoiled error
	// NotRun says that the target did not run the request.
	NotRun bool
	// Replaced says that another instance has the target's address.
	Replaced bool
	// IdleTime is how long the target keeps the connection idle; zero if it
	// doesn't say.
	IdleTime dfuclock.Duration
	// Load is what the target tells of its load, or nil.
	Load *dfugate.TargetLoad
}

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

// Native is the dialect of docs/HTTP.md.
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
