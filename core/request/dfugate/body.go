package dfugate

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// Large bodies are sent only when the gate would let their request in, as with
// Expect: 100-continue in HTTP: a refusal then costs no bytes, and no more bodies are
// under way at a time than the link of this VM carries soon, so that small requests
// don't wait behind them.
const (
	// bodyBacklog is how long the bodies that are under way may keep the link busy:
	// less than calls of running requests can spare, whose deadlines are half a
	// second.
	bodyBacklog = 80 * dfuclock.Millisecond
	// holdMax is how long a request waits until its body may be sent. Then its
	// entry node looks elsewhere.
	holdMax = 200 * dfuclock.Millisecond
	// bodyMax is how long a body that was asked for is waited for. It is as long as
	// an entry node waits for a sign of life on its link.
	bodyMax = 750 * dfuclock.Millisecond
)

// LinkRate is what the link of a VM carries, in bytes a millisecond.
type LinkRate int64

// bodies bounds the bodies that are under way to this VM.
type bodies struct {
	// window is how many bytes may be under way, zero for any number.
	window dfuident.Bytes
	// expected are the bodies that were asked for and have not arrived yet, in the
	// order in which they were asked for.
	expected []expectedBody
	// held are the requests whose bodies may not be sent yet, first come first.
	held []*record
}

// expectedBody is a body that was asked for.
type expectedBody struct {
	id    dfuident.RequestID
	bytes dfuident.Bytes
	until dfuclock.Time
}

// newBodies returns the bounds for a link; its rate is zero if it isn't known.
func newBodies(rate LinkRate) bodies {
	return bodies{window: dfuident.Bytes(int64(rate) * int64(bodyBacklog))}
}

// hasRoom reports whether another body may be sent. One is always let through.
func (b *bodies) hasRoom(bytes dfuident.Bytes) bool {
	under := dfuident.Bytes(0)
	for _, e := range b.expected {
		under += e.bytes
	}
	return b.window == 0 || under == 0 || under+bytes <= b.window
}

// arrived forgets a body that is here or will not come.
func (b *bodies) arrived(id dfuident.RequestID) {
	b.expected = slices.DeleteFunc(b.expected, func(e expectedBody) bool { return e.id == id })
}

// next returns when a body is given up or a held request is.
func (b *bodies) next() (dfuclock.Time, bool) {
	switch {
	case len(b.expected) > 0 && len(b.held) > 0:
		return min(b.expected[0].until, b.held[0].heldUntil), true
	case len(b.expected) > 0:
		return b.expected[0].until, true
	case len(b.held) > 0:
		return b.held[0].heldUntil, true
	default:
		return 0, false
	}
}

// hold lets a request wait until its body may be sent.
func (m *Machine) hold(now dfuclock.Time, r *record) {
	r.state = stateHeld
	r.heldUntil = now.Add(holdMax)
	m.bodies.held = append(m.bodies.held, r)
}

// askForBodies asks for the bodies of held requests while there is room for them, and
// gives up what has been waited for too long.
func (m *Machine) askForBodies(now dfuclock.Time) {
	b := &m.bodies
	b.expected = slices.DeleteFunc(b.expected, func(e expectedBody) bool { return !now.Before(e.until) })
	for len(b.held) > 0 && !now.Before(b.held[0].heldUntil) {
		m.refuse(b.held[0], dfuoutcome.NotRun, dfuoutcome.ReasonQueueFull)
	}
	for len(b.held) > 0 && b.hasRoom(b.held[0].bytes) {
		r := b.held[0]
		b.held = b.held[1:]
		b.expected = append(b.expected, expectedBody{id: r.id, bytes: r.bytes, until: now.Add(bodyMax)})
		delete(m.live, r.id)
		m.timers.Remove(r)
		m.emit(AskBody{ID: r.id})
	}
}
