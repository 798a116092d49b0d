package dfuadmission

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/request/dfumessage"
)

// ClaimResult is the result of a claim.
type ClaimResult struct {
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
	// Claim requests permission to run the key now. It calls onResult exactly
	// once, from any goroutine and possibly before it returns.
	Claim(id dfuident.RequestID, service dfuident.Service, key dfuident.Key, remaining dfuclock.Duration, onResult func(ClaimResult))
	// Finished reports that a granted request may have run. The answer is nil if
	// the result is not known.
	Finished(id dfuident.RequestID, service dfuident.Service, key dfuident.Key, answer *dfumessage.Answer)
	// Released reports that a granted request has not run and never will.
	Released(id dfuident.RequestID, service dfuident.Service, key dfuident.Key)
}

// requestClaim requests a claim for an offer. The result is applied in a new
// goroutine because Claim may call back at once, while c.mu is held.
func (c *Controller) requestClaim(a dfugate.RequestClaim) {
	p := c.pending[a.ID]
	remaining := p.event.Remaining - c.deps.Clock.Now().Sub(p.arrived)
	c.deps.Claims.Claim(a.ID, a.Service, a.Key, remaining, func(result ClaimResult) { go c.applyClaimResult(a.ID, result) })
}

// applyClaimResult passes the result of a claim to the machine.
func (c *Controller) applyClaimResult(id dfuident.RequestID, result ClaimResult) {
	if result.Granted {
		c.Notify(dfugate.ClaimGranted{ID: id})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pending[id]; p != nil && result.Answer != nil {
		p.answer = *result.Answer
	}
	c.step(dfugate.ClaimDenied{ID: id, Outcome: result.Outcome, Reason: result.Reason})
}

// finishClaim reports to Claims that a request with a granted claim has run or
// may have run.
func (c *Controller) finishClaim(p *pendingOffer, outcome dfuoutcome.Outcome) {
	if p.event.Idempotent || p.event.NoClaim || !p.holdsClaim || outcome == dfuoutcome.NotRun {
		return
	}
	var answer *dfumessage.Answer
	if outcome == dfuoutcome.Answered {
		answer = &p.answer
	}
	c.deps.Claims.Finished(p.event.ID, p.event.Service, p.event.Key, answer)
}
