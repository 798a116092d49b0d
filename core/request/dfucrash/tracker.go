package dfucrash

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Fingerprint identifies requests that are identical from a target's point of view. Zero
// means that a request has no fingerprint; such a request never becomes a suspect.
type Fingerprint uint64

// Crash identifies a crash of a target, so that duplicate reports of it are counted once.
type Crash struct {
	Node   dfuident.Member `json:"node"`
	Number uint64          `json:"number"`
}

// Config holds the limits of a Tracker.
type Config struct {
	// SuspectFor is how long a fingerprint stays a suspect after a crash.
	SuspectFor dfuclock.Duration
	// BanFor is how long a banned fingerprint is refused.
	BanFor dfuclock.Duration
	// EntriesMax is the maximum number of suspects, and of bans, that are kept.
	EntriesMax int
	// Window is the number of latest offers in which fingerprints are counted.
	Window int
	// ShareMax is the count within Window above which a fingerprint is considered
	// normal traffic of the service and never banned.
	ShareMax int
}

// DefaultConfig returns the configuration used by a node.
func DefaultConfig() Config {
	return Config{
		SuspectFor: 5 * dfuclock.Minute,
		BanFor:     5 * dfuclock.Minute,
		EntriesMax: 1024,
		Window:     256,
		ShareMax:   32,
	}
}

// Tracker keeps a limited number of suspects and bans.
type Tracker struct {
	cfg      Config
	suspects map[Fingerprint]suspect
	bans     map[Fingerprint]dfuclock.Time
	window   []Fingerprint
	oldest   int
	counts   map[Fingerprint]int
}

type suspect struct {
	crash Crash
	until dfuclock.Time
}

// New returns a Tracker without suspects and bans.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:      cfg,
		suspects: make(map[Fingerprint]suspect),
		bans:     make(map[Fingerprint]dfuclock.Time),
		counts:   make(map[Fingerprint]int),
	}
}

// CountOffer counts an offer of a fingerprint and reports whether the fingerprint is
// banned. Offers of a banned fingerprint aren't counted, so that a caller can't lift a ban
// by repeating its request.
func (t *Tracker) CountOffer(now dfuclock.Time, f Fingerprint) bool {
	if f == 0 {
		return false
	}
	if t.Banned(now, f) {
		return true
	}
	if len(t.window) < t.cfg.Window {
		t.window = append(t.window, f)
	} else {
		t.decrementCount(t.window[t.oldest])
		t.window[t.oldest] = f
		t.oldest = (t.oldest + 1) % len(t.window)
	}
	t.counts[f]++
	return false
}

func (t *Tracker) decrementCount(f Fingerprint) {
	t.counts[f]--
	if t.counts[f] == 0 {
		delete(t.counts, f)
	}
}

// Banned reports whether the fingerprint is currently banned.
func (t *Tracker) Banned(now dfuclock.Time, f Fingerprint) bool {
	until, ok := t.bans[f]
	if ok && !now.Before(until) {
		delete(t.bans, f)
		return false
	}
	return ok
}

// BanCount returns the number of fingerprints that are currently banned.
func (t *Tracker) BanCount(now dfuclock.Time) int {
	n := 0
	for _, until := range t.bans {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// Suspected reports whether the fingerprint was running at a crash within the last
// SuspectFor and hasn't completed since.
func (t *Tracker) Suspected(now dfuclock.Time, f Fingerprint) bool {
	s, ok := t.suspects[f]
	if ok && !now.Before(s.until) {
		delete(t.suspects, f)
		return false
	}
	return ok
}

// RecordCrash records the fingerprints that were running at a crash. It returns those that
// were also running at an earlier crash, which are now banned, and those that are now
// suspects. Both slices are sorted.
func (t *Tracker) RecordCrash(now dfuclock.Time, crash Crash, running []Fingerprint) (banned, suspects []Fingerprint) {
	running = slices.Clone(running)
	slices.Sort(running)
	for _, f := range slices.Compact(running) {
		switch {
		case f == 0 || t.Banned(now, f) || t.isCommon(f):
		case t.Suspected(now, f) && t.suspects[f].crash != crash:
			delete(t.suspects, f)
			t.Ban(now, f, t.cfg.BanFor)
			banned = append(banned, f)
		default:
			t.suspect(now, f, crash)
			suspects = append(suspects, f)
		}
	}
	return banned, suspects
}

// isCommon reports whether the fingerprint's share of the offers is so large that banning it
// would effectively ban the service.
func (t *Tracker) isCommon(f Fingerprint) bool {
	return t.counts[f] > t.cfg.ShareMax
}

// Ban bans a fingerprint for the duration d, at most BanFor. It returns false if the
// fingerprint can't be banned because it is zero or normal traffic. Ban is used for this
// node's own findings and for bans announced by peers.
func (t *Tracker) Ban(now dfuclock.Time, f Fingerprint, d dfuclock.Duration) bool {
	if f == 0 || t.isCommon(f) {
		return false
	}
	until := now.Add(min(d, t.cfg.BanFor))
	if t.bans[f] < until {
		t.bans[f] = until
	}
	if len(t.bans) > t.cfg.EntriesMax {
		delete(t.bans, earliest(t.bans, func(at dfuclock.Time) dfuclock.Time { return at }))
	}
	return true
}

func (t *Tracker) suspect(now dfuclock.Time, f Fingerprint, crash Crash) {
	t.suspects[f] = suspect{crash: crash, until: now.Add(t.cfg.SuspectFor)}
	if len(t.suspects) > t.cfg.EntriesMax {
		delete(t.suspects, earliest(t.suspects, func(s suspect) dfuclock.Time { return s.until }))
	}
}

// ClearSuspect clears a suspect whose request was answered, and reports whether the
// fingerprint was a suspect.
func (t *Tracker) ClearSuspect(f Fingerprint) bool {
	_, ok := t.suspects[f]
	delete(t.suspects, f)
	return ok
}

// earliest returns the key with the lowest time. Ties go to the lowest key, so that eviction
// doesn't depend on the map's iteration order.
func earliest[V any](m map[Fingerprint]V, at func(V) dfuclock.Time) Fingerprint {
	var lowest Fingerprint
	var lowestAt dfuclock.Time
	found := false
	for f, v := range m {
		if !found || cmp.Or(cmp.Compare(at(v), lowestAt), cmp.Compare(f, lowest)) < 0 {
			lowest, lowestAt, found = f, at(v), true
		}
	}
	return lowest
}
