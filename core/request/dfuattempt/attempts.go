package dfuattempt

import (
	"cmp"

	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuheap"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
)

// attempt is one that may still run or be answered.
type attempt struct {
	id      dfuident.RequestID
	to      dfuident.Member
	request *request
	sent    dfuclock.Time
	// reported tells that the chooser knows how the attempt ended.
	reported bool
	// sealing tells that the link is lost. The next seal goes out at sealAt,
	// unless one is on its way.
	sealing  bool
	sealAt   dfuclock.Time
	sealWait dfuclock.Duration

	// older and newer link all live attempts in the order of their ids.
	older, newer *attempt
}

// attempts holds the live attempts of all requests in the order of their ids.
type attempts struct {
	byID           map[dfuident.RequestID]*attempt
	oldest, newest *attempt
}

func (l *attempts) add(a *attempt) {
	l.byID[a.id] = a
	a.older = l.newest
	if l.newest != nil {
		l.newest.newer = a
	} else {
		l.oldest = a
	}
	l.newest = a
}

func (l *attempts) remove(a *attempt) {
	delete(l.byID, a.id)
	if a.older != nil {
		a.older.newer = a.newer
	} else {
		l.oldest = a.newer
	}
	if a.newer != nil {
		a.newer.older = a.older
	} else {
		l.newest = a.older
	}
}

// request is one that isn't finished.
type request struct {
	number     RequestNumber
	service    dfuident.Service
	caller     dfuident.Caller
	kind       dfuident.Kind
	class      dfugate.Class
	nested     bool
	key        dfuident.Key
	idempotent bool
	deadline   dfuclock.Time
	objective  dfuclock.Time
	body       dfuident.Bytes
	allowance  dfubudget.Allowance
	owner      dfuident.Member
	// targets is the most targets that may get the request, or zero, and
	// reached how many got it in attempts that have ended.
	targets, reached int

	live     []*attempt
	excluded []dfuident.NodeID
	// refused lists those of excluded that had no free slot.
	refused []dfuident.NodeID
	sent    int
	// looking says that the last gate had no room, so that looking elsewhere is
	// free.
	looking bool
	// fallback is the attempt that a target answered with an error, whose answer
	// is given if there is no better one.
	fallback dfuident.RequestID
	// unproven tells that an attempt ended without proof that it did not run.
	unproven bool
	// reason is why the last attempt brought no answer.
	reason dfuoutcome.Reason
	// hedgeAt is when a second attempt is due, if hedge is set.
	hedge   bool
	hedgeAt dfuclock.Time

	due   dfuclock.Time
	index int
}

// unanswered returns the outcome of a request that ends without an answer.
func (r *request) unanswered() dfuoutcome.Outcome {
	if len(r.live) > 0 || r.unproven {
		return dfuoutcome.Unknown
	}
	return dfuoutcome.NotRun
}

// nextDue returns when the request needs a Tick.
func (r *request) nextDue() dfuclock.Time {
	due := r.deadline
	if r.hedge {
		due = min(due, r.hedgeAt)
	}
	for _, a := range r.live {
		if a.sealAt > 0 {
			due = min(due, a.sealAt)
		}
	}
	return due
}

// newTimers returns an empty heap of requests by due time.
func newTimers() *dfuheap.Heap[*request] {
	return dfuheap.New(
		func(a, b *request) bool {
			return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.number, b.number)) < 0
		},
		func(r *request) *int { return &r.index },
	)
}
