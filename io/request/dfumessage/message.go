package dfumessage

import (
	"encoding/binary"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"

	"github.com/cespare/xxhash/v2"
)

// The methods of the receiver that a target's node registers as "Gate".
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

// Offer asks the target's node to run a request.
type Offer struct {
	ID dfuident.RequestID
	// To is the run of the node that the entry node means; another run under
	// the same address refuses.
	To      dfuident.Member
	Service dfuident.Service
	Caller  dfuident.Caller
	Key     dfuident.Key
	// Remaining is the time left until the caller's deadline.
	Remaining dfuclock.Duration
	// Objective is what is left of the time within which an answer is worth
	// most; zero if there is none.
	Objective dfuclock.Duration
	// Nested says that a request which is running waits for this one.
	Nested bool
	// Settled is the sequence below which the entry node waits for nothing.
	Settled uint64
	// Allowance is the number of retries that the levels below may still make.
	Allowance  int
	Idempotent bool
	// Kind tells requests apart that take different times.
	Kind dfuident.Kind
	// Class ranks the request for a service without a catalogue entry.
	Class dfugate.Class
	// NoClaim says that a non-idempotent request runs at most once for its id
	// alone, so that it needs no claim.
	NoClaim bool
	// CallerRequest is the caller's own id of the request, if it has one.
	CallerRequest string
	// CallerService is the service of the target beside the entry node.
	CallerService dfuident.Service
	// Host is the host that the caller asked for, if it is to be passed on.
	Host string
	// NoWait asks to refuse the request if it finds no free slot.
	NoWait bool
	// From is the region of the entry node.
	From dfuident.Region
	// Bulk says that the request or its answer may be large.
	Bulk        bool
	Traceparent string
	Method      string
	URI         string
	Headers     []Header
	Body        []byte
	// BodyLater says that Body is left out and will be sent only if the reply asks
	// for it; BodyBytes is its size then. Such an offer never runs.
	BodyLater bool
	BodyBytes dfuident.Bytes
	// Checksum is Sum over the id and Body.
	Checksum uint64
}

// WithoutBody returns the offer that asks whether the body may be sent.
func (o *Offer) WithoutBody() *Offer {
	ahead := *o
	ahead.Body = nil
	ahead.BodyLater = true
	ahead.BodyBytes = dfuident.Bytes(len(o.Body))
	ahead.Checksum = Sum(o.ID, nil)
	return &ahead
}

// Answer is the whole answer of a target.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// firstServerError is the lowest HTTP status that blames the target.
const firstServerError = 500

// BlamesTarget reports whether the answer is an error of the target rather than
// of the request.
func (a *Answer) BlamesTarget() bool {
	return a.Status >= firstServerError
}

// Has reports whether the answer has a header field.
func (a *Answer) Has(name string) bool {
	for _, h := range a.Headers {
		if h.Name == name {
			return true
		}
	}
	return false
}

// Reply tells the entry node the outcome of an offer.
type Reply struct {
	// ID repeats the offer's id, so that a reply can't be taken for another's.
	ID dfuident.RequestID
	// SendBody asks for the offer again, with its body; there is no outcome yet.
	SendBody bool
	Outcome  dfuoutcome.Outcome
	Reason   dfuoutcome.Reason
	// Load is the state of the target's queue as dfuchoice encodes it; it is
	// empty unless the measuring budget allows it.
	Load   []byte
	Answer Answer
	// Checksum is Sum over the id and the answer's body.
	Checksum uint64
}

// Cancel tells the target's node that nobody waits for a request any more.
type Cancel struct {
	ID     dfuident.RequestID
	Reason dfuoutcome.Reason
}

// SealState is what the target's node knows of a sealed request.
type SealState string

const (
	// SealNever means that the request was not run and never will be.
	SealNever SealState = "never"
	// SealRunning means that the request is running.
	SealRunning SealState = "running"
	// SealFinished means that the request ran.
	SealFinished SealState = "finished"
	// SealForgotten means that the node can't tell any more.
	SealForgotten SealState = "forgotten"
)

// Seal asks the target's node to never hand over a request that it has not
// handed over yet.
type Seal struct {
	ID dfuident.RequestID
	To dfuident.Member
}

// SealReply answers a Seal.
type SealReply struct {
	ID    dfuident.RequestID
	State SealState
	// Reply is the outcome of a finished request if it is still kept.
	Reply *Reply
}

// Sum returns the checksum of a body that belongs to the request id, so that
// a body under a wrong id never passes.
func Sum(id dfuident.RequestID, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [16]byte
	binary.BigEndian.PutUint64(number[:8], uint64(id.Entry.Incarnation))
	binary.BigEndian.PutUint64(number[8:], id.Sequence)
	_, _ = digest.WriteString(string(id.Entry.Node))
	_, _ = digest.Write(number[:])
	_, _ = digest.Write(body)
	return digest.Sum64()
}
