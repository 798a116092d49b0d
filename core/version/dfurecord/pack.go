package dfurecord

import (
	"bytes"
	"compress/flate"
	"io"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// minPackBytes is the size from which a value is compressed for peers. Smaller ones
// fit into one network packet.
const minPackBytes = 1 << 10

// errTooLarge is returned for a compressed value that exceeds the limit.
var errTooLarge = errors.New("the value is too large")

// pack compresses the value, unless it is small, incompressible or already packed.
func (r *Record) pack() {
	if r.Packed != nil || len(r.Value) < minPackBytes {
		return
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return
	}
	if _, err := w.Write(r.Value); err != nil || w.Close() != nil {
		return
	}
	if packed.Len() < len(r.Value) {
		r.Packed = bytes.Clone(packed.Bytes())
	}
}

// unpack restores the value from its compressed form. It returns an error if that is
// corrupt, or if the value exceeds the limit.
func (r *Record) unpack(limit dfuident.Bytes) error {
	if r.Packed == nil {
		return nil
	}
	unpacked := flate.NewReader(bytes.NewReader(r.Packed))
	value, err := io.ReadAll(io.LimitReader(unpacked, int64(limit)+1))
	if err != nil {
		return errors.Wrap(err, "decompress "+r.Key)
	}
	if dfuident.Bytes(len(value)) > limit {
		return errors.Wrap(errTooLarge, r.Key)
	}
	r.Value = value
	return nil
}

// forPeer returns the record as it is sent to a peer: with the compressed value only if
// the peer accepts it, otherwise with the plain value only.
func (r *Record) forPeer(acceptsPacked bool) Record {
	sent := *r
	if acceptsPacked {
		r.pack()
		sent.Packed = r.Packed
	} else {
		sent.Packed = nil
	}
	if sent.Packed != nil {
		sent.Value = nil
	}
	return sent
}
