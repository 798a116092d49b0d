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
)

// maxDeletes is how many deletes the store remembers.
const maxDeletes = 1_000

// snapshot is what a reader sees.
type snapshot struct {
	revision dfuident.Revision
	// compacted is the highest revision of a forgotten delete.
	compacted dfuident.Revision
	records   map[string]dfustore.Record
}

// lease deletes its keys when its timer fires.
type lease struct {
	ttl   dfuclock.Duration
	timer *time.Timer
	keys  map[string]bool
}

// state is the content of the store.
type state struct {
	mu      sync.Mutex
	current snapshot
	// stale, if set, is what readers see in place of current.
	stale   *snapshot
	deletes []string
	leases  map[dfustore.LeaseID]*lease
	owners  map[string]dfustore.LeaseID
	granted dfustore.LeaseID
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newState() *state {
	return &state{
		current: snapshot{records: make(map[string]dfustore.Record)},
		leases:  make(map[dfustore.LeaseID]*lease),
		owners:  make(map[string]dfustore.LeaseID),
		changed: make(chan struct{}),
	}
}

// get returns the record of a key.
func (s *state) get(key string) dfustore.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.visible().records[key]
	record.Key = key
	return record
}

// list returns the records under a prefix, ordered by key.
func (s *state) list(prefix string) ([]dfustore.Record, dfuident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.visible()
	records := view.after(prefix, 0)
	slices.SortFunc(records, func(a, b dfustore.Record) int { return cmp.Compare(a.Key, b.Key) })
	return records, view.revision
}

// since returns the records under a prefix that changed after a revision and a
// channel that is closed at the next change.
func (s *state) since(prefix string, after dfuident.Revision) ([]dfustore.Record, snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.visible()
	return view.after(prefix, after), *view, s.changed
}

func (s *state) visible() *snapshot {
	if s.stale != nil {
		return s.stale
	}
	return &s.current
}

// after returns the records above a revision, ordered by revision.
func (v *snapshot) after(prefix string, after dfuident.Revision) []dfustore.Record {
	records := []dfustore.Record{}
	for key, record := range v.records {
		if record.Revision > after && strings.HasPrefix(key, prefix) {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b dfustore.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return records
}

// verdict is the answer to a write.
type verdict int

const (
	applied verdict = iota
	conflict
	noLease
)

// swap writes a key if its revision is the expected one.
func (s *state) swap(key string, expect dfuident.Revision, value []byte, id dfustore.LeaseID) (dfustore.Record, verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if id != 0 && held == nil {
		return dfustore.Record{}, noLease
	}
	if current, ok := s.matches(key, expect); !ok {
		return current, conflict
	}
	s.detach(key)
	if held != nil {
		held.keys[key] = true
		s.owners[key] = id
	}
	return s.put(dfustore.Record{Key: key, Value: value}), applied
}

// remove deletes a key if its revision is the expected one.
func (s *state) remove(key string, expect dfuident.Revision) (dfustore.Record, verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.matches(key, expect)
	if !ok || !current.Exists() {
		return current, conflict
	}
	return s.bury(key), applied
}

// matches reports whether a key is at the expected revision, where zero stands
// for a key that does not exist.
func (s *state) matches(key string, expect dfuident.Revision) (dfustore.Record, bool) {
	current := s.current.records[key]
	current.Key = key
	return current, current.Revision == expect || expect == 0 && !current.Exists()
}

// put stores a record under the next revision and wakes the watches.
func (s *state) put(record dfustore.Record) dfustore.Record {
	s.current.revision++
	record.Revision = s.current.revision
	s.current.records[record.Key] = record
	s.wake()
	return record
}

// bury replaces a record by the memory of its delete.
func (s *state) bury(key string) dfustore.Record {
	s.detach(key)
	s.deletes = append(s.deletes, key)
	if len(s.deletes) > maxDeletes {
		s.forget(s.deletes[0])
		s.deletes = s.deletes[1:]
	}
	return s.put(dfustore.Record{Key: key, Deleted: true})
}

// forget drops the memory of a delete.
func (s *state) forget(key string) {
	record := s.current.records[key]
	if !record.Deleted {
		return
	}
	s.current.compacted = max(s.current.compacted, record.Revision)
	delete(s.current.records, key)
}

// detach frees a key from its lease.
func (s *state) detach(key string) {
	if held := s.leases[s.owners[key]]; held != nil {
		delete(held.keys, key)
	}
	delete(s.owners, key)
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
	s.leases[id] = &lease{
		ttl:   ttl,
		timer: time.AfterFunc(ttl.Std(), func() { s.revoke(id) }),
		keys:  make(map[string]bool),
	}
	return id
}

// keepAlive starts the time of a lease anew and reports whether it exists.
func (s *state) keepAlive(id dfustore.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	return held != nil && held.timer.Reset(held.ttl.Std())
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
	for _, key := range slices.Sorted(maps.Keys(held.keys)) {
		s.bury(key)
	}
	return true
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
		view.records = maps.Clone(view.records)
		s.stale = &view
	}
	s.wake()
}

// compact forgets every delete.
func (s *state) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range s.deletes {
		s.forget(key)
	}
	s.deletes = nil
}

// close ends all leases without deleting their keys.
func (s *state) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.leases {
		held.timer.Stop()
	}
}
