package dfuchoice

import (
	"math"

	"dragonflyusher/core/process/dfuclock"
)

const (
	// admissionRetryTime is the time constant after a refusal: the probability
	// that the target has a free slot again is 1-1/e after this time. This is
	// about how long a target with a dozen slots and 300 ms of work per request
	// takes to free one. It doubles with each consecutive refusal.
	admissionRetryTime = 25 * dfuclock.Millisecond
	// maxAdmissionRetryTime limits the time constant, so that a region with
	// free capacity is detected within about a second: at this limit, the
	// probability of admission reaches minFarAdmission about 0.9 s after a
	// refusal.
	maxAdmissionRetryTime = 4 * dfuclock.Second
	// maxRetryDoublings is the number of doublings after which the time
	// constant reaches its limit.
	maxRetryDoublings = 8
	// minFarAdmission is the probability of admission below which a target in
	// another region is not tried. An offer over the link costs about a fifth
	// of what an answer from there gains over no answer.
	minFarAdmission = 0.2
)

// admission estimates whether a target in another region accepts requests. The
// estimate falls with each consecutive refusal, as with exponential backoff. It
// is not applied within the entry node's region: trying a target there costs
// little, and a request can still wait at a target that refused it.
type admission struct {
	// refusals is the number of consecutive refusals, and refusedAt the time of
	// the last one.
	refusals  int
	refusedAt dfuclock.Time
}

// record updates the estimate with the outcome of an attempt. Attempts sent
// before the last refusal are ignored, since they carry no new information.
func (a *admission) record(now dfuclock.Time, f Feedback) {
	if now.Add(-f.Latency).Before(a.refusedAt) {
		return
	}
	switch f.Kind {
	case FeedbackRefused:
		a.refusals = min(a.refusals+1, maxRetryDoublings+1)
		a.refusedAt = now
	case FeedbackAnswered, FeedbackTargetError:
		a.refusals = 0
	case FeedbackLinkFailed, FeedbackCanceled:
	}
}

// chance returns the probability that the target accepts a request.
func (a *admission) chance(now dfuclock.Time) float64 {
	if a.refusals == 0 {
		return 1
	}
	wait := min(admissionRetryTime<<(a.refusals-1), maxAdmissionRetryTime)
	return 1 - math.Exp(-float64(now.Sub(a.refusedAt))/float64(wait))
}
