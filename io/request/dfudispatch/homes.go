package dfudispatch

import (
	"slices"
	"strconv"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfufront"
)

// setHomes sets the regions in which a call may be served, from its route and its
// workspace. It returns a result if there is no target in any of them, since no
// repetition would find one in time.
func (d *Dispatcher) setHomes(table *dfuroute.Table, call *dfufront.Call) *dfufront.Result {
	workspace, _ := table.WorkspaceNamed(call.Workspace)
	homes, ok := dfuroute.HomesOf(call.Route, workspace)
	if !ok {
		return refusedResult(dfuoutcome.ReasonNoHome, "route "+strconv.Quote(call.Route.Name)+" and the workspace have no home in common")
	}
	call.Homes = homes
	if len(homes) > 0 && isAbsent(d.view.Load(), call.Service, homes) {
		return refusedResult(dfuoutcome.ReasonNoHome, "no target of "+strconv.Quote(string(call.Service))+" is in a home of the request")
	}
	return nil
}

// isAbsent reports whether a service has targets, but none of them in one of the regions. A
// node that has just started may have no targets in its view yet.
func isAbsent(view *dfuroster.View, service dfuident.Service, homes []dfuident.Region) bool {
	nodes := view.Service(service)
	return len(nodes) > 0 && !slices.ContainsFunc(nodes, func(n dfuroster.Node) bool {
		return n.State != dfuroster.Dead && n.State != dfuroster.Left &&
			dfuroute.IsHome(homes, n.Place.Region) && !view.IsEvacuated(n.Place.Zone)
	})
}
