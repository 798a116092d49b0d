package dfuclock

import "golang.org/x/sys/unix"

// Boot is a Clock that also advances while the VM is suspended. Its origin is the start
// of the VM.
type Boot struct{}

// Now returns the milliseconds since the VM started.
func (Boot) Now() Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since version 2.6.39.
		panic(err)
	}
	return Time(t.Nano() / 1e6)
}
