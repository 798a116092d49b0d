package dfunode

import (
	"sync"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cespare/xxhash/v2"
)

// memoryClaims grants each key once per run of the node.
//
// TODO: replace by the replicated claims once their duty exists.
type memoryClaims struct {
	mu   sync.Mutex
	seen map[dfuident.Key]*dfumessage.Answer
}

func newMemoryClaims() *memoryClaims {
	return &memoryClaims{seen: map[dfuident.Key]*dfumessage.Answer{}}
}

// Claim grants a key that was not seen before.
func (c *memoryClaims) Claim(_ dfuident.RequestID, _ dfuident.Service, key dfuident.Key, _ dfuclock.Duration, decide func(dfuadmission.Verdict)) {
	c.mu.Lock()
	answer, ok := c.seen[key]
	if !ok {
		c.seen[key] = nil
	}
	c.mu.Unlock()
	verdict := dfuadmission.Verdict{Granted: !ok}
	if ok {
		verdict.Outcome, verdict.Reason, verdict.Answer = dfuoutcome.Unknown, dfuoutcome.ReasonAlreadyRun, answer
	}
	go decide(verdict)
}

// Finished keeps the answer.
func (c *memoryClaims) Finished(_ dfuident.RequestID, _ dfuident.Service, key dfuident.Key, answer *dfumessage.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[key] = answer
}

// Released forgets the key.
func (c *memoryClaims) Released(_ dfuident.RequestID, _ dfuident.Service, key dfuident.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.seen, key)
}

// Owner returns the node of the service with the greatest hash of the key.
func (c *memoryClaims) Owner(view *dfuroster.View, service dfuident.Service, key dfuident.Key) (dfuident.Member, bool) {
	var best dfuident.Member
	var greatest uint64
	for _, n := range view.Service(service) {
		if n.State != dfuroster.Alive && n.State != dfuroster.Suspect {
			continue
		}
		if h := xxhash.Sum64String(string(n.Member.Node) + "/" + string(key)); h >= greatest {
			best, greatest = n.Member, h
		}
	}
	return best, !best.IsZero()
}
