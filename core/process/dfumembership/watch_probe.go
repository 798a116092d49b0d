package dfumembership

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Which members watch the store follows from their rank, so a node has to know which of
// those that rank before it are gone. The failure detector finds the loss of one member
// after seconds, and of several only one after the other. The members of a zone therefore
// probe its watchers in addition. They use the results for their own rank and for the choice
// of peers that get adverts. It does no harm if nodes disagree and more of them watch for a
// while.

const (
	// WatchersPerZone is the number of members of a zone that watch the store.
	WatchersPerZone = 2
	// watchMonitors is the number of first-ranked members of a zone that probe its
	// watchers every WatchProbePeriod. All others together probe at most as often.
	watchMonitors = 16
	// maxConcurrentWatchProbes limits the probes of predecessors that are not overdue.
	maxConcurrentWatchProbes = 8
	// watchSequence is the sequence of these probes. Their answers start no syncs, since
	// all members of a zone would sync with its watchers.
	watchSequence = 0
)

// watchProbes holds the probes of members that rank before the node.
type watchProbes struct {
	next    dfuclock.Time
	pending []watchProbe
	// turn selects the member that is probed next.
	turn int
}

// watchProbe is a probe without an answer.
type watchProbe struct {
	subject *member
	// run is the run of the subject that was probed.
	run    dfuident.Member
	sentAt dfuclock.Time
	// repeated is set once the ping was sent again, since the first one may be lost.
	repeated bool
}

// stepWatchProbes handles probes without an answer and starts new ones.
func (m *Machine) stepWatchProbes(now dfuclock.Time) {
	if m.expireWatchProbes(now) {
		m.probePredecessors(now)
	}
	if now.Before(m.watchProbes.next) || m.self.update.State == Left {
		return
	}
	l := m.currentTopology()
	m.watchProbes.next = now.Add(m.watchProbePeriod(l))
	subjects := l.watchers
	if len(subjects) == 0 {
		// These would watch the store instead of this node if they answered.
		subjects = slices.DeleteFunc(slices.Clone(l.predecessors), func(h *member) bool { return !h.unresponsive })
	}
	if len(subjects) > 0 {
		m.watchProbes.turn++
		m.beginWatchProbe(now, subjects[m.watchProbes.turn%len(subjects)])
	}
}

// watchProbePeriod returns the time between two probes by this node.
func (m *Machine) watchProbePeriod(l *topology) dfuclock.Duration {
	if len(l.predecessors) < watchMonitors {
		return m.cfg.WatchProbePeriod
	}
	return m.cfg.WatchProbePeriod * dfuclock.Duration((l.zoneSize-1)/watchMonitors)
}

// expireWatchProbes marks the members that have not answered in time as unresponsive. It
// reports whether an answer is overdue.
func (m *Machine) expireWatchProbes(now dfuclock.Time) bool {
	overdue := false
	kept := m.watchProbes.pending[:0]
	for _, p := range m.watchProbes.pending {
		h := p.subject
		if h.update.Member != p.run || h.update.State != Alive {
			continue
		}
		overdue = overdue || !h.unresponsive && m.isOverdue(now, p)
		if now.Sub(p.sentAt) >= m.cfg.AckTimeout {
			m.setUnresponsive(h, true)
			continue
		}
		if !p.repeated && !h.unresponsive && m.isOverdue(now, p) {
			p.repeated = true
			m.pingWatcher(h)
		}
		kept = append(kept, p)
	}
	clear(m.watchProbes.pending[len(kept):])
	m.watchProbes.pending = kept
	return overdue
}

// isOverdue reports whether the subject of a probe has probably failed.
func (m *Machine) isOverdue(now dfuclock.Time, p watchProbe) bool {
	return now.Sub(p.sentAt) >= m.cfg.AckTimeout/2
}

// probePredecessors probes the members that rank before the node until two have
// answered, since others may have failed at the same time as a watcher.
func (m *Machine) probePredecessors(now dfuclock.Time) {
	answered, waiting := 0, 0
	for _, h := range m.currentTopology().predecessors {
		if h.unresponsive || h.update.Details.StoreLost {
			continue
		}
		i := m.pendingWatchProbe(h)
		switch {
		case now.Sub(h.heardAt) < m.cfg.AckTimeout:
			answered++
		case i < 0:
			m.beginWatchProbe(now, h)
			waiting++
		case !m.isOverdue(now, m.watchProbes.pending[i]):
			waiting++
		}
		if answered >= WatchersPerZone || waiting >= maxConcurrentWatchProbes {
			return
		}
	}
}

// beginWatchProbe pings a member unless a probe of it is pending.
func (m *Machine) beginWatchProbe(now dfuclock.Time, h *member) {
	if m.pendingWatchProbe(h) >= 0 {
		return
	}
	m.watchProbes.pending = append(m.watchProbes.pending, watchProbe{subject: h, run: h.update.Member, sentAt: now})
	m.pingWatcher(h)
}

// pingWatcher sends a ping without gossip, which would be lost with it.
func (m *Machine) pingWatcher(h *member) {
	to := h.contact()
	m.emit(to, Message{Kind: Ping, Sequence: watchSequence, Digest: m.Digest(), Updates: m.updatesAbout(to)})
}

// pendingWatchProbe returns the index of the pending probe of a member, or -1.
func (m *Machine) pendingWatchProbe(h *member) int {
	return slices.IndexFunc(m.watchProbes.pending, func(p watchProbe) bool { return p.subject == h })
}

// delayWatchProbes extends the time for the answers to pending probes after a tick that came
// late, since answers that had arrived meanwhile were not processed. A probe still fails
// after a few ticks if all of them are late.
func (m *Machine) delayWatchProbes(gap dfuclock.Duration) {
	for i := range m.watchProbes.pending {
		p := &m.watchProbes.pending[i]
		p.sentAt = p.sentAt.Add(max(0, gap-m.cfg.AckTimeout/2))
	}
}

// recordContact ends the probe of a member from which any message has arrived.
func (m *Machine) recordContact(now dfuclock.Time, from dfuident.Member) {
	h, ok := m.members[from.Node]
	if !ok || h.update.Member != from {
		return
	}
	h.heardAt = now
	if i := m.pendingWatchProbe(h); i >= 0 {
		m.watchProbes.pending = slices.Delete(m.watchProbes.pending, i, i+1)
	}
	m.setUnresponsive(h, false)
}

func (m *Machine) setUnresponsive(h *member, unresponsive bool) {
	if h.unresponsive == unresponsive {
		return
	}
	h.unresponsive = unresponsive
	m.topology.stale = true
	m.addAction(RanksChanged{})
}
