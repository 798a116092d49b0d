package dfulog

import (
	"io"
	"reflect"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Config defines what is logged and where.
type Config struct {
	// Level is one of debug, info, warn and error.
	Level string
	// LinesPerSecond is the maximum number of lines per second with the same
	// message; zero means no limit.
	LinesPerSecond int
	// Out receives the lines, each in one Write.
	Out io.Writer
}

// Log is a logger whose level can be changed and whose dropped lines can be
// queried while the program runs.
type Log struct {
	*zap.Logger
	// Level may be changed at any time.
	Level zap.AtomicLevel
	ring  *ringWriter
}

// New returns a log that adds the given fields to every line. Close ends it.
func New(cfg Config, fields ...zap.Field) (*Log, error) {
	level, err := zap.ParseAtomicLevel(cfg.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.TimeKey = "time"
	ring := newRingWriter(cfg.Out)
	core := newPlainErrors(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), ring, level))
	return &Log{Logger: zap.New(newBudget(core, cfg.LinesPerSecond), zap.Fields(fields...)), Level: level, ring: ring}, nil
}

// Close waits up to a second until the queued lines are written, and stops the
// log.
func (l *Log) Close() {
	// The ring's own Sync does not fail.
	_ = l.Sync()
	l.ring.close()
}

// Dropped returns the number of lines that were dropped because Out was too slow.
func (l *Log) Dropped() uint64 {
	return l.ring.Dropped()
}

// plainErrors is a core that writes the message of an error without its stack
// trace, which would fill the line with paths of the build machine.
type plainErrors struct {
	zapcore.Core
}

func newPlainErrors(core zapcore.Core) zapcore.Core {
	return plainErrors{core}
}

// With returns a core that adds fields to every line.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(withoutStacks(fields))}
}

// Check adds the core to checked if the level of the line is enabled.
func (c plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes one line.
func (c plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, withoutStacks(fields))
}

// withoutStacks returns a copy of fields with errors replaced by their messages.
// It doesn't modify fields, which the caller may reuse.
func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	replaced := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		replaced[i] = withoutStack(f)
	}
	return replaced
}

func withoutStack(f zapcore.Field) zapcore.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	if f.Type != zapcore.ArrayMarshalerType {
		return f
	}
	// zap.Errors converts a list of errors to an unexported type.
	list, ok := reflect.TypeAssert[[]error](asErrors(f.Interface))
	if !ok {
		return f
	}
	var messages []string
	for _, err := range list {
		if err != nil {
			messages = append(messages, err.Error())
		}
	}
	return zap.Strings(f.Key, messages)
}

// asErrors converts a list to []error if its type allows it, and otherwise returns
// it unchanged.
func asErrors(list any) reflect.Value {
	v := reflect.ValueOf(list)
	if errorList := reflect.TypeFor[[]error](); v.CanConvert(errorList) {
		return v.Convert(errorList)
	}
	return v
}
