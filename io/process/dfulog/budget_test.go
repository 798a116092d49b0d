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

// buffer is a log's reader that can be made to stand still.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write takes a line.
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

// Lines with one message are bounded in each second, others are not affected, and
// the log tells how many lines it left out of what.
func TestBudget(t *testing.T) {
	is := is.New(t)
	counts := &lineCounts{perSecond: 3, counts: map[string]*lineCount{}}
	line := func(message string, second int64) bool {
		within, _ := counts.count(zapcore.Entry{Message: message, Time: time.Unix(second, 0)})
		return within
	}
	written := 0
	for range 10 {
		if line("request finished", 1) {
			written++
		}
	}
	is.Equal(written, 3)
	is.True(line("joined", 1))
	within, left := counts.count(zapcore.Entry{Message: "request finished", Time: time.Unix(2, 0)})
	is.True(within)
	is.Equal(left, []leftOut{{"request finished", 7}})
	_, left = counts.count(zapcore.Entry{Message: "request finished", Time: time.Unix(3, 0)})
	is.Equal(len(left), 0)
}

// A reader that stands still blocks nobody: lines beyond the ring are dropped and
// counted, which the log tells once the reader goes on.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
	log, err := New(Config{Level: "info", Out: out})
	is.NoErr(err)
	defer log.Close()
	out.mu.Lock()
	for range 2 * ringLines {
		log.Info("line")
	}
	out.mu.Unlock()
	is.NoErr(log.Sync())
	is.True(log.Dropped() > 0)
	for end := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), "lines dropped"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the log does not tell of dropped lines")
		}
	}
}
