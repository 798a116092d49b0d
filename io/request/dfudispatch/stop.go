package dfudispatch

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfustop"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfufront"
)

// ScheduleStop makes the Dispatcher refuse calls that could still be in progress when
// the node ends.
func (d *Dispatcher) ScheduleStop(schedule dfustop.Schedule) {
	d.stop.Store(&schedule)
}

// refuseBeforeStop returns a result if the node stops before the call can be expected
// to have ended. Calls of a request that is running here are accepted, since their
// refusal would fail that request. The caller is referred to the time after the stop.
func (d *Dispatcher) refuseBeforeStop(call dfufront.Call) *dfufront.Result {
	schedule := d.stop.Load()
	now := d.deps.Clock.Now()
	if schedule == nil || schedule.Admits(now, call.Remaining) || d.isNested(call) {
		return nil
	}
	result := refusedResult(dfuoutcome.ReasonNodeDraining, "the node stops before the call's deadline")
	result.RetryAfter = max(schedule.EndAt().Sub(now), dfuclock.Millisecond)
	return result
}

// isNested reports whether a call was made by a request that is running on the local
// target.
func (d *Dispatcher) isNested(call dfufront.Call) bool {
	return call.ParentRequest != "" && d.deps.IsRunning(call.ParentRequest)
}
