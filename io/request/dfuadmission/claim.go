package dfuadmission

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/request/dfumessage"
)

// Verdict is what became of a claim.
type Verdict struct {
	Granted bool
	// Outcome and Reason say why a claim was denied.
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// Answer is the first run's answer if it is kept.
	Answer *dfumessage.Answer
}

// Claims guards requests that must not repeat. Its methods never block; decide
// is called once, from any goroutine.
type Claims interface {
	// Claim asks whether the key may run now.
	Claim(id dfuident.RequestID, service dfuident.Service, key dfuident.Key, remaining dfuclock.Duration, decide func(Verdict))
	// Finished tells that the granted request ran, with its answer.
	Finished(id dfuident.RequestID, service dfuident.Service, key dfuident.Key, answer *dfumessage.Answer)
	// Released tells that the granted request was not run and never will be.
	Released(id dfuident.RequestID, service dfuident.Service, key dfuident.Key)
}

// askClaim asks the claims for leave. They may decide at once, while the mutex
// is held, so that the verdict is taken by another goroutine.
func (d *Duty) askClaim(a dfugate.AskClaim) {
	r := d.pending[a.ID]
	remaining := r.event.Remaining - d.deps.Clock.Now().Sub(r.arrived)
	d.deps.Claims.Claim(a.ID, a.Service, a.Key, remaining, func(v Verdict) { go d.decide(a.ID, v) })
}

// decide takes the verdict on a claim.
func (d *Duty) decide(id dfuident.RequestID, v Verdict) {
	if v.Granted {
		d.Notify(dfugate.ClaimGranted{ID: id})
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.pending[id]; r != nil && v.Answer != nil {
		r.answer = *v.Answer
	}
	d.step(dfugate.ClaimDenied{ID: id, Outcome: v.Outcome, Reason: v.Reason})
}

// settleClaim tells the claims that a granted request ran.
func (d *Duty) settleClaim(r *run, outcome dfuoutcome.Outcome) {
	if r.event.Idempotent || r.event.NoClaim || !r.granted || outcome == dfuoutcome.NotRun {
		return
	}
	var answer *dfumessage.Answer
	if outcome == dfuoutcome.Answered {
		answer = &r.answer
	}
	d.deps.Claims.Finished(r.event.ID, r.event.Service, r.event.Key, answer)
}
