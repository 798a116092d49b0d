package dfuchoice

import (
	"math"

	"dragonflyusher/core/process/dfuclock"
)

const (
	// roomWait is the time after which a target that refused a request has room
	// again with a chance of 1-1/e: about the time in which one of a dozen slots
	// of 300 ms of work becomes free. It doubles with each refusal in a row.
	roomWait = 25 * dfuclock.Millisecond
	// roomWaitMax bounds it, so that a region that has room again is found out
	// within about a second.
	roomWaitMax = 4 * dfuclock.Second
	// roomDoublings is how often roomWait doubles until it is at its bound.
	roomDoublings = 8
	// farChance is the chance of room below which a target in another region is
	// not asked at all: an offer over the link costs as much as a fifth of what
	// an answer from there is worth more than none.
	farChance = 0.2
)

// room is what is known of whether a target in another region lets requests in. Of
// one that refuses again and again less and less is expected, as with exponential
// backoff. Targets of the own region are asked whenever they seem best: it costs next
// to nothing, and what refused a look may still be waited for.
type room struct {
	// refusals is how many attempts in a row were refused, refusedAt when the
	// last one was.
	refusals  int
	refusedAt dfuclock.Time
}

// note learns from the end of an attempt. Attempts that were sent before the last
// refusal say nothing new.
func (r *room) note(now dfuclock.Time, f Feedback) {
	if now.Add(-f.Latency).Before(r.refusedAt) {
		return
	}
	switch f.Kind {
	case FeedbackRefused:
		r.refusals = min(r.refusals+1, roomDoublings+1)
		r.refusedAt = now
	case FeedbackAnswered, FeedbackTargetError:
		r.refusals = 0
	case FeedbackLinkFailed, FeedbackCanceled:
	}
}

// chance returns the chance that the target lets a request in.
func (r *room) chance(now dfuclock.Time) float64 {
	if r.refusals == 0 {
		return 1
	}
	wait := min(roomWait<<(r.refusals-1), roomWaitMax)
	return 1 - math.Exp(-float64(now.Sub(r.refusedAt))/float64(wait))
}
