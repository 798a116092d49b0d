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

// attempt is a live attempt: it may still run or be answered.
type attempt struct {
	id      dfuident.RequestID
	to      dfuident.Member
	request *request
	sent    dfuclock.Time
	// reported is set once the end of the attempt was reported to the chooser.
	reported bool
	// hedge is set for a hedge that is limited by Config.HedgeRatio.
	hedge bool
	// sealing is set once the link is lost. The next seal is sent at sealAt, which is
	// zero while a seal is unanswered. sealWait is the wait before the next one.
	sealing  bool
	sealAt   dfuclock.Time
	sealWait dfuclock.Duration

	// older and newer link all live attempts in the order of their IDs.
	older, newer *attempt
}

// attempts holds the live attempts of all requests in the order of their IDs.
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

// request is a request that isn't finished.
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
	homes      []dfuident.Region
	allowance  dfubudget.Allowance
	owner      dfuident.Member
	// targets is the maximum number of targets that may get the request, or zero for
	// no maximum. targetsReached is the number of targets that got it in attempts that
	// have ended.
	targets, targetsReached int

	live     []*attempt
	excluded []dfuident.NodeID
	// refused lists the excluded nodes that refused because their target was busy.
	refused []dfuident.NodeID
	sent    int
	// noCapacity is set if the latest refusal was for lack of capacity or because of
	// draining or an evacuation, so that the next attempt isn't charged.
	noCapacity bool
	// errorAnswer is the first attempt that a target answered with an error. That
	// answer is returned if no other attempt is answered successfully.
	errorAnswer dfuident.RequestID
	// mayHaveRun is set if an attempt ended without proof that it did not run.
	mayHaveRun bool
	// reason is why there is no answer so far.
	reason dfuoutcome.Reason
	// hedgeAt is when a second attempt is due, if hedge is set.
	hedge   bool
	hedgeAt dfuclock.Time
	// late is set if the hedge is one of a request with an objective. hedged is set once
	// it was charged.
	late, hedged bool

	due   dfuclock.Time
	index int
}

// outcomeWithoutAnswer returns the outcome of a request that ends without an answer.
func (r *request) outcomeWithoutAnswer() dfuoutcome.Outcome {
	if len(r.live) > 0 || r.mayHaveRun {
		return dfuoutcome.Unknown
	}
	return dfuoutcome.NotRun
}

// nextDue returns the time at which the request needs the next Tick.
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
