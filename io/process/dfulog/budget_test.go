package dfulog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"
)

// buffer is a log output. Holding mu blocks it.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a line.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Lines with the same message must be limited per second without affecting other
// messages, and the number of suppressed lines must be reported once.
func TestBudget(t *testing.T) {
	is := is.New(t)
	counts := &messageCounts{perSecond: 3, counts: map[string]*messageCount{}}
	line := func(message string, second int64) bool {
		allowed, _ := counts.count(zapcore.Entry{Message: message, Time: time.Unix(second, 0)})
		return allowed
	}
	written := 0
	for range 10 {
		if line("request finished", 1) {
			written++
		}
	}
	is.Equal(written, 3)
	is.True(line("joined", 1))
	allowed, suppressed := counts.count(zapcore.Entry{Message: "request finished", Time: time.Unix(2, 0)})
	is.True(allowed)
	is.Equal(suppressed, []suppression{{"request finished", 7}})
	_, suppressed = counts.count(zapcore.Entry{Message: "request finished", Time: time.Unix(3, 0)})
	is.Equal(len(suppressed), 0)
}

// A blocked output must not block the caller: lines beyond the queue are dropped
// and counted, and the log reports them once the output continues.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
	log, err := New(Config{Level: "info", Out: out})
	is.NoErr(err)
	defer log.Close()
	out.mu.Lock()
	for range 2 * maxQueuedLines {
		log.Info("line")
	}
	out.mu.Unlock()
	is.NoErr(log.Sync())
	is.True(log.Dropped() > 0)
	for end := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), "lines dropped"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the log does not report the dropped lines")
		}
	}
}
