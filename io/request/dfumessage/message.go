package dfumessage

import (
	"encoding/binary"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroute"

	"github.com/cespare/xxhash/v2"
)

// The net/rpc methods of the receiver that a target's node registers as "Gate".
const (
	MethodOffer  = "Gate.Offer"
	MethodCancel = "Gate.Cancel"
	MethodSeal   = "Gate.Seal"
	MethodNews   = "Gate.News"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Offer is a call to the target's node to run a request.
type Offer struct {
	ID dfuident.RequestID
	// To is the node, with its incarnation, that the offer is addressed to. Another
	// incarnation at the same address refuses it.
	To      dfuident.Member
	Service dfuident.Service
	Caller  dfuident.Caller
	Key     dfuident.Key
	// Remaining is the time left until the caller's deadline.
	Remaining dfuclock.Duration
	// Objective is the time left to answer within the latency objective; zero if
	// there is no objective.
	Objective dfuclock.Duration
	// Nested is set if a running request waits for this one.
	Nested bool
	// Settled is the sequence number below which the entry node no longer waits for
	// any request.
	Settled uint64
	// Allowance is the number of retries that the target and the services below it
	// may still make.
	Allowance  int
	Idempotent bool
	// Kind identifies a group of requests with similar service times; zero if there is
	// none.
	Kind dfuident.Kind
	// Class is the priority of the request, for a service without a catalogue entry.
	Class dfugate.Class
	// NoClaim is set for a non-idempotent request that runs without a claim: only
	// deduplication by its id ensures that it runs at most once.
	NoClaim bool
	// CallerRequest is the request id that the caller gave, if any.
	CallerRequest string
	// CallerService is the service of the entry node's own target.
	CallerService dfuident.Service
	// Workspace is the workspace on whose behalf the request runs; empty if there is none.
	Workspace dfuident.Workspace
	// Credential is the hash of the caller's key, if it has one, and RoutesVersion the
	// version of the route table that accepted the request for Workspace; zero if its route
	// needs no key.
	Credential    dfuroute.Credential
	RoutesVersion dfuroute.Version
	// Weight is the quota of the workspace in requests per second; zero if it has none.
	Weight float64
	// Homes are the regions in which the request may be served. It is empty if any may.
	Homes []dfuident.Region
	// Host is the host name from the caller's request, if it is passed to the target.
	Host string
	// NoWait is set if the request must be refused unless a slot is free.
	NoWait bool
	// From is the region of the entry node.
	From dfuident.Region
	// Bulk is set if the request or its answer may be large.
	Bulk        bool
	Traceparent string
	Method      string
	URI         string
	Headers     []Header
	Body        []byte
	// BodyLater is set if Body is left out and is sent only when the reply requests
	// it. BodyBytes is then the size of the body. Such an offer never runs.
	BodyLater bool
	BodyBytes dfuident.Bytes
	// Checksum is the result of BodyChecksum for ID and Body.
	Checksum uint64
	// dropped is set if there was no memory for Body.
	dropped bool
}

// WithoutBody returns a copy of the offer without its body, to find out whether the
// target's node would accept it before the body is sent.
func (o *Offer) WithoutBody() *Offer {
	withoutBody := *o
	withoutBody.Body = nil
	withoutBody.BodyLater = true
	withoutBody.BodyBytes = dfuident.Bytes(len(o.Body))
	withoutBody.Checksum = BodyChecksum(o.ID, nil)
	return &withoutBody
}

// Answer is a target's complete answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// minServerErrorStatus is the lowest HTTP status that counts as an error of the
// target.
const minServerErrorStatus = 500

// IsServerError reports whether the answer has a server error status, so that the
// target failed rather than the request was wrong.
func (a *Answer) IsServerError() bool {
	return a.Status >= minServerErrorStatus
}

// HasHeader reports whether the answer has a header field with exactly this name,
// which is case-sensitive.
func (a *Answer) HasHeader(name string) bool {
	for _, h := range a.Headers {
		if h.Name == name {
			return true
		}
	}
	return false
}

// Reply is the reply to an Offer.
type Reply struct {
	// ID is the id of the offer, which the entry node checks to detect a misdirected
	// reply.
	ID dfuident.RequestID
	// SendBody is set if the offer must be sent again with its body. Outcome is empty
	// then.
	SendBody bool
	Outcome  dfuoutcome.Outcome
	Reason   dfuoutcome.Reason
	// Load is the target's load as encoded by dfuchoice. It may be empty, and
	// always is if the measuring budget is exhausted.
	Load   []byte
	Answer Answer
	// Checksum is the result of BodyChecksum for ID and the body of Answer.
	Checksum uint64
	onSent   func()
}

// Cancel notifies the target's node that the entry node no longer waits for a request.
type Cancel struct {
	ID     dfuident.RequestID
	Reason dfuoutcome.Reason
}

// SealState is the state of a sealed request at the target's node.
type SealState string

const (
	// SealNever means that the request has not run and never will.
	SealNever SealState = "never"
	// SealRunning means that the request is running.
	SealRunning SealState = "running"
	// SealFinished means that the request has run.
	SealFinished SealState = "finished"
	// SealForgotten means that the node no longer has a record of the request.
	SealForgotten SealState = "forgotten"
)

// Seal is a call to the target's node not to start a request if it has not started
// yet, and to return the request's state.
type Seal struct {
	ID dfuident.RequestID
	To dfuident.Member
}

// SealReply is the reply to a Seal.
type SealReply struct {
	ID    dfuident.RequestID
	State SealState
	// Reply is the reply of a finished request if it is still cached, or nil.
	Reply *Reply
}

// BodyChecksum returns a checksum of a body together with the id of its request. A
// body that is sent with the wrong id fails the check.
func BodyChecksum(id dfuident.RequestID, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], uint64(id.Entry.Incarnation))
	binary.BigEndian.PutUint64(numbers[8:], id.Sequence)
	_, _ = digest.WriteString(string(id.Entry.Node))
	_, _ = digest.Write(numbers[:])
	_, _ = digest.Write(body)
	return digest.Sum64()
}
