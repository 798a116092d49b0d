package dfurecord

import (
	"maps"
	"slices"

	"dragonflyusher/core/process/dfuident"
)

// Set is a bounded collection of records. For each key it keeps the greatest
// revision met and the greatest valid one; neither ever falls. A Set belongs
// to one goroutine.
type Set struct {
	check      Check
	limits     Limits
	held       map[string]*held
	live       int
	tombstones int
	buckets    [bucketCount]uint64
	// floor is the greatest revision of an evicted tombstone. A peer's copy
	// of an unknown key at or below it may be of a deleted key.
	floor  dfuident.Revision
	counts [len(verdictNames)]uint64
}

// held is what the set keeps for one key.
type held struct {
	inForce Record
	// noted is above inForce.Revision only while invalid is not empty.
	noted   Record
	invalid string
	// floor is the set's when the key was added.
	floor dfuident.Revision
}

// New returns an empty set. The check decides which values may come into
// force; nil accepts all.
func New(limits Limits, check Check) *Set {
	if check == nil {
		check = func(string, []byte) error { return nil }
	}
	return &Set{check: check, limits: limits, held: make(map[string]*held)}
}

// MergeFromPeer merges one record of a peer's copy.
func (s *Set) MergeFromPeer(r Record) Verdict {
	return s.merge(r, 0)
}

// MergeFromStore merges one record that the store itself returned as of a
// revision. The store may have answered from an old replica, so the revision
// still decides.
func (s *Set) MergeFromStore(r Record, asOf dfuident.Revision) Verdict {
	return s.merge(r, asOf)
}

// MergeList merges the store's whole list of the keys under a prefix as of a
// revision, and returns the records that changed the set. A key that isn't
// listed was deleted by then, so it gets a tombstone of that revision, which
// counts only if what is in force is older.
func (s *Set) MergeList(prefix string, listed []Record, revision dfuident.Revision) []Record {
	present := make(map[string]bool, len(listed))
	var changed []Record
	for _, r := range listed {
		present[r.Key] = true
		if s.MergeFromStore(r, revision).Changed() {
			changed = append(changed, r)
		}
	}
	for _, key := range s.keys(prefix) {
		h, ok := s.held[key]
		if !ok || present[key] || h.noted.Deleted {
			continue
		}
		tombstone := Record{Key: key, Revision: revision, Deleted: true}
		if s.MergeFromStore(tombstone, revision).Changed() {
			changed = append(changed, tombstone)
		}
	}
	return changed
}

// Get returns the record in force for a key. It reports false for a deleted or
// unknown key.
func (s *Set) Get(key string) (Record, bool) {
	h, ok := s.held[key]
	if !ok || h.inForce.Revision == 0 || h.inForce.Deleted {
		return Record{}, false
	}
	return h.inForce, true
}

// Under returns the records in force whose keys have a prefix, sorted by key,
// without tombstones.
func (s *Set) Under(prefix string) []Record {
	var records []Record
	for _, key := range s.keys(prefix) {
		if r, ok := s.Get(key); ok {
			records = append(records, r)
		}
	}
	return records
}

// Revisions returns the two revisions held for a key, zero if unknown.
func (s *Set) Revisions(key string) Summary {
	h, ok := s.held[key]
	if !ok {
		return Summary{Key: key}
	}
	return h.summary(key)
}

// Greatest returns the greatest revision met under a prefix.
func (s *Set) Greatest(prefix string) dfuident.Revision {
	var greatest dfuident.Revision
	for key, h := range s.held {
		if hasPrefix(key, prefix) {
			greatest = max(greatest, h.noted.Revision)
		}
	}
	return greatest
}

// Invalid returns the keys whose newest value fails its check, sorted by key.
func (s *Set) Invalid() []Invalid {
	var invalid []Invalid
	for _, key := range s.keys("") {
		h := s.held[key]
		if h.invalid != "" {
			invalid = append(invalid, Invalid{
				Key: key, Revision: h.noted.Revision,
				InForce: h.inForce.Revision, Message: h.invalid,
			})
		}
	}
	return invalid
}

// Count returns how many records met a verdict.
func (s *Set) Count(v Verdict) uint64 {
	return s.counts[v]
}

// merge merges a record that the store held as of a revision, or zero if a peer
// held it.
func (s *Set) merge(r Record, asOf dfuident.Revision) Verdict {
	v := s.decide(r, asOf)
	s.counts[v]++
	return v
}

func (s *Set) decide(r Record, asOf dfuident.Revision) Verdict {
	h, ok := s.held[r.Key]
	if !ok {
		h = &held{floor: s.floor}
	}
	full := !ok && !r.Deleted && s.live >= s.limits.Keys
	if full || r.Revision == 0 || dfuident.Bytes(len(r.Value)) > s.limits.ValueBytes {
		return Full
	}
	if r.Revision < h.inForce.Revision {
		return Stale
	}
	// The key may have been deleted since. Only the store's word from after
	// the floor tells.
	if h.inForce.Revision == 0 && r.Revision <= h.floor && asOf < h.floor {
		return Unproven
	}
	if r.Revision == h.inForce.Revision || (r.Revision == h.noted.Revision && h.invalid != "") {
		return Known
	}
	s.account(r.Key, h, -1)
	v := h.take(r, s.check)
	s.account(r.Key, h, +1)
	if v.Changed() {
		s.held[r.Key] = h
		s.evictTombstone()
	}
	return v
}

// take moves the key to a revision above the one in force.
func (h *held) take(r Record, check Check) Verdict {
	if !r.Deleted {
		if err := check(r.Key, r.Value); err != nil {
			if r.Revision <= h.noted.Revision {
				return Stale
			}
			h.noted = r
			h.invalid = err.Error()
			return Noted
		}
	}
	h.inForce = r
	if r.Revision >= h.noted.Revision {
		h.noted = r
		h.invalid = ""
	}
	return Taken
}

// account adds or, with a negative sign, takes away a key's share of the
// digest and of the counts that the limits bound.
func (s *Set) account(key string, h *held, sign int) {
	if h.noted.Revision == 0 {
		return
	}
	s.buckets[bucketOf(key)] += uint64(sign) * h.summary(key).hash()
	if h.isTombstone() {
		s.tombstones += sign
	} else {
		s.live += sign
	}
}

// evictTombstone forgets the oldest tombstone once there are too many, and
// raises the floor below which a peer's copy proves nothing.
func (s *Set) evictTombstone() {
	if s.tombstones <= s.limits.Tombstones {
		return
	}
	var oldest string
	for key, h := range s.held {
		if h.isTombstone() && (oldest == "" || h.olderThan(s.held[oldest], key < oldest)) {
			oldest = key
		}
	}
	h := s.held[oldest]
	s.account(oldest, h, -1)
	s.floor = max(s.floor, h.noted.Revision)
	delete(s.held, oldest)
}

// olderThan orders by revision and then as told. A list gives several
// tombstones the same revision.
func (h *held) olderThan(other *held, tie bool) bool {
	if h.noted.Revision == other.noted.Revision {
		return tie
	}
	return h.noted.Revision < other.noted.Revision
}

func (h *held) isTombstone() bool {
	return h.noted.Deleted
}

func (h *held) summary(key string) Summary {
	return Summary{Key: key, Noted: h.noted.Revision, InForce: h.inForce.Revision}
}

func (s *Set) keys(prefix string) []string {
	keys := make([]string, 0, len(s.held))
	for key := range maps.Keys(s.held) {
		if hasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
