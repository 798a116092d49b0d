package dfuscenario_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"dragonflyusher/measure/dfuscenario"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares a text with a file in testdata.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		is.New(t).NoErr(os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	is.New(t).Equal(string(got), string(want))
}

// A day of a site file is converted to a scenario, and unsupported disruptions are
// returned.
func TestReadDay(t *testing.T) {
	is := is.New(t)
	s, unsupported, err := dfuscenario.ReadDay("testdata/site.toml", "busy")
	is.NoErr(err)
	is.Equal(unsupported, []string{"config_change route", "lossy"})
	text, err := json.MarshalIndent(s, "", " ")
	is.NoErr(err)
	checkGolden(t, "busy.json", append(text, '\n'))
	again, err := dfuscenario.Parse("busy.json", text)
	is.NoErr(err)
	is.Equal(again, s)
	_, _, err = dfuscenario.ReadDay("testdata/site.toml", "quiet")
	is.True(err != nil)
}

// Parse reports all findings at once, each with its position.
func TestFindings(t *testing.T) {
	_, err := dfuscenario.Parse("day.json", []byte(`{
 "length_ms": 0, "speed": 3,
 "zones": [{"region": "south", "zone": "south-a"}],
 "services": [{"name": "lookup", "slots": 0}],
 "vms": [{"zone": "west-a", "service": "order", "count": 1}],
 "kinds": [{"name": "check", "service": "lookup", "calls": [{"kind": "price"}]}],
 "traffic": [{"zone": "south-a", "mix": [{"kind": "chek", "weight": 1}]}],
 "troubles": [{"kind": "flood"}]
}`))
	is.New(t).True(err != nil)
	checkGolden(t, "findings.txt", []byte(err.Error()+"\n"))
}
