package dfudispatch

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/request/dfumessage"

	"go.opentelemetry.io/otel/trace"
)

// input is what reaches the goroutine that steps the machine.
//
//sumtype:decl
type input interface{ input() }

// arrived is a call that waits for its result.
type arrived struct {
	event dfuattempt.Arrived
	call  dfufront.Call
	span  trace.Span
	reply chan dfufront.Result
}

// replied is the end of an attempt with the target's answer, if there is one.
type replied struct {
	id     dfuident.RequestID
	event  dfuattempt.Event
	answer *dfumessage.Answer
}

// plain is an event that needs nothing but the machine.
type plain struct {
	event dfuattempt.Event
}

// viewed is a new view of the fleet.
type viewed struct {
	view *dfuroster.View
}

// inspected asks what the chooser believes of targets.
type inspected struct {
	reply chan int
}

func (arrived) input()   {}
func (replied) input()   {}
func (plain) input()     {}
func (viewed) input()    {}
func (inspected) input() {}
