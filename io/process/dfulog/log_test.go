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

// TestLog checks that each line is one JSON object, that errors come without
// their stack wherever they stand, and that a changed level takes effect.
func TestLog(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	log, err := New(Config{Level: "info", Out: w}, zap.String("node", "n"), zap.Error(errors.New("base")))
	is.NoErr(err)
	level := log.Level
	fault := errors.Wrap(errors.New("inner"), "outer")
	log.Debug("hidden")
	log.Error("field", zap.Error(fault), zap.NamedError("cause", fault), zap.Errors("all", []error{fault, nil}), zap.Any("any", fault))
	reused := []zap.Field{zap.Error(fault)}
	log.Debug("hidden", reused...)
	log.With(reused...).Info("with")
	is.Equal(reused[0], zap.Error(fault)) // the caller's fields stay as they were
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
	for _, line := range lines { // the field of the log itself
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
