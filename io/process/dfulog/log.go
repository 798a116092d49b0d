package dfulog

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a log at the named level and the level itself, which may be
// changed while the program runs.
func New(level string, fields ...zap.Field) (*zap.Logger, zap.AtomicLevel, error) {
	atomic, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, zap.AtomicLevel{}, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = atomic
	cfg.Sampling = nil
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncoderConfig.TimeKey = "time"
	log, err := cfg.Build(zap.WrapCore(newPlainErrors), zap.Fields(fields...))
	return log, atomic, errors.Wrap(err, "make log")
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
