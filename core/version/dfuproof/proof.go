package dfuproof

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Statement is what a node answers to a peer that asks about its copy.
type Statement struct {
	// Proven is set if the copy has ever been proven. Age is the time since the moment
	// up to which it is.
	Proven bool
	Age    dfuclock.Duration
	// Revision is that of the value in the node's copy.
	Revision dfuident.Revision
}

// Proof holds a moment for which it is known that the node's copy is at least as new as
// every value that the store had committed before. All times are of a clock that also
// runs while the VM is suspended. The zero value is a copy that was never proven. A Proof
// is not safe for concurrent use.
type Proof struct {
	at     dfuclock.Time
	proven bool
	// asOf is the greatest revision that an answer of the store reflected.
	asOf dfuident.Revision
}

// Confirm records an answer of the store to a linearizable call sent at a time. asOf is
// the revision that the answer reflects, and held the revision of the value in the copy
// after the answer was merged, or zero if the newest value known isn't in it. An answer
// older than another one before proves nothing. Confirm reports whether the proof has
// become newer.
func (p *Proof) Confirm(sentAt dfuclock.Time, asOf, held dfuident.Revision) bool {
	if held == 0 || asOf < held || asOf < p.asOf {
		return false
	}
	p.asOf = asOf
	return p.advance(sentAt)
}

// AsOf returns the revision of the store up to which all changes are in the copy, from the
// answers that Confirm has accepted; zero if there is none.
func (p *Proof) AsOf() dfuident.Revision {
	return p.asOf
}

// Adopt records the answer of a peer to a call sent at a time. The answer may have taken
// any time since the peer made the statement. held is the revision of the value in the
// node's copy, which must be no older than the peer's; zero if the newest value isn't in
// it. Adopt reports whether the proof has become newer.
func (p *Proof) Adopt(askedAt dfuclock.Time, s Statement, held dfuident.Revision) bool {
	if !s.Proven || s.Age < 0 || held == 0 || s.Revision == 0 || held < s.Revision {
		return false
	}
	return p.advance(askedAt.Add(-s.Age))
}

func (p *Proof) advance(at dfuclock.Time) bool {
	if p.proven && !p.at.Before(at) {
		return false
	}
	p.at, p.proven = at, true
	return true
}

// State returns the statement for a copy whose value has the revision held.
func (p *Proof) State(now dfuclock.Time, held dfuident.Revision) Statement {
	age, ok := p.Age(now)
	return Statement{Proven: ok, Age: age, Revision: held}
}

// Age returns the age of the proof. It returns false if there is none.
func (p *Proof) Age(now dfuclock.Time) (dfuclock.Duration, bool) {
	if !p.proven {
		return 0, false
	}
	return max(0, now.Sub(p.at)), true
}

// marginDivisor is the inverse of the share of the bound that is kept for the rounding of
// times and the drift between clocks.
const marginDivisor = 50

// Within reports whether the copy was proven less than bound ago.
func (p *Proof) Within(now dfuclock.Time, bound dfuclock.Duration) bool {
	age, ok := p.Age(now)
	return ok && age < bound-bound/marginDivisor
}
