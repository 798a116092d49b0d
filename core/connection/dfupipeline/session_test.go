package dfupipeline_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/core/process/dfuident"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the transcripts")

var sessionLimits = dfupipeline.Limits{Requests: 3, Bytes: 1000}

// TestSessions runs the scripts under testdata and compares their transcripts.
func TestSessions(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			transcript := play(string(archive.Files[0].Data))
			if *update {
				archive.Files = append(archive.Files[:1], txtar.File{Name: "transcript", Data: []byte(transcript)})
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o644))
				return
			}
			is.Equal(string(archive.Files[1].Data), transcript)
		})
	}
}

// play runs a script with one event per line on one connection.
func play(script string) string {
	p := dfupipeline.New(sessionLimits)
	var out strings.Builder
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		out.WriteString(strings.Join(words, " ") + ":")
		for _, action := range p.Step(parseEvent(words)) {
			fmt.Fprintf(&out, " %T%+v", action, action)
		}
		if p.CanRead() {
			out.WriteString(" (may read)")
		}
		out.WriteByte('\n')
	}
	return strings.ReplaceAll(out.String(), "dfupipeline.", "")
}

func parseEvent(words []string) dfupipeline.Event {
	last := words[len(words)-1]
	switch words[0] {
	case "received":
		return dfupipeline.Received{Size: dfuident.Bytes(number(words[1])), Close: last == "close"}
	case "responded":
		return dfupipeline.Responded{Sequence: dfupipeline.Sequence(number(words[1])), Size: dfuident.Bytes(number(words[2]))}
	case "written":
		return dfupipeline.Written{Failed: last == "failed"}
	case "input_ended":
		return dfupipeline.InputEnded{}
	case "stop":
		return dfupipeline.Stop{}
	default:
		panic(words[0])
	}
}

func number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		panic(err)
	}
	return n
}
