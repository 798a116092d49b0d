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
	// maxHistory is how many changes the store remembers for its watches.
	maxHistory = 1_000
	// pageItems is how many items a page holds at the most.
	pageItems = 500
)

// ownerPrefixes precede the keys that only operators and targets write.
var ownerPrefixes = []string{"op/", "servers/"}

// snapshot is what a reader sees.
type snapshot struct {
	revision dfuident.Revision
	items    map[string]dfuplatform.Item
	// history holds the latest changes, oldest first, and forgotten is the
	// revision of the newest one that is no longer among them.
	history   []dfuplatform.Item
	forgotten dfuident.Revision
}

// lease deletes its keys when its timer fires.
type lease struct {
	ttl   dfuclock.Duration
	timer *time.Timer
}

// state is the content of the store.
type state struct {
	mu      sync.Mutex
	current snapshot
	// stale, if set, is what readers see in place of current.
	stale   *snapshot
	leases  map[dfustore.LeaseID]*lease
	granted dfustore.LeaseID
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newState() *state {
	return &state{
		current: snapshot{items: make(map[string]dfuplatform.Item)},
		leases:  make(map[dfustore.LeaseID]*lease),
		changed: make(chan struct{}),
	}
}

// get returns the item of a key, if there is one.
func (s *state) get(key string) (dfuplatform.Item, bool, dfuident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.visible()
	item, ok := view.items[key]
	return item, ok, view.revision
}

// page returns the items under a prefix after a key, ordered by key, and
// whether there are more.
func (s *state) page(prefix, after string) ([]dfuplatform.Item, bool, dfuident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.visible()
	items := []dfuplatform.Item{}
	for key, item := range view.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b dfuplatform.Item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	return items[:min(len(items), pageItems)], more, view.revision
}

// since returns the changes under a prefix after a revision, whether all of them
// are remembered, and a channel that is closed at the next change.
func (s *state) since(prefix string, after dfuident.Revision) ([]dfuplatform.Item, dfuident.Revision, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.visible()
	if after < view.forgotten {
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

func (s *state) visible() *snapshot {
	if s.stale != nil {
		return s.stale
	}
	return &s.current
}

// commit makes a set of changes together if its conditions hold.
func (s *state) commit(c dfuplatform.Commit) dfuplatform.Committed {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range c.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return dfuplatform.Committed{NoLease: true}
		}
		if isOwned(w.Key) {
			return dfuplatform.Committed{Forbidden: true}
		}
	}
	if slices.ContainsFunc(c.Deletes, isOwned) {
		return dfuplatform.Committed{Forbidden: true}
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
		return dfuplatform.Committed{Conflict: true, Current: current}
	}
	s.current.revision++
	for _, w := range c.Writes {
		s.put(w)
	}
	for _, key := range c.Deletes {
		s.bury(key)
	}
	s.wake()
	return dfuplatform.Committed{Revision: s.current.revision}
}

func isOwned(key string) bool {
	return slices.ContainsFunc(ownerPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// operate writes a key without a condition.
func (s *state) operate(key string, value []byte) dfuident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.revision++
	s.put(dfuplatform.Write{Key: key, Value: value})
	s.wake()
	return s.current.revision
}

// put stores an item under the present revision.
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
	s.remember(item)
}

// bury deletes a key under the present revision.
func (s *state) bury(key string) {
	delete(s.current.items, key)
	s.remember(dfuplatform.Item{Record: dfustore.Record{Key: key, Revision: s.current.revision, Deleted: true}})
}

func (s *state) remember(item dfuplatform.Item) {
	s.current.history = append(s.current.history, item)
	if len(s.current.history) > maxHistory {
		s.current.forgotten = s.current.history[0].Revision
		s.current.history = slices.Clone(s.current.history[1:])
	}
}

func (s *state) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// grant opens a lease.
func (s *state) grant(ttl dfuclock.Duration) dfustore.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	id := s.granted
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl.Std(), func() { s.revoke(id) })}
	return id
}

// keepAlive starts the time of a lease anew and reports whether it exists.
func (s *state) keepAlive(id dfustore.LeaseID) (dfuclock.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil || !held.timer.Reset(held.ttl.Std()) {
		return 0, false
	}
	return held.ttl, true
}

// revoke ends a lease, deletes its keys and reports whether it existed.
func (s *state) revoke(id dfustore.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		return false
	}
	held.timer.Stop()
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.current.items)) {
		if s.current.items[key].Lease == id {
			s.current.revision++
			s.bury(key)
		}
	}
	s.wake()
	return true
}

// revokeAll ends every lease.
func (s *state) revokeAll() {
	s.mu.Lock()
	ids := slices.Sorted(maps.Keys(s.leases))
	s.mu.Unlock()
	for _, id := range ids {
		s.revoke(id)
	}
}

// freeze makes readers see the present content until it is called with false.
func (s *state) freeze(on bool) {
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
	s.wake()
}

// compact forgets the history.
func (s *state) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.forgotten = s.current.revision
	s.current.history = nil
	s.wake()
}

// close ends all leases without deleting their keys.
func (s *state) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.leases {
		held.timer.Stop()
	}
}
