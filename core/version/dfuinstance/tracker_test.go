package dfuinstance_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuinstance"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the expected transcripts")

// TestSessions runs scripts with lines such as "take i-1 born 100 seq 3
// draining", "leave i-1 now 200" and "lose", and compares the transcripts.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			got := runScript(string(archive.Files[0].Data))
			if *update {
				archive.Files = append(archive.Files[:1], txtar.File{Name: "transcript", Data: []byte(got)})
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o644))
			}
			is.Equal(string(archive.Files[1].Data), got)
		})
	}
}

func runScript(script string) string {
	var tracker dfuinstance.Tracker
	var out strings.Builder
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		switch words[0] {
		case "take":
			a := dfuinstance.Announcement{Instance: dfuident.Instance(words[1]), Draining: strings.HasSuffix(line, "draining")}
			_, _ = fmt.Sscanf(strings.Join(words[2:6], " "), "born %d seq %d", &a.Born, &a.Sequence)
			fmt.Fprintf(&out, "%s: %s", line, tracker.Apply(a))
		case "leave":
			var now dfuinstance.UnixMs
			_, _ = fmt.Sscanf(strings.Join(words[2:], " "), "now %d", &now)
			fmt.Fprintf(&out, "%s: present %v", line, tracker.MarkLeft(dfuident.Instance(words[1]), now))
		case "lose":
			tracker.MarkLost()
			fmt.Fprint(&out, line)
		}
		if current, ok := tracker.Current(); ok {
			fmt.Fprintf(&out, " -> %s born %d seq %d draining %v\n", current.Instance, current.Born, current.Sequence, current.Draining)
		} else {
			fmt.Fprintln(&out, " -> none")
		}
	}
	return out.String()
}

// TestAnyOrder applies announcements in any order and repeatedly. The newest
// announcement of the latest run must be the current one in the end, and an
// instance that left must not return with a start time that is not later.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker dfuinstance.Tracker
		gone := map[dfuident.Instance]dfuinstance.UnixMs{}
		newest := dfuinstance.Announcement{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			instance := dfuident.Instance(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance"))
			if rapid.IntRange(0, 9).Draw(t, "what") == 0 {
				if current, ok := tracker.Current(); ok && current.Instance == instance {
					gone[instance] = current.Born
				}
				tracker.MarkLeft(instance, 0)
				continue
			}
			a := dfuinstance.Announcement{
				Instance: instance,
				Born:     dfuinstance.UnixMs(rapid.IntRange(1, 5).Draw(t, "born")),
				Sequence: uint64(rapid.IntRange(1, 9).Draw(t, "sequence")),
			}
			before, present := tracker.Current()
			result := tracker.Apply(a)
			if born, ok := gone[instance]; ok && a.Born <= born && result != dfuinstance.Outdated {
				t.Fatalf("%v was accepted after its run had left", a)
			}
			if present && result != dfuinstance.Outdated && a.Born < before.Born {
				t.Fatalf("%v replaced the later run %v", a, before)
			}
			if result != dfuinstance.Outdated {
				newest = a
			}
			if current, ok := tracker.Current(); ok && current != newest {
				t.Fatalf("current announcement is %v, the last accepted one was %v", current, newest)
			}
		}
	})
}
