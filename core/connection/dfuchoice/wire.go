package dfuchoice

import (
	"encoding/binary"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// LoadFramingBytes is the size of the tag and the length that the peer protocol
// adds to an encoded Load.
const LoadFramingBytes dfuident.Bytes = 2

// maxWireLoad limits the numbers in a decoded Load.
const maxWireLoad = 1<<16 - 1

// errLoad is returned for data that is not an encoded Load.
var errLoad = errors.New("dfuchoice: malformed load")

// AppendLoad appends the encoding of a load to b. It takes 5 bytes for a small
// target: the number of running and queued requests combined, the service time,
// the slowdown and the lower half of the sequence. Slots are not encoded, since
// they are part of the roster.
func AppendLoad(b []byte, load Load) []byte {
	b = binary.AppendUvarint(b, uint64(load.InFlight)+uint64(load.Queued))
	b = binary.AppendUvarint(b, uint64(min(max(load.ServiceTime, 0), maxWireLoad)))
	b = binary.AppendUvarint(b, uint64(load.Slowdown))
	return binary.BigEndian.AppendUint16(b, uint16(load.Sequence))
}

// ParseLoad decodes a load. All requests are counted as in flight. It returns
// an error if the data is malformed or a number is too large.
func ParseLoad(b []byte) (Load, error) {
	outstanding, n := binary.Uvarint(b)
	if n <= 0 || outstanding > maxWireLoad {
		return Load{}, errLoad
	}
	service, m := binary.Uvarint(b[n:])
	if m <= 0 || service > maxWireLoad {
		return Load{}, errLoad
	}
	slowdown, k := binary.Uvarint(b[n+m:])
	if k <= 0 || slowdown > maxWireLoad || len(b) != n+m+k+2 {
		return Load{}, errLoad
	}
	return Load{
		InFlight:    uint16(outstanding),
		ServiceTime: dfuclock.Duration(service),
		Slowdown:    uint16(slowdown),
		Sequence:    uint32(binary.BigEndian.Uint16(b[n+m+k:])),
	}, nil
}

// LoadBytes returns the encoded size of a load including framing, so that it
// can be charged to a budget before the load is sent.
func LoadBytes(load Load) dfuident.Bytes {
	var buf [16]byte
	return dfuident.Bytes(len(AppendLoad(buf[:0], load))) + LoadFramingBytes
}
