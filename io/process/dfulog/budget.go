package dfulog

import (
	"slices"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxMessages is the maximum number of distinct messages that are counted
// separately in one second. Further messages share one count.
const maxMessages = 256

// budget is a core that limits the number of lines per second with the same
// message. With the first line of a later second it logs how many lines of each
// message it has suppressed.
type budget struct {
	zapcore.Core
	shared *messageCounts
}

// messageCounts counts the lines of the current second by message. Cores derived
// by With share it.
type messageCounts struct {
	perSecond int
	mu        sync.Mutex
	second    int64
	counts    map[string]*messageCount
}

// messageCount holds the numbers of lines with one message.
type messageCount struct {
	written, suppressed int
}

// newBudget returns a core that limits the lines per second with the same message
// that reach the given core. Zero means no limit.
func newBudget(core zapcore.Core, perSecond int) zapcore.Core {
	if perSecond <= 0 {
		return core
	}
	return budget{Core: core, shared: &messageCounts{perSecond: perSecond, counts: map[string]*messageCount{}}}
}

// With returns a core that adds fields to every line and shares the counts.
func (b budget) With(fields []zapcore.Field) zapcore.Core {
	return budget{Core: b.Core.With(fields), shared: b.shared}
}

// Check passes a line on if its message is within the limit of this second. It
// also writes the lines about suppressed lines.
func (b budget) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(entry.Level) {
		return checked
	}
	allowed, suppressed := b.shared.count(entry)
	for _, l := range suppressed {
		entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: entry.Time, Message: "lines left out"}
		// There is nowhere else to report a log that can't be written.
		_ = b.Write(entry, []zapcore.Field{zap.String("of", l.message), zap.Int("lines", l.lines)})
	}
	if !allowed {
		return checked
	}
	return b.Core.Check(entry, checked)
}

// suppression is the number of lines with one message that were suppressed within
// one second.
type suppression struct {
	message string
	lines   int
}

// count counts a line and reports whether it is within the limit. For the first
// line of a second it also returns the suppressions since the counts were last
// reset.
func (c *messageCounts) count(entry zapcore.Entry) (allowed bool, suppressed []suppression) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := entry.Time.Unix(); second != c.second {
		c.second = second
		suppressed = c.reset()
	}
	message := entry.Message
	n := c.counts[message]
	if n == nil {
		if len(c.counts) >= maxMessages {
			message = "other messages"
		}
		n = &messageCount{}
		if existing := c.counts[message]; existing != nil {
			n = existing
		}
		c.counts[message] = n
	}
	if n.written >= c.perSecond {
		n.suppressed++
		return false, suppressed
	}
	n.written++
	return true, suppressed
}

// reset clears the counts and returns the suppressions, sorted by message.
func (c *messageCounts) reset() []suppression {
	var suppressed []suppression
	for message, n := range c.counts {
		if n.suppressed > 0 {
			suppressed = append(suppressed, suppression{message, n.suppressed})
		}
	}
	clear(c.counts)
	slices.SortFunc(suppressed, func(a, b suppression) int {
		if a.message < b.message {
			return -1
		}
		return 1
	})
	return suppressed
}
