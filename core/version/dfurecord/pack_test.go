package dfurecord_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"dragonflyusher/core/version/dfurecord"

	"github.com/matryer/is"
)

// transferred returns the records that a node receives for a fetch of the key "k", and
// the revision in force at a peer that receives them.
func transferred(t *testing.T, value []byte, acceptsPacked bool, limit int) (dfurecord.Record, *dfurecord.Exchange) {
	t.Helper()
	is := is.New(t)
	limits := dfurecord.DefaultLimits()
	set := dfurecord.New(limits, nil, nil)
	set.MergeFromStore(dfurecord.Record{Key: "k", Value: value, Revision: 7}, 7)
	records := set.Records([]string{"k"}, 1<<20, acceptsPacked)
	is.Equal(len(records), 1)
	limits.ValueBytes = min(limits.ValueBytes, 1<<limit)
	return records[0], newExchange(limits)
}

func newExchange(limits dfurecord.Limits) *dfurecord.Exchange {
	self := dfurecord.Peer{Node: "b", Region: "r", Address: "127.0.0.1:1"}
	return dfurecord.NewExchange(self, dfurecord.New(limits, nil, nil), dfurecord.DefaultExchangeConfig("k"), rand.New(rand.NewPCG(1, 1)))
}

func receive(x *dfurecord.Exchange, r dfurecord.Record) {
	x.Step(1, dfurecord.Received{Message: dfurecord.Message{Kind: dfurecord.Transfer, Records: []dfurecord.Record{r}}})
}

var large = bytes.Repeat([]byte("a route of a large table "), 4000)

// Large values are sent compressed, and arrive as they were.
func TestLargeValueIsCompressed(t *testing.T) {
	is := is.New(t)
	r, x := transferred(t, large, true, 20)
	is.True(r.Size() < 10_000)
	receive(x, r)
	got, ok := x.Set().Get("k")
	is.True(ok)
	is.Equal(string(got.Value), string(large))
	forwarded := x.Set().Records([]string{"k"}, 1<<20, false)
	is.Equal(string(forwarded[0].Value), string(large)) // plain for a peer that needs that
	is.True(forwarded[0].Packed == nil)
}

// A node of an earlier version, which would take a compressed value for an empty one,
// gets the plain value.
func TestOldPeerGetsPlainValue(t *testing.T) {
	is := is.New(t)
	r, _ := transferred(t, large, false, 20)
	is.Equal(string(r.Value), string(large))
	is.True(r.Packed == nil)
}

// A compressed value that is corrupt, cut off or larger than the limit once it is
// decompressed is dropped, and the record in force stays.
func TestBadCompressedValueIsDropped(t *testing.T) {
	is := is.New(t)
	r, small := transferred(t, large, true, 15)
	receive(small, r)
	_, ok := small.Set().Get("k")
	is.True(!ok) // too large
	is.Equal(small.Counts().Corrupt, uint64(1))

	x := newExchange(dfurecord.DefaultLimits())
	cut := r
	cut.Packed = r.Packed[:len(r.Packed)/2]
	receive(x, cut)
	broken := r
	broken.Packed = append([]byte{0xff}, r.Packed...)
	receive(x, broken)
	_, ok = x.Set().Get("k")
	is.True(!ok)
	is.Equal(x.Counts().Corrupt, uint64(2))
	receive(x, r)
	_, ok = x.Set().Get("k")
	is.True(ok) // a whole copy is accepted later
}
