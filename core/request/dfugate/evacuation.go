package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

// evacuationChanged applies the state of the gate's zone. The gate is the one way to its
// target, so that a request of an entry node that hasn't heard of the evacuation is refused
// here.
func (m *Machine) evacuationChanged(now dfuclock.Time, e EvacuationChanged) {
	if !e.Active {
		if m.evacuated == dfuoutcome.ReasonZoneEvacuated {
			m.assumeCold(now)
		}
		m.evacuated = dfuoutcome.ReasonNone
		return
	}
	m.evacuated = dfuoutcome.ReasonZoneEvacuated
	m.refuseWaiting(dfuoutcome.ReasonZoneEvacuated)
}
