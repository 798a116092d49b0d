package dfuclock

import (
	"math"
	"strconv"
	"time"
)

// Time is a point on one process's monotonic scale, in milliseconds.
type Time int64

// Duration is a length of time in milliseconds.
type Duration int64

// The units of Duration.
const (
	Millisecond Duration = 1
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Clock tells the present time. Only packages under io hold one.
type Clock interface {
	// Now returns the present time; it never goes backwards.
	Now() Time
}

// Monotonic is a Clock that counts from its construction.
type Monotonic struct {
	origin time.Time
}

// New returns a clock whose scale starts now.
func New() *Monotonic {
	return &Monotonic{origin: time.Now()}
}

// Now returns the milliseconds since the clock was constructed.
func (c *Monotonic) Now() Time {
	return Time(time.Since(c.origin).Milliseconds())
}

// Add returns the time d after t.
func (t Time) Add(d Duration) Time {
	return t + Time(d)
}

// Sub returns the time that passed from u to t.
func (t Time) Sub(u Time) Duration {
	return Duration(t - u)
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool {
	return t < u
}

// Std returns d as a duration of the standard library.
func (d Duration) Std() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// Seconds is a length of time in seconds, as some settings give it.
type Seconds float64

// Duration returns s in whole milliseconds.
func (s Seconds) Duration() Duration {
	return Duration(math.Round(float64(s) * float64(Second)))
}

// String returns d with its unit, as in "250ms".
func (d Duration) String() string {
	return strconv.FormatInt(int64(d), 10) + "ms"
}

// FromStd returns d in whole milliseconds, rounded up so that a positive
// duration never becomes zero.
func FromStd(d time.Duration) Duration {
	return Duration((d + time.Millisecond - 1) / time.Millisecond)
}
