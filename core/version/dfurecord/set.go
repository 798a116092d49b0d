package dfurecord

import (
	"bytes"
	"maps"
	"slices"

	"dragonflyusher/core/process/dfuident"
)

// Set is a bounded collection of records. For each key it keeps the greatest
// revision received and the greatest valid revision; neither ever decreases. If the
// writers of a key number its values, the valid value of the greatest version is in force
// instead, since the store may return an older one at a greater revision after it was restored. A
// Set is not safe for concurrent use.
type Set struct {
	check      Check
	versionOf  VersionOf
	limits     Limits
	keyState   map[string]*keyState
	liveKeys   int
	tombstones int
	buckets    [bucketCount]uint64
	// evictionFloor is the greatest revision of an evicted tombstone. A peer's
	// record of an unknown key at or below this revision may be of a key
	// deleted since.
	evictionFloor dfuident.Revision
	counts        [len(mergeResultNames)]uint64
}

// keyState is the state of one key.
type keyState struct {
	inForce Record
	// version is that of inForce.
	version Version
	// noted differs from inForce only while invalid is not empty.
	noted Record
	// invalid is the reason why noted is not in force, or empty.
	invalid string
	// outdated is set if that reason is that noted is an older version than inForce.
	outdated bool
	// evictionFloor is the set's evictionFloor at the time the key was added.
	evictionFloor dfuident.Revision
}

// New returns an empty set. A value comes into force only if check accepts it;
// a nil check accepts all values. With a nil versionOf no key has versions.
func New(limits Limits, check Check, versionOf VersionOf) *Set {
	if check == nil {
		check = func(string, []byte) error { return nil }
	}
	if versionOf == nil {
		versionOf = func(string, []byte) Version { return 0 }
	}
	return &Set{check: check, versionOf: versionOf, limits: limits, keyState: make(map[string]*keyState)}
}

// MergeFromPeer merges one record of a peer's copy.
func (s *Set) MergeFromPeer(r Record) MergeResult {
	return s.merge(r, 0)
}

// MergeFromStore merges one record that the store returned. asOf is the store
// revision that the response reflects. The record's revision is still compared,
// since the response may come from a replica that lags behind.
func (s *Set) MergeFromStore(r Record, asOf dfuident.Revision) MergeResult {
	return s.merge(r, asOf)
}

// MergeList merges the store's complete list of the keys under a prefix at a
// revision, and returns the records that changed the set. A held key that is
// not listed had been deleted by that revision, so it gets a tombstone with
// that revision, which takes effect only if the record in force is older.
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
		state, ok := s.keyState[key]
		if !ok || present[key] || state.noted.Deleted {
			continue
		}
		tombstone := Record{Key: key, Revision: revision, Deleted: true}
		if s.MergeFromStore(tombstone, revision).Changed() {
			changed = append(changed, tombstone)
		}
	}
	return changed
}

// Get returns the record in force for a key. It returns false if the key is
// unknown, deleted, or has no valid value.
func (s *Set) Get(key string) (Record, bool) {
	state, ok := s.keyState[key]
	if !ok || state.inForce.Revision == 0 || state.inForce.Deleted {
		return Record{}, false
	}
	return state.inForce, true
}

// WithPrefix returns the records in force whose keys have the prefix, sorted by
// key, without tombstones.
func (s *Set) WithPrefix(prefix string) []Record {
	var records []Record
	for _, key := range s.keys(prefix) {
		if r, ok := s.Get(key); ok {
			records = append(records, r)
		}
	}
	return records
}

// Revisions returns the two revisions held for a key. Both are zero if the key
// is unknown.
func (s *Set) Revisions(key string) Summary {
	state, ok := s.keyState[key]
	if !ok {
		return Summary{Key: key}
	}
	return state.summary(key)
}

// GreatestRevision returns the greatest revision received under a prefix, or
// zero.
func (s *Set) GreatestRevision(prefix string) dfuident.Revision {
	var greatest dfuident.Revision
	for key, state := range s.keyState {
		if hasPrefix(key, prefix) {
			greatest = max(greatest, state.noted.Revision)
		}
	}
	return greatest
}

// Invalid returns the keys whose newest value is invalid, sorted by key.
func (s *Set) Invalid() []Invalid {
	var invalid []Invalid
	for _, key := range s.keys("") {
		state := s.keyState[key]
		if state.invalid != "" {
			invalid = append(invalid, Invalid{
				Key: key, Revision: state.noted.Revision,
				InForce: state.inForce.Revision, Message: state.invalid,
			})
		}
	}
	return invalid
}

// Count returns the number of merges with the given result.
func (s *Set) Count(result MergeResult) uint64 {
	return s.counts[result]
}

// merge applies a record and counts the result. asOf is zero for a record from
// a peer.
func (s *Set) merge(r Record, asOf dfuident.Revision) MergeResult {
	result := s.apply(r, asOf)
	s.counts[result]++
	return result
}

func (s *Set) apply(r Record, asOf dfuident.Revision) MergeResult {
	state, ok := s.keyState[r.Key]
	if !ok {
		state = &keyState{evictionFloor: s.evictionFloor}
	}
	full := !ok && !r.Deleted && s.liveKeys >= s.limits.Keys
	if full || r.Revision == 0 || dfuident.Bytes(len(r.Value)) > s.limits.ValueBytes {
		return NotStored
	}
	if r.Revision < state.inForce.Revision && !s.hasNewerVersion(state, r) {
		return Stale
	}
	// The key may have been deleted after this revision. Only a store response
	// that reflects evictionFloor or later rules that out.
	if state.inForce.Revision == 0 && r.Revision <= state.evictionFloor && asOf < state.evictionFloor {
		return MaybeDeleted
	}
	if r.Revision == state.inForce.Revision || (r.Revision == state.noted.Revision && state.invalid != "") {
		return AlreadyHeld
	}
	s.addToTotals(r.Key, state, -1)
	result := s.advance(state, r)
	s.addToTotals(r.Key, state, +1)
	if result.Changed() {
		s.keyState[r.Key] = state
		s.evictTombstone()
	}
	return result
}

// hasNewerVersion reports whether a record has a greater version than the one in force.
func (s *Set) hasNewerVersion(state *keyState, r Record) bool {
	return !r.Deleted && state.version != 0 && s.check(r.Key, r.Value) == nil && s.versionOf(r.Key, r.Value) > state.version
}

// advance updates the key to a record whose revision or version is greater than that in force.
func (s *Set) advance(state *keyState, r Record) MergeResult {
	var version Version
	if !r.Deleted {
		if err := s.check(r.Key, r.Value); err != nil {
			return state.note(r, err.Error(), false)
		}
		version = s.versionOf(r.Key, r.Value)
		if version < state.version {
			return state.note(r, outdatedReason, true)
		}
	}
	state.inForce, state.version = r, max(state.version, version)
	if r.Revision >= state.noted.Revision {
		state.noted, state.invalid, state.outdated = r, "", false
	} else if state.invalid == "" {
		state.invalid, state.outdated = outdatedReason, true
	}
	return Merged
}

// outdatedReason is the reason why a newer record with a smaller version is not in force.
const outdatedReason = "it is an older version than the one in force"

// note keeps a record that doesn't come into force.
func (state *keyState) note(r Record, reason string, outdated bool) MergeResult {
	if r.Revision <= state.noted.Revision {
		return Stale
	}
	state.noted, state.invalid, state.outdated = r, reason, outdated
	return MergedInvalid
}

// UpToDate returns the revision of the newest record of a key if nothing newer than the value
// in force is known, zero otherwise.
func (s *Set) UpToDate(key string) dfuident.Revision {
	state, ok := s.keyState[key]
	if !ok || state.invalid != "" && !state.outdated {
		return 0
	}
	return state.noted.Revision
}

// ContradictedBy reports whether a record that the store returned shows that its revisions have
// become smaller since it had the one in force: the record has a newer version or another value at a
// revision that isn't greater, or is older although it was listed as of a later revision.
func (s *Set) ContradictedBy(r Record, listed bool, asOf dfuident.Revision) bool {
	state, ok := s.keyState[r.Key]
	if !ok || r.Revision.Era() != state.noted.Revision.Era() {
		return false
	}
	if listed && r.Revision < state.noted.Revision && asOf >= state.noted.Revision {
		return true
	}
	held := state.inForce
	if r.Revision == state.noted.Revision {
		held = state.noted
	}
	switch {
	case r.Revision > held.Revision:
		return false
	case r.Revision == held.Revision:
		return r.Deleted != held.Deleted || !bytes.Equal(r.Value, held.Value)
	default:
		return s.hasNewerVersion(state, r)
	}
}

// addToTotals adds the key's share to the bucket digest and to the counts that
// the limits bound. With sign -1 it subtracts the share.
func (s *Set) addToTotals(key string, state *keyState, sign int) {
	if state.noted.Revision == 0 {
		return
	}
	s.buckets[bucketOf(key)] += uint64(sign) * state.summary(key).hash()
	if state.isTombstone() {
		s.tombstones += sign
	} else {
		s.liveKeys += sign
	}
}

// evictTombstone removes the oldest tombstone once there are too many, and
// raises evictionFloor to its revision.
func (s *Set) evictTombstone() {
	if s.tombstones <= s.limits.Tombstones {
		return
	}
	var oldest string
	for key, state := range s.keyState {
		if state.isTombstone() && (oldest == "" || state.olderThan(s.keyState[oldest], key < oldest)) {
			oldest = key
		}
	}
	state := s.keyState[oldest]
	s.addToTotals(oldest, state, -1)
	s.evictionFloor = max(s.evictionFloor, state.noted.Revision)
	delete(s.keyState, oldest)
}

// olderThan orders by revision. tie decides between equal revisions, since
// MergeList gives several tombstones the same revision.
func (state *keyState) olderThan(other *keyState, tie bool) bool {
	if state.noted.Revision == other.noted.Revision {
		return tie
	}
	return state.noted.Revision < other.noted.Revision
}

func (state *keyState) isTombstone() bool {
	return state.noted.Deleted
}

func (state *keyState) summary(key string) Summary {
	return Summary{Key: key, Noted: state.noted.Revision, InForce: state.inForce.Revision, Version: state.version}
}

// keys returns the keys with a prefix, sorted.
func (s *Set) keys(prefix string) []string {
	keys := make([]string, 0, len(s.keyState))
	for key := range maps.Keys(s.keyState) {
		if hasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
