package dfurecord

import (
	"cmp"
	"encoding/binary"
	"slices"

	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets that keys are hashed into. The digests
// of all buckets take 512 bytes.
const bucketCount = 64

// Digest returns one hash over all keys and revisions. Sets with equal digests
// hold the same revisions.
func (s *Set) Digest() uint64 {
	h := xxhash.New()
	var b [8]byte
	for _, sum := range s.buckets {
		binary.LittleEndian.PutUint64(b[:], sum)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// Buckets returns the digest of each bucket, indexed by bucket number.
func (s *Set) Buckets() []uint64 {
	return slices.Clone(s.buckets[:])
}

// Summaries returns the revisions of all keys in the buckets whose digests
// differ from peerBuckets, sorted by key. All buckets differ if peerBuckets has
// the wrong length.
func (s *Set) Summaries(peerBuckets []uint64) []Summary {
	var summaries []Summary
	for _, key := range s.keys("") {
		if s.bucketDiffers(peerBuckets, bucketOf(key)) {
			summaries = append(summaries, s.keyState[key].summary(key))
		}
	}
	return summaries
}

// Compare returns the differences between the set and a peer's copy, given the
// peer's bucket digests and its summaries of the buckets that differ. The keys
// in wanted are newer at the peer and are to be fetched; the keys in newer are
// newer here and are to be sent. Both are sorted.
func (s *Set) Compare(peerBuckets []uint64, summaries []Summary) (wanted, newer []string) {
	summarized := make(map[string]bool, len(summaries))
	for _, theirs := range summaries {
		summarized[theirs.Key] = true
		own := s.Revisions(theirs.Key)
		if theirs.isNewer(own) {
			wanted = append(wanted, theirs.Key)
		}
		if own.isNewer(theirs) {
			newer = append(newer, theirs.Key)
		}
	}
	for _, key := range s.keys("") {
		if !summarized[key] && s.bucketDiffers(peerBuckets, bucketOf(key)) {
			newer = append(newer, key)
		}
	}
	slices.Sort(wanted)
	slices.Sort(newer)
	return wanted, newer
}

// Records returns the records of the given keys for a peer. It stops before the
// total size exceeds limit, but returns the records of at least one key. A key
// whose newest value is invalid gives two records, the one in force and the
// newest, so that the peer ends with the same two revisions. Large values are
// compressed if the peer accepts that.
func (s *Set) Records(keys []string, limit dfuident.Bytes, acceptsPacked bool) []Record {
	var records []Record
	var size dfuident.Bytes
	for _, key := range keys {
		state, ok := s.keyState[key]
		if !ok {
			continue
		}
		keyRecords := state.records(acceptsPacked)
		for _, r := range keyRecords {
			size += r.Size()
		}
		if size > limit && len(records) > 0 {
			break
		}
		records = append(records, keyRecords...)
	}
	return records
}

// Size returns the approximate size of the record in a message, where it has either
// its value or the compressed form.
func (r Record) Size() dfuident.Bytes {
	const overhead = 16
	return dfuident.Bytes(len(r.Key) + len(r.Value) + len(r.Packed) + overhead)
}

func (s *Set) bucketDiffers(peerBuckets []uint64, bucket int) bool {
	return len(peerBuckets) != bucketCount || peerBuckets[bucket] != s.buckets[bucket]
}

func (state *keyState) records(acceptsPacked bool) []Record {
	if state.invalid == "" {
		return []Record{state.inForce.forPeer(acceptsPacked)}
	}
	if state.inForce.Revision == 0 {
		return []Record{state.noted.forPeer(acceptsPacked)}
	}
	return []Record{state.inForce.forPeer(acceptsPacked), state.noted.forPeer(acceptsPacked)}
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
