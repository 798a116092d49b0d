package dfuroute

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dragonflyusher/core/process/dfuident"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the expected transcripts")

// TestSessions parses the table of each archive and matches its requests. A
// request is a line with a host, a path and the draw for Pick.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			got := runSession(archive.Files[0].Data, string(archive.Files[1].Data))
			if *update {
				archive.Files = append(archive.Files[:2], txtar.File{Name: "transcript", Data: []byte(got)})
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o644))
			}
			is.Equal(string(archive.Files[2].Data), got)
		})
	}
}

func runSession(table []byte, requests string) string {
	parsed, err := Parse(table)
	if err != nil {
		return "refused:\n" + err.Error() + "\n"
	}
	var out strings.Builder
	for line := range strings.Lines(requests) {
		var host, path string
		var draw float64
		if _, err := fmt.Sscan(line, &host, &path, &draw); err != nil {
			continue
		}
		fmt.Fprintf(&out, "%s %s %g: ", host, path, draw)
		if r, ok := parsed.Match(host, path); ok {
			fmt.Fprintf(&out, "%s %s to %s\n", r.Name, r.Kind, r.Pick(draw))
		} else {
			fmt.Fprintln(&out, "no route")
		}
	}
	return out.String()
}

// TestEncode checks that encoding and parsing a table gives an equal table.
func TestEncode(t *testing.T) {
	is := is.New(t)
	archive, err := txtar.ParseFile("testdata/match.txtar")
	is.NoErr(err)
	table, err := Parse(archive.Files[0].Data)
	is.NoErr(err)
	data, err := table.Encode()
	is.NoErr(err)
	decoded, err := Parse(data)
	is.NoErr(err)
	is.Equal(table, decoded)
}

// TestPickByWeight checks that the parts of a split get requests in proportion
// to their weights.
func TestPickByWeight(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []SplitPart{{"a", 90}, {"b", 0}, {"c", 10}}, weightSum: 100}
	counts := map[dfuident.Service]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	is.Equal(counts, map[dfuident.Service]int{"a": 900, "c": 100})
}

// FuzzParse looks for tables that Parse accepts although matching a request
// panics or selects no service.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(archive.Files[0].Data, "shop.example", "/a/b")
	}
	f.Fuzz(func(t *testing.T, data []byte, host, path string) {
		table, err := Parse(data)
		if err != nil {
			return
		}
		if r, ok := table.Match(host, path); ok {
			for _, draw := range []float64{0, 0.5, 0.999999} {
				if r.Pick(draw) == "" {
					t.Fatal("Parse accepted a route without a service")
				}
			}
		}
	})
}
