package dfuadmission

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
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
