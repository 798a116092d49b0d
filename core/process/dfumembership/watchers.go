package dfumembership

// Watchers returns the contacts of the members of the zone that watch the store, in the
// order of their ranks, without the node itself.
func (m *Machine) Watchers() []Contact {
	l := m.currentTopology()
	var contacts []Contact
	for rank, h := range l.ranked[:min(len(l.ranked), WatchersPerZone)] {
		if rank != l.watchRank {
			contacts = append(contacts, h.contact())
		}
	}
	return contacts
}
