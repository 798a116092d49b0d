package dfuadmission

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/request/dfumessage"
)

const (
	// maxCachedBytes bounds the total size of the cached answer bodies.
	maxCachedBytes = 2 << 20
	// maxCachedReplies bounds the number of cached replies.
	maxCachedReplies = 1024
)

// replyCache holds the newest replies for entry nodes whose connection failed
// before the reply arrived and that ask for it with a seal. It drops the oldest
// replies when a bound is exceeded.
type replyCache struct {
	byID  map[dfuident.RequestID]*dfumessage.Reply
	order []dfuident.RequestID
	bytes int
}

func newReplyCache() *replyCache {
	return &replyCache{byID: map[dfuident.RequestID]*dfumessage.Reply{}}
}

// add caches a reply, unless its body takes more than an eighth of the cache.
func (c *replyCache) add(reply *dfumessage.Reply) {
	size := len(reply.Answer.Body)
	if size > maxCachedBytes/8 {
		return
	}
	c.byID[reply.ID] = reply
	c.order = append(c.order, reply.ID)
	c.bytes += size
	for c.bytes > maxCachedBytes || len(c.order) > maxCachedReplies {
		c.dropOldest()
	}
}

func (c *replyCache) get(id dfuident.RequestID) *dfumessage.Reply {
	return c.byID[id]
}

func (c *replyCache) dropOldest() {
	id := c.order[0]
	c.order = c.order[1:]
	c.bytes -= len(c.byID[id].Answer.Body)
	delete(c.byID, id)
}
