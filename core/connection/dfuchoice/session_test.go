package dfuchoice_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the transcripts")

// TestSessions runs the scripts under testdata and compares their transcripts.
func TestSessions(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			transcript := newSession().play(string(archive.Files[0].Data))
			if *update {
				archive.Files = append(archive.Files[:1], txtar.File{Name: "transcript", Data: []byte(transcript)})
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o644))
				return
			}
			is.Equal(string(archive.Files[1].Data), transcript)
		})
	}
}

// behavior describes how a target responds in a session.
type behavior struct {
	kind    dfuchoice.FeedbackKind
	latency dfuclock.Duration
	// slots limits the requests that run at once; zero means no limit.
	slots int
	// load is the load that the target's node reports, or nil.
	load *dfuchoice.Load
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	at       dfuclock.Time
	feedback dfuchoice.Feedback
}

// session is a chooser with targets defined by a script.
type session struct {
	chooser    *dfuchoice.Chooser
	now        dfuclock.Time
	members    map[string]dfuident.Member
	behaviors  map[string]behavior
	slotFreeAt map[string][]dfuclock.Time
	inFlight   []pendingAttempt
	out        strings.Builder
}

func newSession() *session {
	return &session{
		chooser:    dfuchoice.New(dfuchoice.DefaultSettings(), rand.New(rand.NewPCG(1, 1))),
		now:        1000,
		members:    map[string]dfuident.Member{},
		behaviors:  map[string]behavior{},
		slotFreeAt: map[string][]dfuclock.Time{},
	}
}

func (s *session) play(script string) string {
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		fmt.Fprintf(&s.out, "> %s\n", strings.Join(words, " "))
		switch words[0] {
		case "paced":
			s.chooser = dfuchoice.New(dfuchoice.MinLossSettings(), rand.New(rand.NewPCG(1, 1)))
		case "targets":
			s.targets(words[1:])
		case "behave":
			s.behave(words[1], words[2:])
		case "run":
			s.run(number(words[1]), dfuclock.Duration(number(words[3])), words[4:])
		default:
			panic(words[0])
		}
	}
	return s.out.String()
}

// targets sets the targets from words such as "n1=sued/sued-a" with the flags
// ",cold" and ",draining".
func (s *session) targets(words []string) {
	var targets []dfuchoice.Target
	for _, word := range words {
		name, rest, _ := strings.Cut(word, "=")
		parts := strings.Split(rest, ",")
		region, zone, _ := strings.Cut(parts[0], "/")
		member := dfuident.Member{Node: dfuident.NodeID(name), Incarnation: 1}
		s.members[name] = member
		target := dfuchoice.Target{
			Member: member, Slots: 4, Draining: slices.Contains(parts, "draining"),
			Place: dfuident.Place{Region: dfuident.Region(region), Zone: dfuident.Zone(zone)},
		}
		if slices.Contains(parts, "cold") {
			target.ColdSince = s.now
		}
		targets = append(targets, target)
		if _, ok := s.behaviors[name]; !ok {
			s.behaviors[name] = behavior{kind: dfuchoice.FeedbackAnswered, latency: 20}
		}
	}
	s.chooser.SetTargets(s.now, "svc", targets)
}

// behave sets how a target responds, from words such as "target_error 1",
// "answered 20 slots 2" or "refused 2 load 9 20 500". The numbers after load
// are the requests at the target, the service time and the slowdown.
func (s *session) behave(name string, words []string) {
	b := behavior{kind: dfuchoice.FeedbackKind(words[0]), latency: dfuclock.Duration(number(words[1]))}
	switch {
	case len(words) > 3 && words[2] == "slots":
		b.slots = number(words[3])
	case len(words) > 4 && words[2] == "load":
		b.load = &dfuchoice.Load{InFlight: uint16(number(words[3])), ServiceTime: dfuclock.Duration(number(words[4]))}
		if len(words) > 5 {
			b.load.Slowdown = uint16(number(words[5]))
		}
	}
	s.behaviors[name] = b
	s.slotFreeAt[name] = make([]dfuclock.Time, b.slots)
}

// run sends requests at a fixed interval and prints how many went to each
// target.
func (s *session) run(n int, interval dfuclock.Duration, flags []string) {
	counts := map[string]int{}
	for range n {
		q := dfuchoice.Query{
			Service: "svc", From: dfuident.Place{Region: "sued", Zone: "sued-a"}, Remaining: 500,
			Idempotent: !slices.Contains(flags, "non_idempotent"), Body: 2000,
		}
		if slices.Contains(flags, "tight") {
			q.Objective = 70
		}
		if slices.Contains(flags, "large") {
			q.Kind, q.Body = 1, 60_000
		}
		s.advance(s.now.Add(interval))
		for ; q.Attempt < 4; q.Attempt++ {
			choice, ok := s.chooser.Choose(s.now, q)
			if !ok {
				counts["no target"]++
				break
			}
			label := fmt.Sprintf("%s %s", choice.Member.Node, choice.Reason)
			if choice.Wait {
				label += " wait"
			}
			counts[label]++
			if s.send(choice) != dfuchoice.FeedbackRefused {
				break
			}
			q.Excluded = append(q.Excluded, choice.Member.Node)
			q.Refused = append(q.Refused, choice.Member.Node)
		}
	}
	for _, label := range slices.Sorted(func(yield func(string) bool) {
		for l := range counts {
			if !yield(l) {
				return
			}
		}
	}) {
		fmt.Fprintf(&s.out, "  %s: %d\n", label, counts[label])
	}
}

// send starts an attempt; a refusal returns immediately.
func (s *session) send(choice dfuchoice.Choice) dfuchoice.FeedbackKind {
	name := string(choice.Member.Node)
	b := s.behaviors[name]
	s.chooser.RecordSent(s.now, choice.Member)
	latency := b.latency
	if b.slots > 0 {
		slot := slices.Index(s.slotFreeAt[name], slices.Min(s.slotFreeAt[name]))
		s.slotFreeAt[name][slot] = max(s.slotFreeAt[name][slot], s.now).Add(b.latency)
		latency = s.slotFreeAt[name][slot].Sub(s.now)
	}
	f := dfuchoice.Feedback{Node: choice.Member, Kind: b.kind, Latency: latency, Load: b.load}
	if b.kind == dfuchoice.FeedbackRefused {
		s.chooser.RecordOutcome(s.now, f)
		return b.kind
	}
	s.inFlight = append(s.inFlight, pendingAttempt{s.now.Add(latency), f})
	slices.SortStableFunc(s.inFlight, func(a, b pendingAttempt) int { return cmp.Compare(a.at, b.at) })
	return b.kind
}

// advance moves the clock and completes the attempts that are due.
func (s *session) advance(now dfuclock.Time) {
	for len(s.inFlight) > 0 && !now.Before(s.inFlight[0].at) {
		s.chooser.RecordOutcome(s.inFlight[0].at, s.inFlight[0].feedback)
		s.inFlight = s.inFlight[1:]
	}
	s.now = now
}

func number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		panic(err)
	}
	return n
}
