package dfuclaim_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"

	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// session runs one script. A message that matches a hold pattern is held back until
// the command "let". A message that matches a drop pattern is lost.
type session struct {
	*simulation
	holdPatterns []string
	dropPatterns []string
	heldPackets  []packet
	keys         map[string]dfuident.Key
}

// TestSessions runs the file "script" of each testdata/*.txtar and compares the
// result with the file "transcript".
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			ar, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &session{simulation: newSimulation(1), keys: map[string]dfuident.Key{}}
			s.verbose, s.admit = true, s.admitPacket
			got := s.runScript(string(ar.Files[0].Data))
			if len(s.faults) > 0 {
				t.Errorf("faults: %v", s.faults)
			}
			if *update {
				ar.Files = append(ar.Files[:1], txtar.File{Name: "transcript", Data: []byte(got)})
				if err := os.WriteFile(file, txtar.Format(ar), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if want := string(ar.Files[1].Data); got != want {
				t.Errorf("transcript differs; got:\n%s", got)
			}
		})
	}
}

// runScript runs a script and returns the transcript.
func (s *session) runScript(script string) string {
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		fmt.Fprintf(&s.out, "> %s\n", strings.TrimSpace(line))
		s.runCommand(words[0], words[1:])
	}
	return s.out.String()
}

// runCommand runs one line of a script.
func (s *session) runCommand(name string, args []string) {
	switch name {
	case "node": // id region zone
		s.add(dfuident.NodeID(args[0]), dfuident.Place{Region: dfuident.Region(args[1]), Zone: dfuident.Zone(args[2])})
	case "deleted":
		s.deleted = true
	case "limit": // records
		s.cfg.Limits.Records = atoi(args[0])
	case "window": // ms
		s.cfg.Window = dfuclock.Duration(atoi(args[0]))
	case "run": // ms
		s.runFor(dfuclock.Duration(atoi(args[0])))
	case "claim": // node key [age ms] [remaining ms]
		s.claimKey(args)
	case "finish": // node [lost]
		for n := s.node(args[0]); len(n.running) > 0; {
			s.finish(n, 0, len(args) < 2)
		}
	case "hold":
		s.holdPatterns = append(s.holdPatterns, args...)
	case "drop":
		s.dropPatterns = append(s.dropPatterns, args...)
	case "pass": // ends all holds and drops; held messages stay held
		s.holdPatterns, s.dropPatterns = nil, nil
	case "let": // [kind], delivers held messages
		s.releaseHeld(args)
	case "store": // mode [node...]
		if len(args) == 1 {
			s.store = storeMode(args[0])
		}
		for _, id := range args[1:] {
			s.node(id).store = storeMode(args[0])
		}
	case "epoch": // number
		for _, n := range s.nodes {
			s.step(n, dfuclaim.EntryChanged{Epoch: uint64(atoi(args[0]))})
		}
	case "table":
		for i, e := range s.table.Shards {
			fmt.Fprintf(&s.out, "shard %d gen %d owner %s copy %s\n", i, e.Generation, e.Owner, e.Copy)
		}
	default:
		s.runMembershipCommand(name, s.node(args[0]), args[1:])
	}
}

// runMembershipCommand runs a command about a node's process or about its state as
// other nodes see it.
func (s *session) runMembershipCommand(name string, n *node, args []string) {
	switch name {
	case "freeze":
		n.frozen = true
	case "wake":
		s.wake(n)
	case "kill":
		n.ended = true
	case "dead":
		for _, o := range s.nodes {
			if o != n {
				s.setView(o, n, dfuclaim.NodeDead)
			}
		}
	case "alive":
		s.announce(n, dfuclaim.NodeAlive)
	case "replace":
		s.replace(n, true)
	case "sees": // node state
		s.setView(n, s.node(args[0]), dfuclaim.NodeState(args[1]))
	case "leave":
		s.announce(n, dfuclaim.NodeLeaving)
		s.step(n, dfuclaim.Stopping{})
	case "holdgate":
		s.holdGrants = true
	case "handover":
		s.holdGrants = false
		for len(n.granted) > 0 {
			s.runGranted(n, 0)
		}
	case "release":
		id := n.granted[0]
		n.granted, s.holdGrants = n.granted[1:], false
		s.step(n, dfuclaim.Released{Request: id})
	default:
		panic("unknown command " + name)
	}
}

func (s *session) claimKey(args []string) {
	n := s.node(args[0])
	age, remaining := 0, 1000
	if len(args) > 2 {
		age = atoi(args[2])
	}
	if len(args) > 3 {
		remaining = atoi(args[3])
	}
	key, ok := s.keys[args[1]]
	if !ok {
		key = s.key(args[1], s.wall(n)-dfuclaim.UnixMs(age))
		s.keys[args[1]] = key
	}
	s.claim(n, key, dfuclock.Duration(remaining))
}

// releaseHeld puts held messages back onto the network: those of one kind, or all
// of them if no kind is given, which also ends all holds and drops.
func (s *session) releaseHeld(kinds []string) {
	heldPackets := s.heldPackets
	s.heldPackets = nil
	if len(kinds) == 0 {
		s.holdPatterns, s.dropPatterns = nil, nil
	}
	for _, p := range heldPackets {
		if len(kinds) == 0 || matches([]string{kinds[0] + ":"}, p) {
			s.network = append(s.network, p)
		} else {
			s.heldPackets = append(s.heldPackets, p)
		}
	}
}

// admitPacket reports whether a packet gets onto the network. It stores packets
// that are held.
func (s *session) admitPacket(p packet) bool {
	if matches(s.holdPatterns, p) {
		s.heldPackets = append(s.heldPackets, p)
		return false
	}
	return !matches(s.dropPatterns, p)
}

// matches reports whether any pattern, such as "Ack:b>a" or ":a>b", matches a
// packet.
func matches(patterns []string, p packet) bool {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", p.msg), "dfuclaim.")
	link := fmt.Sprintf("%s>%s", p.from.Node, p.to.Node)
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		patternKind, patternLink, _ := strings.Cut(pattern, ":")
		return (patternKind == "" || patternKind == kind) && (patternLink == "" || patternLink == link)
	})
}

func atoi(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

// TestMain raises the default number of checks of the property test, which still
// completes within seconds.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("2000"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
