package dfuadmission

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/request/dfumessage"
)

const (
	// keptBytes bounds the answers kept for entry nodes that lost the reply.
	keptBytes = 2 << 20
	// keptReplies bounds their number.
	keptReplies = 1024
)

// keptAnswers holds the newest replies for entry nodes that ask again after
// their connection failed. The oldest reply goes when a bound is passed.
type keptAnswers struct {
	replies map[dfuident.RequestID]*dfumessage.Reply
	order   []dfuident.RequestID
	bytes   int
}

func newKeptAnswers() *keptAnswers {
	return &keptAnswers{replies: map[dfuident.RequestID]*dfumessage.Reply{}}
}

func (k *keptAnswers) add(reply *dfumessage.Reply) {
	size := len(reply.Answer.Body)
	if size > keptBytes/8 {
		return
	}
	k.replies[reply.ID] = reply
	k.order = append(k.order, reply.ID)
	k.bytes += size
	for k.bytes > keptBytes || len(k.order) > keptReplies {
		k.dropOldest()
	}
}

func (k *keptAnswers) get(id dfuident.RequestID) *dfumessage.Reply {
	return k.replies[id]
}

func (k *keptAnswers) dropOldest() {
	id := k.order[0]
	k.order = k.order[1:]
	k.bytes -= len(k.replies[id].Answer.Body)
	delete(k.replies, id)
}
