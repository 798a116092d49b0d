package dfucatalogue_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the expected transcripts")

// TestEntries parses each JSON file of an archive and prints its findings or,
// if it is valid, the differences from the previous valid entry.
func TestEntries(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			inputs, transcript := archive.Files[:len(archive.Files)-1], &archive.Files[len(archive.Files)-1]
			got := describe(inputs)
			if *update {
				transcript.Data = got
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o644))
			}
			is.Equal(string(got), string(transcript.Data))
		})
	}
}

func describe(inputs []txtar.File) []byte {
	var out bytes.Buffer
	previous := dfucatalogue.Defaults()
	for _, input := range inputs {
		fmt.Fprintf(&out, "> %s\n", input.Name)
		entry, err := dfucatalogue.Parse(input.Name, input.Data)
		if err != nil {
			fmt.Fprintln(&out, err)
			continue
		}
		for _, change := range dfucatalogue.Diff(previous, entry) {
			fmt.Fprintf(&out, "%s: %s -> %s\n", change.Path, change.Before, change.After)
		}
		previous = entry
	}
	return out.Bytes()
}

func TestStoredRoundTrip(t *testing.T) {
	is := is.New(t)
	stored := dfucatalogue.Stored{ChangeID: "c1", Entry: entry()}
	data, err := dfucatalogue.EncodeStored(stored)
	is.NoErr(err)
	got, err := dfucatalogue.DecodeStored(data)
	is.NoErr(err)
	is.Equal(got, stored)
	_, err = dfucatalogue.DecodeStored([]byte(`{"change_id":"c1","entry":{"service":"lager","limits":{"queue":-1}}}`))
	is.True(err != nil)
	is.Equal(err.Error(), "limits.queue: must be 0 to 100000, got -1\nowner: must be 1 to 128 bytes long")
}

func entry() dfucatalogue.Entry {
	e := dfucatalogue.Defaults()
	e.Service, e.Owner = "lager", "shops"
	return e
}

// TestJudgeIsTruthful makes changes from the current and from older revisions,
// some of which never reach the store, and checks the status of each against
// what the store did.
func TestJudgeIsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current dfucatalogue.Stored
		var revision dfuident.Revision
		accepted := map[dfuident.ChangeID]int{}
		var changes []dfucatalogue.Change
		for i := range rapid.IntRange(1, 60).Draw(t, "writes") {
			age := rapid.SampledFrom([]uint64{0, 0, 0, 1, 3}).Draw(t, "age")
			change := dfucatalogue.Change{
				ChangeID: dfuident.ChangeID(strconv.Itoa(i)),
				MadeFrom: revision - min(revision, dfuident.Revision(age)),
			}
			changes = append(changes, change)
			if change.MadeFrom == revision && rapid.Bool().Draw(t, "arrives") {
				current = current.Next(change, entry())
				revision++
				accepted[change.ChangeID] = i
			}
		}
		for _, change := range changes {
			checkStatus(t, current, revision, change, accepted)
		}
	})
}

func checkStatus(t *rapid.T, current dfucatalogue.Stored, revision dfuident.Revision, change dfucatalogue.Change, accepted map[dfuident.ChangeID]int) {
	_, applied := accepted[change.ChangeID]
	laterChanges := uint64(revision - change.MadeFrom)
	switch status := current.StatusOf(change, revision); status {
	case dfucatalogue.ChangeAccepted:
		if !applied {
			t.Fatalf("%v was not applied", change)
		}
	case dfucatalogue.ChangeRejected, dfucatalogue.ChangePending:
		if applied {
			t.Fatalf("%v was applied, status %s", change, status)
		}
	case dfucatalogue.ChangeUnknown:
		if laterChanges <= dfucatalogue.MaxRecentChanges {
			t.Fatalf("%v is unknown after only %d later changes", change, laterChanges)
		}
	}
}

func TestRecentStaysBounded(t *testing.T) {
	is := is.New(t)
	var stored dfucatalogue.Stored
	for i := range 3 * dfucatalogue.MaxRecentChanges {
		stored = stored.Next(dfucatalogue.Change{ChangeID: dfuident.ChangeID(strconv.Itoa(i + 1)), MadeFrom: dfuident.Revision(i)}, entry())
	}
	is.Equal(len(stored.Recent), dfucatalogue.MaxRecentChanges)
	text, err := json.Marshal(stored.Recent[0])
	is.NoErr(err)
	is.Equal(string(text), `{"change_id":"23","made_from":22}`)
}

// Another writer's value under a key of the catalogue that is nested deeply, or has a number
// out of range, must be refused without harm to the nodes that read it.
func TestMalformedStoredEntryIsRefused(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for name, malformed := range map[string]string{
		"nested deeply":    `{"change_id": "c", "entry": {"service": ` + deep + `}}`,
		"number too large": `{"change_id": "c", "made_from": 1e999, "entry": {"service": "lager", "owner": "stock"}}`,
		"other types":      `{"change_id": 7, "entry": []}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := dfucatalogue.DecodeStored([]byte(malformed))
			is.New(t).True(err != nil)
		})
	}
}
