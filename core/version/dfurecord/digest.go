package dfurecord

import (
	"cmp"
	"encoding/binary"
	"slices"

	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets that keys are spread over. One digest
// of all buckets is 512 bytes.
const bucketCount = 64

// Digest returns one hash over all keys and revisions. Two sets with the same
// digest hold the same revisions.
func (s *Set) Digest() uint64 {
	h := xxhash.New()
	var b [8]byte
	for _, sum := range s.buckets {
		binary.LittleEndian.PutUint64(b[:], sum)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// Buckets returns the digest of each bucket.
func (s *Set) Buckets() []uint64 {
	return slices.Clone(s.buckets[:])
}

// Summaries returns the revisions of every key in the buckets where a peer's
// digests differ from the set's, sorted by key.
func (s *Set) Summaries(theirs []uint64) []Summary {
	var summaries []Summary
	for _, key := range s.keys("") {
		if s.differs(theirs, bucketOf(key)) {
			summaries = append(summaries, s.held[key].summary(key))
		}
	}
	return summaries
}

// Compare finds what two copies lack of each other, given a peer's bucket
// digests and its summaries of the buckets that differ. It returns the keys to
// ask the peer for and the keys that the peer should be sent, each sorted.
func (s *Set) Compare(theirs []uint64, summaries []Summary) (wanted, newer []string) {
	named := make(map[string]bool, len(summaries))
	for _, their := range summaries {
		named[their.Key] = true
		ours := s.Revisions(their.Key)
		if their.Noted > ours.Noted || their.InForce > ours.InForce {
			wanted = append(wanted, their.Key)
		}
		if ours.Noted > their.Noted || ours.InForce > their.InForce {
			newer = append(newer, their.Key)
		}
	}
	for _, key := range s.keys("") {
		if !named[key] && s.differs(theirs, bucketOf(key)) {
			newer = append(newer, key)
		}
	}
	slices.Sort(wanted)
	slices.Sort(newer)
	return wanted, newer
}

// Records returns the records of some keys up to a total size, for a peer. A
// key whose newest value is invalid gives two records: the one in force and
// the newest, so that the peer ends with the same two revisions.
func (s *Set) Records(keys []string, limit dfuident.Bytes) []Record {
	var records []Record
	var size dfuident.Bytes
	for _, key := range keys {
		h, ok := s.held[key]
		if !ok {
			continue
		}
		add := h.records()
		for _, r := range add {
			size += r.Size()
		}
		if size > limit && len(records) > 0 {
			break
		}
		records = append(records, add...)
	}
	return records
}

// Size returns the approximate size of the record in a message.
func (r Record) Size() dfuident.Bytes {
	const overhead = 16
	return dfuident.Bytes(len(r.Key) + len(r.Value) + overhead)
}

func (s *Set) differs(theirs []uint64, bucket int) bool {
	return len(theirs) != bucketCount || theirs[bucket] != s.buckets[bucket]
}

func (h *held) records() []Record {
	if h.invalid == "" {
		return []Record{h.inForce}
	}
	if h.inForce.Revision == 0 {
		return []Record{h.noted}
	}
	return []Record{h.inForce, h.noted}
}

func (s Summary) hash() uint64 {
	b := make([]byte, 0, len(s.Key)+16)
	b = append(b, s.Key...)
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Noted))
	b = binary.LittleEndian.AppendUint64(b, uint64(s.InForce))
	return xxhash.Sum64(b)
}

func sortSummaries(summaries []Summary) {
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Compare(a.Key, b.Key)
	})
}

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % bucketCount)
}
