package dfuclaim

import (
	"cmp"
	"container/heap"
	"slices"

	"dragonflyusher/core/process/dfuident"
)

// RecordState says how far a key's request got.
type RecordState string

// The states of a record. An asked record was not granted yet and exists at its
// owner only; a copy holder records a claim as running.
const (
	RecordAsked   RecordState = "asked"
	RecordRunning RecordState = "running"
	// RecordRan means that the target answered.
	RecordRan RecordState = "ran"
	// RecordLost means that nobody knows whether the request had its effect.
	RecordLost RecordState = "lost"
)

// Record is what is known of one key.
type Record struct {
	Key      dfuident.Key
	Birth    UnixMs
	State    RecordState
	Request  dfuident.RequestID
	Runner   dfuident.Member
	Sequence Sequence
	// Status and Answer are the first answer if Kept is set.
	Kept   bool
	Status int
	Answer []byte
}

// over reports whether the record's request has ended.
func (r *Record) over() bool {
	return r.State == RecordRan || r.State == RecordLost
}

// records holds a shard's records within a bound. A key without a record that
// was born at or before floor may have been forgotten.
type records struct {
	byKey map[dfuident.Key]*Record
	// births orders all records, the oldest birth first.
	births birthHeap
	floor  UnixMs
	// answers lists the keys with a kept answer, the longest kept first.
	answers     []dfuident.Key
	answerBytes dfuident.Bytes
	limits      Limits
}

// newRecords returns an empty set with a floor.
func newRecords(limits Limits, floor UnixMs) *records {
	return &records{byKey: make(map[dfuident.Key]*Record), floor: floor, limits: limits}
}

// get returns the key's record or nil.
func (s *records) get(key dfuident.Key) *Record {
	return s.byKey[key]
}

// forgotten reports whether a key without a record may have had one.
func (s *records) forgotten(birth UnixMs) bool {
	return birth <= s.floor
}

// put adds or replaces a record and evicts the oldest one beyond the bound,
// which may be the new one.
func (s *records) put(r Record) {
	answer := r.Answer
	status, kept := r.Status, r.Kept
	r.Kept, r.Status, r.Answer = false, 0, nil
	if old := s.byKey[r.Key]; old != nil {
		s.dropAnswer(old)
		*old = r
	} else {
		s.byKey[r.Key] = &r
		heap.Push(&s.births, birthOf{r.Birth, r.Key})
	}
	if kept {
		s.keepAnswer(s.byKey[r.Key], status, answer)
	}
	if len(s.byKey) > s.limits.Records {
		s.evictOldest()
	}
}

// remove deletes a record that stands for no run, so the floor stays.
func (s *records) remove(key dfuident.Key) {
	r := s.byKey[key]
	if r == nil {
		return
	}
	s.dropAnswer(r)
	delete(s.byKey, key)
	i := slices.IndexFunc(s.births, func(b birthOf) bool { return b.key == key })
	heap.Remove(&s.births, i)
}

// expire evicts the records born at or before the horizon.
func (s *records) expire(horizon UnixMs) {
	for len(s.births) > 0 && s.births[0].birth <= horizon {
		s.evictOldest()
	}
}

// newest returns the greatest birth recorded or forgotten.
func (s *records) newest() UnixMs {
	greatest := s.floor
	for _, r := range s.byKey {
		greatest = max(greatest, r.Birth)
	}
	return greatest
}

// list returns all records in the order of their births.
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

// keepAnswer stores the answer with the record if it is small enough, making
// room by dropping the answers kept longest.
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

// dropAnswer forgets the record's answer if it has one.
func (s *records) dropAnswer(r *Record) {
	if !r.Kept {
		return
	}
	s.answerBytes -= dfuident.Bytes(len(r.Answer))
	r.Kept, r.Status, r.Answer = false, 0, nil
	i := slices.Index(s.answers, r.Key)
	s.answers = slices.Delete(s.answers, i, i+1)
}

// evictOldest removes the record with the oldest birth and raises the floor to
// that birth, so that the key never runs again.
func (s *records) evictOldest() {
	oldest, _ := heap.Pop(&s.births).(birthOf)
	s.dropAnswer(s.byKey[oldest.key])
	delete(s.byKey, oldest.key)
	s.floor = max(s.floor, oldest.birth)
}

// birthOf is an element of birthHeap.
type birthOf struct {
	birth UnixMs
	key   dfuident.Key
}

// birthHeap implements heap.Interface with the oldest birth at the top.
type birthHeap []birthOf

func (h birthHeap) Len() int { return len(h) }

func (h birthHeap) Less(i, j int) bool {
	return h[i].birth < h[j].birth || h[i].birth == h[j].birth && h[i].key < h[j].key
}

func (h birthHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element for heap.Push.
func (h *birthHeap) Push(x any) {
	b, _ := x.(birthOf)
	*h = append(*h, b)
}

// Pop removes the last element for heap.Pop.
func (h *birthHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
