package dfuclaim

import (
	"cmp"
	"container/heap"
	"slices"

	"dragonflyusher/core/process/dfuident"
)

// RecordState is the progress of a key's request.
type RecordState string

// The states of a record. A record in state RecordAsked has not been granted and
// exists at its owner only. A copy holder records a claim as running.
const (
	RecordAsked   RecordState = "asked"
	RecordRunning RecordState = "running"
	// RecordRan means that the target answered.
	RecordRan RecordState = "ran"
	// RecordLost means that it is unknown whether the request took effect.
	RecordLost RecordState = "lost"
)

// Record is the state of one key.
type Record struct {
	Key      dfuident.Key
	Birth    UnixMs
	State    RecordState
	Request  dfuident.RequestID
	Runner   dfuident.Member
	Sequence Sequence
	// Kept is set if Status and Answer hold the answer to the key's first request.
	Kept   bool
	Status int
	Answer []byte
}

// finished reports whether the record's request has ended.
func (r *Record) finished() bool {
	return r.State == RecordRan || r.State == RecordLost
}

// records holds a bounded number of records of a shard. The record of a key that
// was created at or before floor may have been evicted.
type records struct {
	byKey map[dfuident.Key]*Record
	// births orders all records by the creation time of their keys, oldest first.
	births birthHeap
	floor  UnixMs
	// answers lists the keys whose answer is kept, in the order in which the answers
	// were added.
	answers     []dfuident.Key
	answerBytes dfuident.Bytes
	limits      Limits
}

// newRecords returns an empty set of records with the given floor.
func newRecords(limits Limits, floor UnixMs) *records {
	return &records{byKey: make(map[dfuident.Key]*Record), floor: floor, limits: limits}
}

// get returns the record of a key, or nil.
func (s *records) get(key dfuident.Key) *Record {
	return s.byKey[key]
}

// maybeEvicted reports whether a key without a record, created at birth, may have
// had one.
func (s *records) maybeEvicted(birth UnixMs) bool {
	return birth <= s.floor
}

// put adds or replaces a record. Above the maximum number of records it evicts the
// one with the oldest key, which may be the new one.
func (s *records) put(r Record) {
	answer := r.Answer
	status, kept := r.Status, r.Kept
	r.Kept, r.Status, r.Answer = false, 0, nil
	if old := s.byKey[r.Key]; old != nil {
		s.dropAnswer(old)
		*old = r
	} else {
		s.byKey[r.Key] = &r
		heap.Push(&s.births, birthEntry{r.Birth, r.Key})
	}
	if kept {
		s.keepAnswer(s.byKey[r.Key], status, answer)
	}
	if len(s.byKey) > s.limits.Records {
		s.evictOldest()
	}
}

// remove deletes the record of a request that has not run. The floor stays as it
// is, so that the key may be claimed again.
func (s *records) remove(key dfuident.Key) {
	r := s.byKey[key]
	if r == nil {
		return
	}
	s.dropAnswer(r)
	delete(s.byKey, key)
	i := slices.IndexFunc(s.births, func(b birthEntry) bool { return b.key == key })
	heap.Remove(&s.births, i)
}

// expire evicts the records of keys created at or before cutoff.
func (s *records) expire(cutoff UnixMs) {
	for len(s.births) > 0 && s.births[0].birth <= cutoff {
		s.evictOldest()
	}
}

// maxBirth returns the latest creation time among the recorded keys and the floor.
func (s *records) maxBirth() UnixMs {
	newest := s.floor
	for _, r := range s.byKey {
		newest = max(newest, r.Birth)
	}
	return newest
}

// list returns copies of all records, ordered by the creation time of their keys.
func (s *records) list() []Record {
	out := make([]Record, 0, len(s.byKey))
	for _, r := range s.byKey {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Birth, b.Birth), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// keepAnswer stores the answer with the record if it is within the size limits. It
// drops the answers kept longest to make room.
func (s *records) keepAnswer(r *Record, status int, answer []byte) {
	size := dfuident.Bytes(len(answer))
	if size > s.limits.AnswerBytes || size > s.limits.ShardAnswerBytes {
		return
	}
	for s.answerBytes+size > s.limits.ShardAnswerBytes {
		s.dropAnswer(s.byKey[s.answers[0]])
	}
	r.Kept, r.Status, r.Answer = true, status, answer
	s.answers = append(s.answers, r.Key)
	s.answerBytes += size
}

// dropAnswer removes the record's answer if it has one.
func (s *records) dropAnswer(r *Record) {
	if !r.Kept {
		return
	}
	s.answerBytes -= dfuident.Bytes(len(r.Answer))
	r.Kept, r.Status, r.Answer = false, 0, nil
	i := slices.Index(s.answers, r.Key)
	s.answers = slices.Delete(s.answers, i, i+1)
}

// evictOldest removes the record with the oldest key and raises the floor to that
// key's creation time, so that the key never runs again.
func (s *records) evictOldest() {
	oldest, _ := heap.Pop(&s.births).(birthEntry)
	s.dropAnswer(s.byKey[oldest.key])
	delete(s.byKey, oldest.key)
	s.floor = max(s.floor, oldest.birth)
}

// birthEntry is an element of birthHeap.
type birthEntry struct {
	birth UnixMs
	key   dfuident.Key
}

// birthHeap implements heap.Interface with the oldest key at the top.
type birthHeap []birthEntry

func (h birthHeap) Len() int { return len(h) }

func (h birthHeap) Less(i, j int) bool {
	return h[i].birth < h[j].birth || h[i].birth == h[j].birth && h[i].key < h[j].key
}

func (h birthHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element for heap.Push.
func (h *birthHeap) Push(x any) {
	b, _ := x.(birthEntry)
	*h = append(*h, b)
}

// Pop removes the last element for heap.Pop.
func (h *birthHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
