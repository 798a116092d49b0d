package dfuroster_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"dragonflyusher/measure/dfufleet"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the expected transcripts")

// TestSessions runs each session's script against a fleet of keepers on a
// virtual clock and compares the transcript.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(path)
			is.NoErr(err)
			is.Equal(len(archive.Files), 2) // a script and its transcript
			got, err := dfufleet.RunScript(dfufleet.DefaultConfig(), string(archive.Files[0].Data))
			is.NoErr(err)
			if *update {
				archive.Files[1].Data = []byte(got)
				is.NoErr(os.WriteFile(path, txtar.Format(archive), 0o600))
				return
			}
			is.Equal(string(archive.Files[1].Data), got)
		})
	}
}
