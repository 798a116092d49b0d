package dfustop_test

import (
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfustop"

	"github.com/matryer/is"
)

// A node that accepted a request late in its stop cut it off at the end: after the time
// in which callers move, only requests that end in time may be accepted.
func TestLateRequestMustEndBeforeTheStop(t *testing.T) {
	s := dfustop.Schedule{Began: 1000, Grace: 6 * dfuclock.Second}
	for _, c := range []struct {
		name      string
		now       dfuclock.Time
		remaining dfuclock.Duration
		want      bool
	}{
		{"callers can't have moved", 2900, 10 * dfuclock.Second, true},
		{"would be cut off", 4300, 3 * dfuclock.Second, false},
		{"ends in time", 4300, 2 * dfuclock.Second, true},
		{"no time left for the answer", 4300, s.EndAt().Sub(4300), false},
		{"after the end", s.EndAt(), dfuclock.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(s.Admits(c.now, c.remaining), c.want)
		})
	}
	is.New(t).True(dfustop.Schedule{}.Admits(5000, dfuclock.Hour)) // the node doesn't stop
}
