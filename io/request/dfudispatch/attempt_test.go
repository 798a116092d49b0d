package dfudispatch

import (
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/request/dfumessage"

	"github.com/matryer/is"
)

// TestReplyBelongsToItsRequest checks that a reply with the wrong id, with the body
// of another request or with a corrupted body counts as a lost connection. Otherwise
// a caller could receive the answer to another request.
func TestReplyBelongsToItsRequest(t *testing.T) {
	entry := dfuident.Member{Node: "a", Incarnation: 2}
	id := dfuident.RequestID{Entry: entry, Sequence: 7}
	other := dfuident.RequestID{Entry: entry, Sequence: 8}
	former := dfuident.RequestID{Entry: dfuident.Member{Node: "a", Incarnation: 1}, Sequence: 7}
	reply := func(id, of dfuident.RequestID, body, summed string) *dfumessage.Reply {
		return &dfumessage.Reply{
			ID:       id,
			Outcome:  dfuoutcome.Answered,
			Answer:   dfumessage.Answer{Status: 200, Body: []byte(body)},
			Checksum: dfumessage.BodyChecksum(of, []byte(summed)),
		}
	}
	tests := []struct {
		name  string
		reply *dfumessage.Reply
		err   error
		want  dfuattempt.Event
	}{
		{"own", reply(id, id, "x", "x"), nil, dfuattempt.Replied{ID: id, Outcome: dfuoutcome.Answered, Answer: 1}},
		{"under another id", reply(other, other, "x", "x"), nil, dfuattempt.LinkLost{ID: id}},
		{"body of another request", reply(id, other, "x", "x"), nil, dfuattempt.LinkLost{ID: id}},
		{"body of a former incarnation", reply(id, former, "x", "x"), nil, dfuattempt.LinkLost{ID: id}},
		{"changed body", reply(id, id, "y", "x"), nil, dfuattempt.LinkLost{ID: id}},
		{"short body", reply(id, id, "", "x"), nil, dfuattempt.LinkLost{ID: id}},
		{"lost link", nil, dfupeer.ErrLost, dfuattempt.LinkLost{ID: id}},
		{"never sent", nil, dfupeer.ErrNotSent, dfuattempt.NotSent{ID: id}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(offerResult(id, tt.reply, tt.err).event, tt.want)
		})
	}
}
