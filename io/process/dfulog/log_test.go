package dfulog

import (
	"encoding/json"
	"io"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TestLog checks that each line is one JSON object, that errors are logged without
// their stack trace in fields of any kind, and that a changed level takes effect.
func TestLog(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	log, err := New(Config{Level: "info", Out: w}, zap.String("node", "n"), zap.Error(errors.New("base")))
	is.NoErr(err)
	level := log.Level
	failure := errors.Wrap(errors.New("inner"), "outer")
	log.Debug("hidden")
	log.Error("field", zap.Error(failure), zap.NamedError("cause", failure), zap.Errors("all", []error{failure, nil}), zap.Any("any", failure))
	reused := []zap.Field{zap.Error(failure)}
	log.Debug("hidden", reused...)
	log.With(reused...).Info("with")
	is.Equal(reused[0], zap.Error(failure)) // the caller's fields aren't modified
	level.SetLevel(zapcore.DebugLevel)
	log.Debug("shown", zap.Error(nil), zap.NamedError("none", nil))
	log.Close()
	w.Close()
	var lines []map[string]any
	for d := json.NewDecoder(r); ; {
		var line map[string]any
		err := d.Decode(&line)
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		is.True(line["time"] != nil)
		delete(line, "time")
		lines = append(lines, line)
	}
	for _, line := range lines { // the field passed to New
		is.Equal(line["node"], "n")
		delete(line, "node")
	}
	got, err := json.Marshal(lines)
	is.NoErr(err)
	is.Equal(string(got), `[{"all":["outer: inner"],"any":"outer: inner","cause":"outer: inner","error":"outer: inner","level":"error","msg":"field"},`+
		`{"error":"outer: inner","level":"info","msg":"with"},{"error":"base","level":"debug","msg":"shown"}]`)
	_, err = New(Config{Level: "loud"})
	is.True(err != nil)
}
