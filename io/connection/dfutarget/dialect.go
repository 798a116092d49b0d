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
	// SetHeaders sets the request header fields that the node writes itself.
	SetHeaders(h *fasthttp.RequestHeader, offer *dfumessage.Offer, instance dfuident.Instance, remaining dfuclock.Duration)
	// AnswerID returns the id of a request that targets repeat in their responses.
	AnswerID(offer *dfumessage.Offer) string
	// Read extracts the metadata for the node from a response header.
	Read(h *fasthttp.ResponseHeader, offer *dfumessage.Offer) ResponseMetadata
	// StatesIdleTime reports whether targets state how long they keep idle
	// connections open.
	StatesIdleTime() bool
	// AllowsUntilClose reports whether the end of the connection may end a
	// response that is not chunked and has no Content-Length.
	AllowsUntilClose() bool
}

// ResponseMetadata is the metadata that a Dialect extracts from a response
// header.
type ResponseMetadata struct {
	// ForOtherRequest is set if the response belongs to another request.
	ForOtherRequest bool
	// Identified is set if the response bears the id of its request.
	Identified bool
	// Invalid is the reason why the response can't come from the target itself,
	// or nil.
	Invalid error
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Refusal is set if NotRun is set or the status alone means that. In the latter case
	// the target may still have run the request.
	Refusal bool
	// Replaced is set if another instance now uses the target's address.
	Replaced bool
	// Leaving is set if the target states that it is about to end.
	Leaving bool
	// Instance is the instance that the target states in its response to a health
	// check; empty if it states none.
	Instance dfuident.Instance
	// IdleTime is how long the target keeps the idle connection open; zero if it
	// is not stated.
	IdleTime dfuclock.Duration
	// Load is the load that the target reports, or nil.
	Load *dfugate.TargetLoad
	// Limit is the rate limit that the target advertises, or zero.
	Limit dfugate.Rate
	// ColdFor is how much longer the target states that it is cold, or zero.
	ColdFor dfuclock.Duration
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

// SetHeaders implements Dialect.
func (Native) SetHeaders(h *fasthttp.RequestHeader, offer *dfumessage.Offer, _ dfuident.Instance, remaining dfuclock.Duration) {
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

// AnswerID implements Dialect.
func (Native) AnswerID(offer *dfumessage.Offer) string {
	return offer.ID.String()
}

// Read implements Dialect.
func (n Native) Read(h *fasthttp.ResponseHeader, offer *dfumessage.Offer) ResponseMetadata {
	id := string(h.Peek(HeaderRequestID))
	refusal := h.StatusCode() == fasthttp.StatusServiceUnavailable
	return ResponseMetadata{
		ForOtherRequest: id != "" && id != n.AnswerID(offer),
		Identified:      id != "",
		NotRun:          refusal && len(h.Peek(HeaderNotRun)) > 0,
		Refusal:         refusal,
	}
}

// StatesIdleTime implements Dialect.
func (Native) StatesIdleTime() bool { return false }

// AllowsUntilClose implements Dialect.
func (Native) AllowsUntilClose() bool { return false }
