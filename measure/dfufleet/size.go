package dfufleet

import (
	"encoding/gob"
	"io"

	"dragonflyusher/core/version/dfuroster"
)

const (
	// callOverheadBytes is the overhead of net/rpc and TCP/IP for a packet sent as
	// a call, including the headers of the reply and acknowledgments.
	callOverheadBytes = 190
	// replyOverheadBytes is the overhead for a packet sent as part of a reply.
	replyOverheadBytes = 0
)

// sizer measures the size of packets as encoded by net/rpc's codec on a connection
// where the types have already been sent.
type sizer struct {
	written int
	encoder *gob.Encoder
}

func newSizer() *sizer {
	s := &sizer{}
	s.encoder = gob.NewEncoder(s)
	return s
}

// Write counts the bytes written by the encoder.
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

func overhead(isReply bool) int {
	if isReply {
		return replyOverheadBytes
	}
	return callOverheadBytes
}
