package dfugate

import (
	"dragonflyusher/core/process/dfuident"
)

func (m *Machine) claimGranted(id dfuident.RequestID) {
	if release, ok := m.pendingReleases[id]; ok {
		delete(m.pendingReleases, id)
		m.emit(release)
		return
	}
	r := m.live[id]
	if r == nil || r.state != stateAwaitingClaim {
		m.log(LogStrayClaim, id)
		return
	}
	m.awaitingClaim--
	r.claimed = true
	m.enqueue(r)
}

func (m *Machine) claimDenied(e ClaimDenied) {
	r := m.live[e.ID]
	if r == nil || r.state != stateAwaitingClaim {
		delete(m.pendingReleases, e.ID)
		m.log(LogStrayClaim, e.ID)
		return
	}
	m.refuse(r, e.Outcome, e.Reason)
	delete(m.pendingReleases, e.ID)
}

// releaseIfGranted schedules the release of the claim of a request that was refused
// while waiting for it, in case it is granted later, unless VerdictsMax releases are
// pending already.
func (m *Machine) releaseIfGranted(r *request) {
	if len(m.pendingReleases) < m.cfg.VerdictsMax {
		m.pendingReleases[r.id] = r.release()
	}
}

func (r *request) release() ReleaseClaim {
	return ReleaseClaim{ID: r.id, Service: r.service, Key: r.key}
}
