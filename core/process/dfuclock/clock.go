package dfuclock

import (
	"math"
	"strconv"
	"time"
)

// Time is a point in time of one process's monotonic clock, in milliseconds
// since an arbitrary origin.
type Time int64

// Duration is a length of time in milliseconds.
type Duration int64

// Units of Duration.
const (
	Millisecond Duration = 1
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Clock provides the current time. Only packages under io use one.
type Clock interface {
	// Now returns the current time. It never goes backwards.
	Now() Time
}

// Monotonic is a Clock that starts at zero when it is created.
type Monotonic struct {
	origin time.Time
}

// New returns a Monotonic clock.
func New() *Monotonic {
	return &Monotonic{origin: time.Now()}
}

// Now returns the milliseconds since the clock was created.
func (c *Monotonic) Now() Time {
	return Time(time.Since(c.origin).Milliseconds())
}

// Add returns the time t+d.
func (t Time) Add(d Duration) Time {
	return t + Time(d)
}

// Sub returns the duration t-u.
func (t Time) Sub(u Time) Duration {
	return Duration(t - u)
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool {
	return t < u
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// Seconds is a length of time in seconds, used by some settings.
type Seconds float64

// Duration returns s rounded to whole milliseconds.
func (s Seconds) Duration() Duration {
	return Duration(math.Round(float64(s) * float64(Second)))
}

// String returns d with its unit, for example "250ms".
func (d Duration) String() string {
	return strconv.FormatInt(int64(d), 10) + "ms"
}

// FromStd returns d in whole milliseconds. It rounds up, so that a positive
// duration never becomes zero.
func FromStd(d time.Duration) Duration {
	return Duration((d + time.Millisecond - 1) / time.Millisecond)
}
