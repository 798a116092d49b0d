package dfuadmission

import (
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/request/dfumessage"
)

// runningRequests holds the workspaces of the requests that run on the target, by the
// caller's id of the request. Callers may give several requests the same id.
type runningRequests map[string][]dfuident.Workspace

func (r runningRequests) add(offer *dfumessage.Offer) {
	r[offer.CallerRequest] = append(r[offer.CallerRequest], offer.Workspace)
}

func (r runningRequests) remove(offer *dfumessage.Offer) {
	running := r[offer.CallerRequest]
	if i := slices.Index(running, offer.Workspace); i >= 0 {
		running = slices.Delete(running, i, i+1)
	}
	if len(running) == 0 {
		delete(r, offer.CallerRequest)
		return
	}
	r[offer.CallerRequest] = running
}

func (r runningRequests) has(callerRequest string) bool {
	return len(r[callerRequest]) > 0
}

// workspace returns the workspace of the requests with an id. It returns false if there
// are none, or if they run for different workspaces.
func (r runningRequests) workspace(callerRequest string) (dfuident.Workspace, bool) {
	running := r[callerRequest]
	if len(running) == 0 {
		return "", false
	}
	for _, w := range running {
		if w != running[0] {
			return "", false
		}
	}
	return running[0], true
}
