package dfubody

import (
	"cmp"
	"sync"
	"time"

	"dragonflyusher/core/connection/dfumemory"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// reserveDivisor is the divisor of the memory that gives the reserve for small bodies.
	reserveDivisor = 16
	// smallBytes is the size up to which a body is small.
	smallBytes = 64 << 10
	// pause is how long a body that is being received may pause while others wait.
	pause = 500 * dfuclock.Millisecond
	// minRate is the number of bytes per second below which a body that has been received
	// for minRateAge has to end while others wait.
	minRate    = 32 << 10
	minRateAge = 2 * dfuclock.Second
	// sendPause is how long an answer may pause at least before it counts as unread: three
	// packets lost in a row, or 64 KiB at minRate.
	sendPause = 2 * dfuclock.Second
	// sendStep is the number of bytes after which progress of an answer is seen for sure,
	// even if its caller gets half of an equal share of the link only. slowestLinkMbps is the
	// bandwidth that is assumed where the link's is unknown.
	sendStep        = 256 << 10
	slowestLinkMbps = 10
	bitsPerByte     = 8
	// reclaimPeriod is how often bodies that pause are looked for while others wait.
	reclaimPeriod = 50 * time.Millisecond
)

// ErrFull means that there was no memory for a body, or that the body had to end because it
// paused while others waited.
var ErrFull = errors.New("the memory for bodies is used up")

// Memory limits the memory of all bodies of a node. It is safe for concurrent use.
type Memory struct {
	clock          dfuclock.Clock
	refused, ended metrics.Counter

	mu     sync.Mutex
	budget *dfumemory.Budget
	// bodies holds the bodies that wait or are being received, by their Shares.
	bodies map[*dfumemory.Share]*Body
	// reclaiming is set while a goroutine ends bodies that pause.
	reclaiming bool
	// moved is when a body got memory while others waited, gave up and so returns some, or
	// when an answer paused, which may have to end soon.
	moved time.Time
}

// Limits describes the memory and the link of a node.
type Limits struct {
	// Total is the memory of all bodies together. Zero means no limit. Answers is further
	// memory that only answers may take.
	Total, Answers dfuident.Bytes
	// LinkMbps is the bandwidth of the link in Mbit/s; zero means unknown.
	LinkMbps float64
}

// NewMemory returns a Memory of which nothing is used.
func NewMemory(limits Limits, clock dfuclock.Clock, registry metrics.Registry) *Memory {
	bytesPerSecond := cmp.Or(limits.LinkMbps, slowestLinkMbps) * 1e6 / bitsPerByte
	return &Memory{
		clock:   clock,
		refused: metrics.GetOrRegisterCounter("bodies.refused", registry),
		ended:   metrics.GetOrRegisterCounter("bodies.ended", registry),
		budget: dfumemory.New(dfumemory.Config{
			Total: limits.Total, Reserve: limits.Total / reserveDivisor, Small: smallBytes, Answers: limits.Answers,
			Pause: pause, MinRate: minRate, MinRateAge: minRateAge,
			SendPause: sendPause, SendSlot: dfuclock.Duration(sendStep / bytesPerSecond * float64(dfuclock.Second)),
		}),
		bodies: map[*dfumemory.Share]*Body{},
	}
}

// Used returns the memory of all bodies together, and the number of bodies that wait.
func (m *Memory) Used() (used dfuident.Bytes, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used(), m.budget.Waiting()
}

// Body is the memory of one body. Its methods must not be called at the same time.
type Body struct {
	memory *Memory
	share  dfumemory.Share
	// endMu is held while end is called. It is locked before the mutex of memory.
	endMu sync.Mutex
	// end is called if the body has to end; nil if it isn't being transferred.
	end func()
	// transfers counts the transfers that have begun or ended. Both mutexes guard it, so
	// that one of them suffices to read it.
	transfers int
	// granted has room for one value, which is sent when a wait ends.
	granted chan struct{}
}

// OpenAnswer is Open for the body of an answer.
func (m *Memory) OpenAnswer(end func()) *Body {
	b := &Body{memory: m, share: dfumemory.NewAnswer()}
	if end != nil {
		b.Transfer(end)
	}
	return b
}

// Open returns a Body that holds no memory. If end is not nil, the body is being received
// until Received is called. Until then end may be called at any time; it must not block nor call
// methods of the Body. Received, Release and Transfer wait until it returns.
func (m *Memory) Open(end func()) *Body {
	b := &Body{memory: m}
	if end != nil {
		b.Transfer(end)
	}
	return b
}

// OpenGrowing is Open for a body of unknown length, which takes its memory piece by piece, up
// to most.
func (m *Memory) OpenGrowing(most dfuident.Bytes, end func()) *Body {
	b := &Body{memory: m, share: dfumemory.NewGrowing(most)}
	if end != nil {
		b.Transfer(end)
	}
	return b
}

// Transfer marks that the body is being received from now on, until Received is called; end is
// as in Open.
func (b *Body) Transfer(end func()) {
	b.transfer(end, b.memory.budget.Receive)
}

// Send marks that the body is an answer that is being sent from now on, until Received is
// called; end is as in Open.
func (b *Body) Send(end func()) {
	b.transfer(end, b.memory.budget.Send)
}

func (b *Body) transfer(end func(), begin func(dfuclock.Time, *dfumemory.Share)) {
	m := b.memory
	defer b.lock()()
	b.end = end
	b.transfers++
	m.bodies[&b.share] = b
	begin(m.clock.Now(), &b.share)
}

// lock locks both mutexes and returns a function that unlocks them.
func (b *Body) lock() (unlock func()) {
	b.endMu.Lock()
	b.memory.mu.Lock()
	return func() {
		b.memory.mu.Unlock()
		b.endMu.Unlock()
	}
}

// Take takes n bytes. If they aren't left, it waits for them at most for the time wait and
// then returns ErrFull.
func (b *Body) Take(n dfuident.Bytes, wait time.Duration) error {
	return b.TakePatiently(n, wait, wait)
}

// TakePatiently is Take, but the wait goes on to at most the time longest while less than the
// time wait has passed since another wait ended.
func (b *Body) TakePatiently(n dfuident.Bytes, wait, longest time.Duration) error {
	m := b.memory
	m.mu.Lock()
	if !m.budget.Possible(&b.share, n) {
		m.mu.Unlock()
		m.refused.Inc(1)
		return errors.WithStack(ErrFull)
	}
	taken := m.budget.Take(&b.share, n)
	if !taken {
		b.granted = make(chan struct{}, 1)
		m.bodies[&b.share] = b
		if !m.reclaiming {
			m.reclaiming = true
			go m.reclaim()
		}
	} else if m.budget.Waiting() > 0 && b.share.Taken() > smallBytes {
		m.moved = time.Now()
	}
	m.mu.Unlock()
	if taken {
		return nil
	}
	return b.wait(wait, longest)
}

// wait waits until the memory was granted, as described at TakePatiently.
func (b *Body) wait(limit, longest time.Duration) error {
	end := time.Now().Add(longest)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-b.granted:
			return nil
		case now := <-timer.C:
			if left := b.stopWaiting(now, limit, end); left > 0 {
				timer.Reset(left)
				continue
			}
		}
		select {
		case <-b.granted:
			return nil
		default:
			b.memory.refused.Inc(1)
			return errors.WithStack(ErrFull)
		}
	}
}

// stopWaiting ends the wait if nothing has moved for the time limit, or at the time end.
// Otherwise it returns how much longer to wait.
func (b *Body) stopWaiting(now time.Time, limit time.Duration, end time.Time) time.Duration {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.AnswerPauses(m.clock.Now()) {
		m.moved = now
	}
	if left := min(m.moved.Add(limit).Sub(now), end.Sub(now)); left > 0 {
		return left
	}
	stopped, granted := m.budget.StopWaiting(m.clock.Now(), &b.share)
	if stopped && b.share.Taken() > 0 {
		m.moved = now
	}
	m.notify(granted)
	return 0
}

// reclaim ends bodies that pause until no body waits.
func (m *Memory) reclaim() {
	for {
		slow, isWaiting := m.slowBodies()
		for _, s := range slow {
			s.end()
		}
		if !isWaiting {
			return
		}
		time.Sleep(reclaimPeriod)
	}
}

// slowBody is a transfer that has to end.
type slowBody struct {
	body     *Body
	transfer int
}

// slowBodies returns the transfers that have to end, and whether bodies wait.
func (m *Memory) slowBodies() (slow []slowBody, isWaiting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.notify(m.budget.Unblock(now))
	for _, s := range m.budget.Reclaim(now) {
		b := m.bodies[s]
		slow = append(slow, slowBody{b, b.transfers})
	}
	m.reclaiming = m.budget.Waiting() > 0
	return slow, m.reclaiming
}

// end ends the transfer unless it has ended meanwhile.
func (s slowBody) end() {
	s.body.endMu.Lock()
	defer s.body.endMu.Unlock()
	if s.body.transfers == s.transfer {
		s.body.memory.ended.Inc(1)
		s.body.end()
	}
}

// notify ends the waits of bodies that have got their memory. m.mu must be held.
func (m *Memory) notify(granted []*dfumemory.Share) {
	if len(granted) > 0 {
		m.moved = time.Now()
	}
	for _, s := range granted {
		m.bodies[s].granted <- struct{}{}
	}
}

// Force takes n bytes for what is in memory already.
func (b *Body) Force(n dfuident.Bytes) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.memory.budget.Force(&b.share, n)
}

// Progress records that n bytes of the body were transferred.
func (b *Body) Progress(n int) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.memory.budget.Progress(b.memory.clock.Now(), &b.share, dfuident.Bytes(n))
}

// Received marks that the body has been transferred. It doesn't have to end any more. It does
// nothing if b is nil.
func (b *Body) Received() {
	if b == nil {
		return
	}
	defer b.lock()()
	b.received()
}

// received is Received with both mutexes held.
func (b *Body) received() {
	b.memory.budget.Received(&b.share)
	delete(b.memory.bodies, &b.share)
	b.end = nil
	b.transfers++
}

// Release returns the memory of the body. It does nothing if b is nil.
func (b *Body) Release() {
	if b == nil {
		return
	}
	m := b.memory
	defer b.lock()()
	b.received()
	m.notify(m.budget.Release(m.clock.Now(), &b.share, b.share.Taken()))
}
