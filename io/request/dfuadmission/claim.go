package dfuadmission

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/request/dfumessage"
)

// Verdict is the result of a claim.
type Verdict struct {
	Granted bool
	// Outcome and Reason state why the claim was denied; they are empty if it was
	// granted.
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// Answer is the answer of the earlier run with the same key, or nil if it is
	// not stored.
	Answer *dfumessage.Answer
}

// Claims prevents a non-idempotent request from running more than once. Its
// methods never block.
type Claims interface {
	// Claim requests permission to run the key now. It calls onVerdict exactly
	// once, from any goroutine and possibly before it returns.
	Claim(id dfuident.RequestID, service dfuident.Service, key dfuident.Key, remaining dfuclock.Duration, onVerdict func(Verdict))
	// Finished reports that a granted request may have run. The answer is nil if
	// the result is not known.
	Finished(id dfuident.RequestID, service dfuident.Service, key dfuident.Key, answer *dfumessage.Answer)
	// Released reports that a granted request has not run and never will.
	Released(id dfuident.RequestID, service dfuident.Service, key dfuident.Key)
}

// requestClaim requests a claim for an offer. The verdict is applied in a new
// goroutine because Claim may call back at once, while d.mu is held.
func (d *Duty) requestClaim(a dfugate.RequestClaim) {
	p := d.pending[a.ID]
	remaining := p.event.Remaining - d.deps.Clock.Now().Sub(p.arrived)
	d.deps.Claims.Claim(a.ID, a.Service, a.Key, remaining, func(v Verdict) { go d.applyVerdict(a.ID, v) })
}

// applyVerdict passes the verdict on a claim to the machine.
func (d *Duty) applyVerdict(id dfuident.RequestID, v Verdict) {
	if v.Granted {
		d.Notify(dfugate.ClaimGranted{ID: id})
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pending[id]; p != nil && v.Answer != nil {
		p.answer = *v.Answer
	}
	d.step(dfugate.ClaimDenied{ID: id, Outcome: v.Outcome, Reason: v.Reason})
}

// finishClaim reports to Claims that a request with a granted claim has run or
// may have run.
func (d *Duty) finishClaim(p *pendingOffer, outcome dfuoutcome.Outcome) {
	if p.event.Idempotent || p.event.NoClaim || !p.holdsClaim || outcome == dfuoutcome.NotRun {
		return
	}
	var answer *dfumessage.Answer
	if outcome == dfuoutcome.Answered {
		answer = &p.answer
	}
	d.deps.Claims.Finished(p.event.ID, p.event.Service, p.event.Key, answer)
}
