package dfugate

import (
	"dragonflyusher/core/process/dfuident"
)

func (m *Machine) claimGranted(id dfuident.RequestID) {
	if release, ok := m.unwanted[id]; ok {
		delete(m.unwanted, id)
		m.emit(release)
		return
	}
	r := m.live[id]
	if r == nil || r.state != stateClaiming {
		m.log(LogStrayClaim, id)
		return
	}
	m.claiming--
	r.claimed = true
	m.enqueue(r)
}

func (m *Machine) claimDenied(e ClaimDenied) {
	r := m.live[e.ID]
	if r == nil || r.state != stateClaiming {
		delete(m.unwanted, e.ID)
		m.log(LogStrayClaim, e.ID)
		return
	}
	m.refuse(r, e.Outcome, e.Reason)
	delete(m.unwanted, e.ID)
}

// disown makes sure that the claim of a request that is refused while it waits
// for the claim is given back, should it be granted.
func (m *Machine) disown(r *record) {
	if len(m.unwanted) < m.cfg.VerdictsMax {
		m.unwanted[r.id] = r.release()
	}
}

func (r *record) release() ReleaseClaim {
	return ReleaseClaim{ID: r.id, Service: r.service, Key: r.key}
}
