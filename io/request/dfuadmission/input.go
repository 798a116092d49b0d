package dfuadmission

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"
)

// input is what reaches the goroutine that steps the machine.
//
//sumtype:decl
type input interface{ input() }

// offered is an offer whose sender waits for the reply.
type offered struct {
	event dfugate.Offer
	offer *dfumessage.Offer
	reply chan *dfumessage.Reply
}

// sealed is a seal whose sender waits for the reply.
type sealed struct {
	id    dfuident.RequestID
	reply chan *dfumessage.SealReply
}

// finished is the end of a run on the target.
type finished struct {
	id     dfuident.RequestID
	answer dfumessage.Answer
	event  dfugate.Event
	// crashed says that the target's process is gone.
	crashed bool
}

// retargeted is a new address of the local target; a nil client means none.
type retargeted struct {
	client *dfutarget.Client
	event  dfugate.Event
}

// plain is an event that needs nothing but the machine.
type plain struct {
	event dfugate.Event
}

// denied is a refused claim with the answer of the first run if it is kept.
type denied struct {
	event  dfugate.ClaimDenied
	answer *dfumessage.Answer
}

// queried asks for the gate's status.
type queried struct {
	reply chan Status
}

func (offered) input()    {}
func (sealed) input()     {}
func (finished) input()   {}
func (retargeted) input() {}
func (plain) input()      {}
func (denied) input()     {}
func (queried) input()    {}
