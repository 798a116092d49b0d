package dfugate

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// Flow control for large bodies. As with Expect: 100-continue in HTTP, a large body is
// sent only after the gate has admitted its request, so that a refusal transfers no
// body. The bytes in flight are limited by the capacity of the VM's link, so that
// small requests aren't delayed behind large bodies.
const (
	// bodyWindowTime is how long the bodies in flight may occupy the link. Calls made by
	// running requests, with deadlines of half a second, can tolerate such a delay.
	bodyWindowTime = 80 * dfuclock.Millisecond
	// bodyWaitMax is how long a request waits until its body may be sent. It is then
	// refused, so that its entry node can try another target.
	bodyWaitMax = 200 * dfuclock.Millisecond
	// bodyTransferMax is how long the gate waits for a requested body. It equals the
	// time after which an entry node considers a silent link lost.
	bodyTransferMax = 750 * dfuclock.Millisecond
)

// LinkRate is the capacity of a VM's network link, in bytes per millisecond.
type LinkRate int64

// bodyWindow limits the body bytes in flight to this VM.
type bodyWindow struct {
	// maxBytes is the maximum number of bytes in flight; zero means unlimited.
	maxBytes dfuident.Bytes
	// inFlight holds the bodies that were requested and have not arrived yet, oldest
	// first.
	inFlight []inFlightBody
	// pending holds the requests whose bodies have not been requested yet, oldest
	// first.
	pending []*request
}

// inFlightBody is a body that was requested and has not arrived yet.
type inFlightBody struct {
	id        dfuident.RequestID
	bytes     dfuident.Bytes
	expiresAt dfuclock.Time
}

// newBodyWindow returns the window for a link with the given rate, which is zero if
// unknown.
func newBodyWindow(rate LinkRate) bodyWindow {
	return bodyWindow{maxBytes: dfuident.Bytes(int64(rate) * int64(bodyWindowTime))}
}

// fits reports whether another body may be sent. A single body always fits.
func (b *bodyWindow) fits(bytes dfuident.Bytes) bool {
	total := dfuident.Bytes(0)
	for _, e := range b.inFlight {
		total += e.bytes
	}
	return b.maxBytes == 0 || total == 0 || total+bytes <= b.maxBytes
}

// removeBody removes a body that has arrived or will not be sent.
func (b *bodyWindow) removeBody(id dfuident.RequestID) {
	b.inFlight = slices.DeleteFunc(b.inFlight, func(e inFlightBody) bool { return e.id == id })
}

// next returns the next time at which a body in flight or a pending request times
// out, or false if there are none.
func (b *bodyWindow) next() (dfuclock.Time, bool) {
	switch {
	case len(b.inFlight) > 0 && len(b.pending) > 0:
		return min(b.inFlight[0].expiresAt, b.pending[0].bodyWaitUntil), true
	case len(b.inFlight) > 0:
		return b.inFlight[0].expiresAt, true
	case len(b.pending) > 0:
		return b.pending[0].bodyWaitUntil, true
	default:
		return 0, false
	}
}

// awaitBody makes a request wait until its body may be sent.
func (m *Machine) awaitBody(now dfuclock.Time, r *request) {
	r.state = stateAwaitingBody
	r.bodyWaitUntil = now.Add(bodyWaitMax)
	m.bodyWindow.pending = append(m.bodyWindow.pending, r)
}

// requestBodies removes timed-out bodies and requests, and then asks for the bodies of
// pending requests while they fit the window.
func (m *Machine) requestBodies(now dfuclock.Time) {
	b := &m.bodyWindow
	b.inFlight = slices.DeleteFunc(b.inFlight, func(e inFlightBody) bool { return !now.Before(e.expiresAt) })
	for len(b.pending) > 0 && !now.Before(b.pending[0].bodyWaitUntil) {
		m.refuse(b.pending[0], dfuoutcome.NotRun, dfuoutcome.ReasonQueueFull)
	}
	for len(b.pending) > 0 && b.fits(b.pending[0].bytes) {
		r := b.pending[0]
		b.pending = b.pending[1:]
		b.inFlight = append(b.inFlight, inFlightBody{id: r.id, bytes: r.bytes, expiresAt: now.Add(bodyTransferMax)})
		delete(m.live, r.id)
		m.timers.Remove(r)
		m.emit(RequestBody{ID: r.id})
	}
}
