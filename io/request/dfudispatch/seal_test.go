package dfudispatch

import (
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/request/dfumessage"

	"github.com/matryer/is"
)

// Only a gate that states never for the request itself proves that it did not run. Otherwise a
// request that an earlier run of the gate handed to its target is sent to another one, or gets
// the answer to another request.
func TestSealProvesOnlyItsRequest(t *testing.T) {
	entry := dfuident.Member{Node: "a", Incarnation: 2}
	id := dfuident.RequestID{Entry: entry, Sequence: 7}
	other := dfuident.RequestID{Entry: entry, Sequence: 8}
	answered := func(of dfuident.RequestID) *dfumessage.Reply {
		return &dfumessage.Reply{
			ID: of, Outcome: dfuoutcome.Answered, Answer: dfumessage.Answer{Status: 200, Body: []byte("x")},
			Checksum: dfumessage.BodyChecksum(of, []byte("x")),
		}
	}
	finished := dfuattempt.SealReplied{ID: id, State: dfugate.SealFinished}
	tests := []struct {
		name  string
		reply dfumessage.SealReply
		err   error
		want  dfuattempt.Event
	}{
		{"never", dfumessage.SealReply{ID: id, State: dfumessage.SealNever}, nil, dfuattempt.SealReplied{ID: id, State: dfugate.SealNever}},
		{"never for another request", dfumessage.SealReply{ID: other, State: dfumessage.SealNever}, nil, dfuattempt.SealFailed{ID: id}},
		{"lost reply", dfumessage.SealReply{ID: id, State: dfumessage.SealNever}, dfupeer.ErrLost, dfuattempt.SealFailed{ID: id}},
		{"seal not sent", dfumessage.SealReply{}, dfupeer.ErrNotSent, dfuattempt.SealFailed{ID: id}},
		{"earlier run", dfumessage.SealReply{ID: id, State: dfumessage.SealForgotten}, nil, finished},
		{"unknown state", dfumessage.SealReply{ID: id}, nil, finished},
		{"answer to another request", dfumessage.SealReply{ID: id, State: dfumessage.SealFinished, Reply: answered(other)}, nil, finished},
		{"answer", dfumessage.SealReply{ID: id, State: dfumessage.SealFinished, Reply: answered(id)}, nil, dfuattempt.SealReplied{
			ID: id, State: dfugate.SealFinished, Outcome: dfuoutcome.Answered, Answer: true,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(sealResult(id, &tt.reply, tt.err).event, tt.want)
		})
	}
}
