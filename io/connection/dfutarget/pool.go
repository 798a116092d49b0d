package dfutarget

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"

	"github.com/cespare/xxhash/v2"
)

// maxIdleQueryConns is the maximum number of idle connections for load queries and health
// checks, of which rarely more than one is in progress.
const maxIdleQueryConns = 1

// maxRefusalsPerConn is the number of refusals on a connection after which it is closed.
const maxRefusalsPerConn = 16

// answerIDHash is a hash of the id that a target repeats in its answers to a request. Two
// requests with the same hash share no connection on which one was refused.
type answerIDHash uint64

func hashAnswerID(id string) answerIDHash {
	return answerIDHash(xxhash.Sum64String(id))
}

// conn is a connection to the target.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// idleUntil is the time from which the target may close the idle connection.
	idleUntil time.Time
	// answers is the number of answers to earlier requests that were read.
	answers int
	// refused holds the requests that the target refused on this connection. They must
	// not be sent on it again: a copy of the refusal, which bears the same id, could be
	// taken for the answer.
	refused []answerIDHash
}

// connPool holds idle connections to the target. It is safe for concurrent use.
type connPool struct {
	// needsID is set if a connection is closed after an answer that doesn't bear the id
	// of its request, since a copy of that answer can't be distinguished from the next one.
	needsID bool

	mu    sync.Mutex
	idle  []*conn
	limit int
}

// pop removes the connection that was used last, of those on which the request was not
// refused, and returns it, or nil if there is none.
func (p *connPool) pop(id answerIDHash) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, cn := range slices.Backward(p.idle) {
		if !slices.Contains(cn.refused, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// recordAnswer records the answer to a request on a connection and reports whether the
// connection may be reused.
func (p *connPool) recordAnswer(cn *conn, id answerIDHash, metadata ResponseMetadata) bool {
	if !metadata.Refusal {
		return metadata.Identified || !p.needsID
	}
	cn.refused = append(cn.refused, id)
	return metadata.Identified && len(cn.refused) < maxRefusalsPerConn
}

// put adds a connection that may be reused for the time idle, or closes it if the pool is
// full or closed.
func (p *connPool) put(cn *conn, idle dfuclock.Duration) {
	cn.idleUntil = time.Now().Add(idle.Std())
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= p.limit {
		cn.Close()
		return
	}
	p.idle = append(p.idle, cn)
}

// close closes the idle connections, and lets put close all further ones.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle {
		cn.Close()
	}
	p.idle = nil
	p.limit = 0
}
