package dfufleet

import (
	"encoding/gob"
	"io"

	"dragonflyusher/core/version/dfuroster"
)

const (
	// callBytes is what net/rpc and TCP/IP add to a packet sent as a call,
	// with the reply's headers and acknowledgments.
	callBytes = 190
	// answerBytes is what they add to a packet that rides on a reply.
	answerBytes = 0
)

// sizer learns the size of packets as net/rpc's codec encodes them on a
// connection that already knows their types.
type sizer struct {
	written int
	encoder *gob.Encoder
}

func newSizer() *sizer {
	s := &sizer{}
	s.encoder = gob.NewEncoder(s)
	return s
}

// Write counts what the encoder writes.
func (s *sizer) Write(b []byte) (int, error) {
	s.written += len(b)
	return len(b), nil
}

var _ io.Writer = (*sizer)(nil)

func (s *sizer) size(p dfuroster.Packet) int {
	before := s.written
	if err := s.encoder.Encode(p); err != nil {
		panic(err)
	}
	return s.written - before
}

func overhead(answer bool) int {
	if answer {
		return answerBytes
	}
	return callBytes
}
