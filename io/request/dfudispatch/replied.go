package dfudispatch

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/io/request/dfumessage"
)

// replied is the end of an attempt or of a seal, with the target's answer if
// there is one.
type replied struct {
	id     dfuident.RequestID
	event  dfuattempt.Event
	answer *dfumessage.Answer
}
