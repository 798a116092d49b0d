package dfumemory

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Config describes a Budget.
type Config struct {
	// Total is the memory of all bodies together. Zero means no limit.
	Total dfuident.Bytes
	// Reserve is the part of Total that only bodies of at most Small bytes may take.
	Reserve dfuident.Bytes
	Small   dfuident.Bytes
	// Answers is what answers may take beyond Total: their requests have run.
	Answers dfuident.Bytes
	// Pause is how long a body that is being received may pause before it has to end in
	// favor of one that waits. A body for which MinRateAge has passed has to end in that
	// case too if fewer than MinRate bytes per second arrived.
	Pause      dfuclock.Duration
	MinRate    dfuident.Bytes
	MinRateAge dfuclock.Duration
	// SendPause and SendSlot are how long an answer that is being sent may pause: SendPause at
	// least, and SendSlot for it and each answer of which something was read later, since
	// all of them share the link.
	SendPause, SendSlot dfuclock.Duration
}

// Share is the memory of one body.
type Share struct {
	taken dfuident.Bytes
	// wants is the memory that the Share waits for; zero if it doesn't wait.
	wants dfuident.Bytes
	// received counts the bytes that were received since began; last is when the newest
	// arrived.
	received    dfuident.Bytes
	began, last dfuclock.Time
	// ending is set if the body has to end.
	ending bool
	// sending is set while an answer is being sent, of which the caller receives the bytes.
	sending bool
	// stalled is set if the body paused or was too slow while others waited, until it goes on.
	stalled bool
	answer  bool
	// most is the largest memory that a Share which grows piece by piece may need; zero for
	// others.
	most dfuident.Bytes
}

// NewAnswer returns the Share of an answer.
func NewAnswer() Share {
	return Share{answer: true}
}

// NewGrowing returns the Share of a body of unknown length, which takes its memory piece by
// piece, up to most.
func NewGrowing(most dfuident.Bytes) Share {
	return Share{most: most}
}

// Taken returns the memory that the Share holds.
func (s *Share) Taken() dfuident.Bytes {
	return s.taken
}

// Budget is the state machine of one node's memory. The methods that return Shares return
// those that have got what they waited for.
type Budget struct {
	cfg  Config
	used dfuident.Bytes
	// small is the part of used that Shares of at most Small bytes hold.
	small dfuident.Bytes
	// receiving holds the Shares whose body is being transferred.
	receiving map[*Share]struct{}
	// waiting holds the Shares that wait: those that hold most first, since they block others
	// while they wait, and of these the oldest.
	waiting []*Share
	// front is the growing Share that holds most among those that may need more, exceed Small
	// and haven't stalled; nil if there is none. What it may still need is held back from the
	// other ones, so that one of them can always finish.
	front *Share
}

// New returns a Budget of which nothing is used.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, receiving: map[*Share]struct{}{}}
}

// Used returns the memory of all Shares together.
func (b *Budget) Used() dfuident.Bytes {
	return b.used
}

// Waiting returns the number of Shares that wait.
func (b *Budget) Waiting() int {
	return len(b.waiting)
}

// Receive marks that the body of a Share is being transferred from now on.
func (b *Budget) Receive(now dfuclock.Time, s *Share) {
	s.ending, s.stalled, s.sending, s.began, s.last, s.received = false, false, false, now, now, 0
	b.receiving[s] = struct{}{}
}

// Send marks that an answer is being sent to its caller from now on, until Received is called.
func (b *Budget) Send(now dfuclock.Time, s *Share) {
	b.Receive(now, s)
	s.sending = true
}

// Received marks that the body of a Share has been transferred.
func (b *Budget) Received(s *Share) {
	delete(b.receiving, s)
	b.updateFront(s)
	s.most = 0 // it grows no more
}

// Progress records that n bytes of a body arrived.
func (b *Budget) Progress(now dfuclock.Time, s *Share, n dfuident.Bytes) {
	s.received += n
	s.last = now
	if s.stalled && !b.isSlow(now, s) {
		s.stalled = false
		b.updateFront(s)
	}
}

// Possible reports whether a Share can ever hold n bytes more.
func (b *Budget) Possible(s *Share, n dfuident.Bytes) bool {
	return b.cfg.Total == 0 || s.taken+n <= b.limit(s, n)
}

// Take takes n bytes for a Share, or lets it wait for them. It reports whether they were
// taken. Only small bodies, answers and the front overtake those that wait for room.
func (b *Budget) Take(s *Share, n dfuident.Bytes) bool {
	if b.fits(s, n) && b.isFree(s, n) && (b.mayOvertake(s, n) || !slices.ContainsFunc(b.waiting, b.waitsForRoom)) {
		b.Force(s, n)
		return true
	}
	s.wants = n
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].taken < s.taken {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, s)
	return false
}

// Force takes n bytes for a body that is in memory already.
func (b *Budget) Force(s *Share, n dfuident.Bytes) {
	b.add(s, n)
}

// add adds n bytes, which may be negative, to what a Share holds.
func (b *Budget) add(s *Share, n dfuident.Bytes) {
	if s.taken <= b.cfg.Small {
		b.small -= s.taken
	}
	s.taken += n
	b.used += n
	if s.taken <= b.cfg.Small {
		b.small += s.taken
	}
	b.updateFront(s)
}

// updateFront finds the front again after s has changed.
func (b *Budget) updateFront(s *Share) {
	switch {
	case s == b.front:
		b.front = nil
		for s := range b.receiving {
			b.considerFront(s)
		}
	case s.most > 0:
		b.considerFront(s)
	}
}

func (b *Budget) considerFront(s *Share) {
	_, isReceiving := b.receiving[s]
	if isReceiving && !s.stalled && s.taken > b.cfg.Small && s.taken < s.most && (b.front == nil || s.taken > b.front.taken) {
		b.front = s
	}
}

// isFree reports whether n bytes for a Share leave what is held back for the front: what it
// may still need, up to half of the memory. What small Shares take of the reserve doesn't
// count, as the front may use as much more.
func (b *Budget) isFree(s *Share, n dfuident.Bytes) bool {
	if b.cfg.Total == 0 || s.most == 0 || b.front == nil || s == b.front {
		return true
	}
	if s.taken+n <= b.cfg.Small && b.small+n <= b.cfg.Reserve {
		return true
	}
	heldBack := min(b.front.most-b.front.taken, (b.cfg.Total-b.cfg.Reserve)/2)
	return b.used+n+heldBack <= b.limit(s, n)
}

// waitsForRoom reports whether a Share waits for more than is free, and not just for what is
// held back.
func (b *Budget) waitsForRoom(s *Share) bool {
	return !b.fits(s, s.wants)
}

// mayOvertake reports whether a Share may take n bytes while others wait.
func (b *Budget) mayOvertake(s *Share, n dfuident.Bytes) bool {
	return s.answer || s == b.front || s.taken+n <= b.cfg.Small
}

func (b *Budget) fits(s *Share, n dfuident.Bytes) bool {
	return b.cfg.Total == 0 || b.used+n <= b.limit(s, n)
}

// limit returns up to which total memory a Share may take n bytes more.
func (b *Budget) limit(s *Share, n dfuident.Bytes) dfuident.Bytes {
	switch {
	case s.answer:
		return b.cfg.Total + b.cfg.Answers
	case s.taken+n <= b.cfg.Small:
		return b.cfg.Total
	case s == b.front: // what small Shares hold already doesn't count twice
		return b.cfg.Total - max(0, b.cfg.Reserve-b.small)
	default:
		return b.cfg.Total - b.cfg.Reserve
	}
}

// StopWaiting ends the wait of a Share. It returns false if the Share has got its memory
// already, or gets it now because only what is held back for the front was in its way.
func (b *Budget) StopWaiting(now dfuclock.Time, s *Share) (bool, []*Share) {
	if s.wants == 0 {
		return false, nil
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Share) bool { return w == s })
	if s.most > 0 && b.fits(s, s.wants) {
		b.give(now, s)
		return false, append(b.grant(now), s)
	}
	s.wants = 0
	return true, b.grant(now)
}

// Release returns n bytes of a Share.
func (b *Budget) Release(now dfuclock.Time, s *Share, n dfuident.Bytes) []*Share {
	b.add(s, -n)
	return b.grant(now)
}

// grant gives the Shares that wait what they want, in their order. Small ones and answers may overtake.
func (b *Budget) grant(now dfuclock.Time) (granted []*Share) {
	blocked := false
	b.waiting = slices.DeleteFunc(b.waiting, func(s *Share) bool {
		if blocked && !b.mayOvertake(s, s.wants) || !b.fits(s, s.wants) {
			blocked = true
			return false
		}
		if !b.isFree(s, s.wants) {
			return false
		}
		b.give(now, s)
		granted = append(granted, s)
		return true
	})
	return granted
}

// give ends the wait of a Share with success.
func (b *Budget) give(now dfuclock.Time, s *Share) {
	b.Force(s, s.wants)
	s.wants = 0
	s.began += dfuclock.Time(now.Sub(s.last)) // it was not read while it waited
	s.last = now
}

// Unblock returns the Shares that get their memory because the front pauses or is too slow:
// nothing is held back for it until it goes on.
func (b *Budget) Unblock(now dfuclock.Time) []*Share {
	for len(b.waiting) > 0 && b.front != nil && b.front.wants == 0 && b.isSlow(now, b.front) {
		b.front.stalled = true
		b.updateFront(b.front)
	}
	return b.grant(now)
}

// Reclaim returns the Shares that have to end so that the ones that wait get their memory, no
// more than needed: first answers that aren't read, those that have paused for longest first,
// then bodies that pause or are too slow, those with the fewest bytes per time first. Each is
// returned once; its owner has to release it.
func (b *Budget) Reclaim(now dfuclock.Time) []*Share {
	if len(b.waiting) == 0 {
		return nil
	}
	need := b.used - (b.cfg.Total - b.cfg.Reserve)
	for _, s := range b.waiting {
		need += s.wants
	}
	var slow, sending []*Share
	for s := range b.receiving {
		switch {
		case s.ending:
			need -= s.taken
		case s.sending:
			sending = append(sending, s)
		case s.wants == 0 && s.taken > 0 && b.isSlow(now, s):
			slow = append(slow, s)
		}
	}
	slices.SortFunc(slow, func(x, y *Share) int { return cmp.Compare(x.rate(now), y.rate(now)) })
	slow = append(b.unread(now, sending), slow...)
	for i, s := range slow {
		if need <= 0 {
			return slow[:i]
		}
		s.ending = true
		need -= s.taken
	}
	return slow
}

// unread returns those of the answers being sent that their callers don't read, the one that
// has paused for longest first.
func (b *Budget) unread(now dfuclock.Time, sending []*Share) []*Share {
	slices.SortFunc(sending, func(x, y *Share) int { return cmp.Compare(x.last, y.last) })
	for i, s := range slices.Backward(sending) {
		readers := dfuclock.Duration(len(sending) - i)
		if now.Sub(s.last) > max(b.cfg.SendPause, readers*b.cfg.SendSlot) {
			return sending[:i+1]
		}
	}
	return nil
}

// AnswerPauses reports whether an answer is being sent that pauses, so that it may have to end
// soon.
func (b *Budget) AnswerPauses(now dfuclock.Time) bool {
	for s := range b.receiving {
		if s.sending && now.Sub(s.last) >= b.cfg.Pause {
			return true
		}
	}
	return false
}

func (b *Budget) isSlow(now dfuclock.Time, s *Share) bool {
	return now.Sub(s.last) >= b.cfg.Pause ||
		now.Sub(s.began) >= b.cfg.MinRateAge && s.rate(now)*float64(dfuclock.Second) < float64(b.cfg.MinRate)
}

// rate returns the bytes received per millisecond.
func (s *Share) rate(now dfuclock.Time) float64 {
	return float64(s.received) / float64(max(now.Sub(s.began), 1))
}
