package dfulog

import (
	"slices"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxMessages bounds the messages that are counted apart; what is beyond shares
// one count.
const maxMessages = 256

// budget is a core that lets so many lines with the same message through in each
// second, and then tells how many of which it left out.
type budget struct {
	zapcore.Core
	shared *lineCounts
}

// lineCounts counts the lines of the present second. Cores made by With share it.
type lineCounts struct {
	perSecond int
	mu        sync.Mutex
	second    int64
	counts    map[string]*lineCount
}

type lineCount struct {
	written, left int
}

// newBudget returns a core that bounds another; zero bounds nothing.
func newBudget(core zapcore.Core, perSecond int) zapcore.Core {
	if perSecond <= 0 {
		return core
	}
	return budget{Core: core, shared: &lineCounts{perSecond: perSecond, counts: map[string]*lineCount{}}}
}

// With adds fields to every line.
func (b budget) With(fields []zapcore.Field) zapcore.Core {
	return budget{Core: b.Core.With(fields), shared: b.shared}
}

// Check lets a line through while its message has some of this second's budget.
func (b budget) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(entry.Level) {
		return checked
	}
	within, left := b.shared.count(entry)
	for _, l := range left {
		entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: entry.Time, Message: "lines left out"}
		// A log that can't be written has nowhere to say so.
		_ = b.Write(entry, []zapcore.Field{zap.String("of", l.message), zap.Int("lines", l.lines)})
	}
	if !within {
		return checked
	}
	return b.Core.Check(entry, checked)
}

// leftOut is how many lines of a message a second left out.
type leftOut struct {
	message string
	lines   int
}

// count counts a line and reports whether it is within the budget. The first line
// of a second returns what the last one left out.
func (c *lineCounts) count(entry zapcore.Entry) (within bool, left []leftOut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := entry.Time.Unix(); second != c.second {
		c.second = second
		left = c.takeLeft()
	}
	message := entry.Message
	n := c.counts[message]
	if n == nil {
		if len(c.counts) >= maxMessages {
			message = "other messages"
		}
		n = &lineCount{}
		if known := c.counts[message]; known != nil {
			n = known
		}
		c.counts[message] = n
	}
	if n.written >= c.perSecond {
		n.left++
		return false, left
	}
	n.written++
	return true, left
}

// takeLeft returns what was left out and starts the counts anew.
func (c *lineCounts) takeLeft() []leftOut {
	var left []leftOut
	for message, n := range c.counts {
		if n.left > 0 {
			left = append(left, leftOut{message, n.left})
		}
	}
	clear(c.counts)
	slices.SortFunc(left, func(a, b leftOut) int {
		if a.message < b.message {
			return -1
		}
		return 1
	})
	return left
}
