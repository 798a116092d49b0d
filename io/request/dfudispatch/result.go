package dfudispatch

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/io/request/dfumessage"
)

// attemptResult is the result of an attempt or a seal, with the target's answer if
// there is one.
type attemptResult struct {
	id     dfuident.RequestID
	event  dfuattempt.Event
	answer *dfumessage.Answer
}
