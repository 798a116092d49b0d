package dfustorestandin

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/platform"
)

const (
	// maxHistory is the number of changes that the store keeps for watches.
	maxHistory = 1_000
	// maxPageItems is the maximum number of items of a page.
	maxPageItems = 500
)

// reservedPrefixes are the prefixes of keys that only operators and targets write.
var reservedPrefixes = []string{"op/", "servers/"}

// snapshot is the content of the store at a revision.
type snapshot struct {
	revision dfuident.Revision
	items    map[string]dfuplatform.Item
	// history holds the latest changes, oldest first, for watches.
	history []dfuplatform.Item
	// compacted is the revision of the newest change removed from history.
	compacted dfuident.Revision
}

// lease is revoked, and its keys are deleted, when its timer fires.
type lease struct {
	ttl   dfuclock.Duration
	timer *time.Timer
}

// state is the content of the store with its leases and history.
type state struct {
	mu      sync.Mutex
	current snapshot
	// stale, if set, is the snapshot for reads and watches in place of current.
	stale  *snapshot
	leases map[dfustore.LeaseID]*lease
	// lastLeaseID is the id of the lease that was granted last.
	lastLeaseID dfustore.LeaseID
	// changed is closed and replaced when readers may see a change.
	changed chan struct{}
	// cuts counts the restorations that cut waiting watches.
	cuts int
}

func newState() *state {
	return &state{
		current: snapshot{items: make(map[string]dfuplatform.Item)},
		leases:  make(map[dfustore.LeaseID]*lease),
		changed: make(chan struct{}),
	}
}

// get returns the item of a key, whether it exists, and the revision of the store.
func (s *state) get(key string) (dfuplatform.Item, bool, dfuident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.readSnapshot()
	item, ok := view.items[key]
	return item, ok, view.revision
}

// list returns up to maxPageItems items with a prefix and a key greater than
// after, in the order of their keys, whether there are more, and the revision of
// the store.
func (s *state) list(prefix, after string) ([]dfuplatform.Item, bool, dfuident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.readSnapshot()
	items := []dfuplatform.Item{}
	for key, item := range view.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b dfuplatform.Item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > maxPageItems
	return items[:min(len(items), maxPageItems)], more, view.revision
}

// changesSince returns the changes with a prefix after a revision and the revision
// of the store. The third result is false if the history no longer holds all of
// these changes. The channel is closed at the next change.
func (s *state) changesSince(prefix string, after dfuident.Revision) ([]dfuplatform.Item, dfuident.Revision, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.readSnapshot()
	if after < view.compacted {
		return nil, view.revision, false, s.changed
	}
	events := []dfuplatform.Item{}
	for _, item := range view.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, view.revision, true, s.changed
}

// readSnapshot returns the snapshot for reads and watches. The mutex must be held.
func (s *state) readSnapshot() *snapshot {
	if s.stale != nil {
		return s.stale
	}
	return &s.current
}

// commit applies all changes of a transaction if its conditions hold. It refuses
// unknown leases and reserved keys before it checks the conditions.
func (s *state) commit(c dfuplatform.Commit) dfuplatform.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range c.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return dfuplatform.CommitResult{NoLease: true}
		}
		if isReserved(w.Key) {
			return dfuplatform.CommitResult{Forbidden: true}
		}
	}
	if slices.ContainsFunc(c.Deletes, isReserved) {
		return dfuplatform.CommitResult{Forbidden: true}
	}
	conflict := false
	var current []dfuplatform.Item
	for _, e := range c.Expected {
		item, ok := s.current.items[e.Key]
		conflict = conflict || item.Revision != e.Revision
		if ok {
			current = append(current, item)
		}
	}
	if conflict {
		return dfuplatform.CommitResult{Conflict: true, Current: current}
	}
	s.current.revision++
	for _, w := range c.Writes {
		s.put(w)
	}
	for _, key := range c.Deletes {
		s.deleteKey(key)
	}
	s.notify()
	return dfuplatform.CommitResult{Revision: s.current.revision}
}

func isReserved(key string) bool {
	return slices.ContainsFunc(reservedPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// putUnconditional writes a key without a condition and returns its new revision.
func (s *state) putUnconditional(key string, value []byte) dfuident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.revision++
	s.put(dfuplatform.Write{Key: key, Value: value})
	s.notify()
	return s.current.revision
}

func (s *state) deleteUnconditional(key string) dfuident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.revision++
	s.deleteKey(key)
	s.notify()
	return s.current.revision
}

// put writes an item at the current revision. The mutex must be held.
func (s *state) put(w dfuplatform.Write) {
	item := dfuplatform.Item{
		Record:  dfustore.Record{Key: w.Key, Value: w.Value, Revision: s.current.revision},
		Created: s.current.revision,
		Lease:   w.Lease,
	}
	if old, ok := s.current.items[w.Key]; ok {
		item.Created = old.Created
	}
	s.current.items[w.Key] = item
	s.appendHistory(item)
}

// deleteKey deletes a key at the current revision. The mutex must be held.
func (s *state) deleteKey(key string) {
	delete(s.current.items, key)
	s.appendHistory(dfuplatform.Item{Record: dfustore.Record{Key: key, Revision: s.current.revision, Deleted: true}})
}

// appendHistory records a change for watches and keeps the last maxHistory changes.
// The mutex must be held.
func (s *state) appendHistory(item dfuplatform.Item) {
	s.current.history = append(s.current.history, item)
	if len(s.current.history) > maxHistory {
		s.current.compacted = s.current.history[0].Revision
		s.current.history = slices.Clone(s.current.history[1:])
	}
}

// notify wakes the watches that wait for a change. The mutex must be held.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// grantLease creates a lease that expires after ttl unless it is kept alive.
func (s *state) grantLease(ttl dfuclock.Duration) dfustore.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	id := s.lastLeaseID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl.Std(), func() { s.revokeLease(id) })}
	return id
}

// keepAlive restarts the timer of a lease and returns its ttl. It reports false if
// the lease does not exist or has just expired.
func (s *state) keepAlive(id dfustore.LeaseID) (dfuclock.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Reset(l.ttl.Std()) {
		return 0, false
	}
	return l.ttl, true
}

// revokeLease ends a lease, deletes its keys and reports whether it existed.
func (s *state) revokeLease(id dfustore.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.current.items)) {
		if s.current.items[key].Lease == id {
			s.current.revision++
			s.deleteKey(key)
		}
	}
	s.notify()
	return true
}

// revokeAllLeases ends all leases and deletes their keys.
func (s *state) revokeAllLeases() {
	s.mu.Lock()
	ids := slices.Sorted(maps.Keys(s.leases))
	s.mu.Unlock()
	for _, id := range ids {
		s.revokeLease(id)
	}
}

// setStale makes reads and watches see the current content until it is called with
// false.
func (s *state) setStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !on:
		s.stale = nil
	case s.stale == nil:
		view := s.current
		view.items = maps.Clone(view.items)
		view.history = slices.Clone(view.history)
		s.stale = &view
	}
	s.notify()
}

// copy returns a copy of the content.
func (s *state) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.current
	copied.items = maps.Clone(copied.items)
	copied.history = slices.Clone(copied.history)
	return copied
}

// restore replaces the content. Watches that wait are cut, or go on from where they are.
func (s *state) restore(content snapshot, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = content
	s.current.items = maps.Clone(content.items)
	s.current.history = slices.Clone(content.history)
	if cut {
		s.cuts++
	}
	s.notify()
}

// countAnew returns the content with revisions from 1, in the order of the latest changes,
// without history.
func (s snapshot) countAnew() snapshot {
	items := slices.SortedFunc(maps.Values(s.items), func(a, b dfuplatform.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	anew := snapshot{items: make(map[string]dfuplatform.Item)}
	for _, item := range items {
		anew.revision++
		item.Revision, item.Created = anew.revision, anew.revision
		anew.items[item.Key] = item
	}
	anew.compacted = anew.revision
	return anew
}

// cutCount returns the number of restorations that have cut waiting watches.
func (s *state) cutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// compact discards the history.
func (s *state) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.compacted = s.current.revision
	s.current.history = nil
	s.notify()
}

// close stops the timers of all leases without deleting their keys.
func (s *state) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
