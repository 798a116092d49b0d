package dfulog

import (
	"io"
	"reflect"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Config says what is logged and where.
type Config struct {
	// Level is one of debug, info, warn and error.
	Level string
	// LinesPerSecond bounds the lines with the same message; zero bounds nothing.
	LinesPerSecond int
	// Out is where lines go.
	Out io.Writer
}

// Log is a log with what may be asked of it while the program runs.
type Log struct {
	*zap.Logger
	// Level may be changed at any time.
	Level zap.AtomicLevel
	ring  *ringWriter
}

// New returns a log.
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

// Close writes what waits, within a bounded time, and ends the log.
func (l *Log) Close() {
	// The ring's own Sync does not fail.
	_ = l.Sync()
	l.ring.close()
}

// Dropped returns how many lines were dropped because the log's reader is slow.
func (l *Log) Dropped() uint64 {
	return l.ring.Dropped()
}

// plainErrors is a core that writes an error's message without its stack, which
// would fill the line with the paths of the machine that built the program.
type plainErrors struct {
	zapcore.Core
}

func newPlainErrors(core zapcore.Core) zapcore.Core {
	return plainErrors{core}
}

// With adds fields to every line.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check adds the core to a line that its level lets through.
func (c plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes one line.
func (c plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, plain(fields))
}

// plain returns fields with errors as their messages; fields itself belongs to
// the caller, who may use it again.
func plain(fields []zapcore.Field) []zapcore.Field {
	replaced := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		replaced[i] = plainField(f)
	}
	return replaced
}

func plainField(f zapcore.Field) zapcore.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	if f.Type != zapcore.ArrayMarshalerType {
		return f
	}
	// zap keeps a list of errors in a type of its own.
	list, ok := reflect.TypeAssert[[]error](convertible(f.Interface))
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

func convertible(list any) reflect.Value {
	v := reflect.ValueOf(list)
	if errorList := reflect.TypeFor[[]error](); v.CanConvert(errorList) {
		return v.Convert(errorList)
	}
	return v
}
