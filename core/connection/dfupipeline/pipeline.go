package dfupipeline

import (
	"slices"

	"dragonflyusher/core/process/dfuident"
)

// Limits bound the unanswered requests of one connection. Above a limit no further
// request is read. The first request is always read.
type Limits struct {
	Requests int
	// Bytes is the maximum size of the unanswered requests and of the responses that
	// wait to be written.
	Bytes dfuident.Bytes
}

// exchange is a request whose response has not been written.
type exchange struct {
	size      dfuident.Bytes
	responded bool
	canceled  bool
}

// Pipeline is the state machine of one connection.
type Pipeline struct {
	limits Limits
	// exchanges holds the unanswered requests, oldest first. The sequence of the first
	// is head.
	exchanges []exchange
	head      Sequence
	// size is the total size of exchanges.
	size dfuident.Bytes
	// final is the sequence of the request whose response ends the connection; 0 while
	// it is not known.
	final      Sequence
	writing    bool
	stopping   bool
	inputEnded bool
	closed     bool
	actions    []Action
}

// New returns the Pipeline of a new connection.
func New(limits Limits) *Pipeline {
	return &Pipeline{limits: limits, head: 1}
}

// CanRead reports whether another request may be read.
func (p *Pipeline) CanRead() bool {
	if p.AtEnd() {
		return false
	}
	return len(p.exchanges) == 0 || len(p.exchanges) < p.limits.Requests && p.size < p.limits.Bytes
}

// AtEnd reports whether no further request will be dispatched.
func (p *Pipeline) AtEnd() bool {
	return p.closed || p.inputEnded || p.final != 0
}

// Len returns the number of unanswered requests.
func (p *Pipeline) Len() int {
	return len(p.exchanges)
}

// Closed reports whether the Pipeline has returned Close.
func (p *Pipeline) Closed() bool {
	return p.closed
}

// Step processes an event and returns the resulting actions. The slice is valid until
// the next call.
func (p *Pipeline) Step(event Event) []Action {
	p.actions = p.actions[:0]
	if p.closed {
		return nil
	}
	switch e := event.(type) {
	case Received:
		p.receive(e)
	case Responded:
		p.respond(e)
	case Written:
		p.finishWrite(e)
	case InputEnded:
		p.endInput()
	case Stop:
		p.stop()
	}
	return p.actions
}

func (p *Pipeline) add(action Action) {
	p.actions = append(p.actions, action)
}

func (p *Pipeline) receive(e Received) {
	if p.AtEnd() {
		return
	}
	p.exchanges = append(p.exchanges, exchange{size: e.Size})
	p.size += e.Size
	newest := p.newest()
	if e.Close || p.stopping {
		p.final = newest
	}
	p.add(Dispatch{newest})
}

// newest returns the sequence of the newest unanswered request.
func (p *Pipeline) newest() Sequence {
	return p.head + Sequence(len(p.exchanges)) - 1
}

func (p *Pipeline) respond(e Responded) {
	if e.Sequence < p.head || e.Sequence > p.newest() {
		return
	}
	x := &p.exchanges[e.Sequence-p.head]
	if x.responded {
		return
	}
	x.responded = true
	x.size += e.Size
	p.size += e.Size
	p.writeNext()
}

// writeNext writes the response to the oldest request if it is ready, or closes the
// connection if nothing is left to be written.
func (p *Pipeline) writeNext() {
	switch {
	case p.writing:
	case len(p.exchanges) > 0:
		if p.exchanges[0].responded {
			p.writing = true
			p.add(Write{Sequence: p.head, Close: p.head == p.final})
		}
	case p.AtEnd():
		p.close()
	}
}

func (p *Pipeline) finishWrite(e Written) {
	if !p.writing {
		return
	}
	p.writing = false
	p.size -= p.exchanges[0].size
	p.exchanges = slices.Delete(p.exchanges, 0, 1)
	p.head++
	if e.Failed {
		p.cancelAll()
		p.close()
		return
	}
	p.writeNext()
}

// endInput cancels all requests that have no response yet. The responses are still
// written, because a half-close cannot be distinguished from a close.
func (p *Pipeline) endInput() {
	if p.inputEnded {
		return
	}
	p.inputEnded = true
	p.cancelAll()
	p.writeNext()
}

func (p *Pipeline) cancelAll() {
	for i := range p.exchanges {
		x := &p.exchanges[i]
		if !x.responded && !x.canceled {
			x.canceled = true
			p.add(Cancel{p.head + Sequence(i)})
		}
	}
}

// stop makes the newest request the final one, unless its response is already being
// written without the announcement that the connection closes.
func (p *Pipeline) stop() {
	p.stopping = true
	if p.final != 0 || len(p.exchanges) == 0 {
		return
	}
	if newest := p.newest(); newest != p.head || !p.writing {
		p.final = newest
	}
}

func (p *Pipeline) close() {
	p.closed = true
	p.add(Close{})
}

// InputEnded reports whether the caller's input has ended.
func (p *Pipeline) InputEnded() bool {
	return p.inputEnded
}
