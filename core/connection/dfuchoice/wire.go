package dfuchoice

import (
	"encoding/binary"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// LoadFramingBytes is what the peer link adds to an encoded Load: the tag and
// the length of its field.
const LoadFramingBytes dfuident.Bytes = 2

// maxWireLoad bounds the numbers of a decoded Load.
const maxWireLoad = 1<<16 - 1

// errLoad reports that bytes are no Load.
var errLoad = errors.New("dfuchoice: malformed load")

// AppendLoad appends the encoding of a load, 5 bytes for a small target: the
// requests that run or wait as one number, the service time, the slowdown, and
// the lower half of the sequence. The slots stand in the roster.
func AppendLoad(b []byte, load Load) []byte {
	b = binary.AppendUvarint(b, uint64(load.InFlight)+uint64(load.Queued))
	b = binary.AppendUvarint(b, uint64(min(max(load.ServiceTime, 0), maxWireLoad)))
	b = binary.AppendUvarint(b, uint64(load.Slowdown))
	return binary.BigEndian.AppendUint16(b, uint16(load.Sequence))
}

// ParseLoad decodes a load. All of its requests count as in flight.
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

// LoadBytes returns what a load takes on the wire, to be charged before it is
// sent.
func LoadBytes(load Load) dfuident.Bytes {
	var buf [16]byte
	return dfuident.Bytes(len(AppendLoad(buf[:0], load))) + LoadFramingBytes
}
