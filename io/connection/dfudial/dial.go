package dfudial

import (
	"net"
	"syscall"
	"time"

	"dragonflyusher/core/process/dfuclock"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The bounds within which a connection without a sign of life ends.
const (
	// keepAliveIdle and keepAliveInterval are the waits before the first and
	// before each further probe, and keepAliveCount is how many may go
	// unanswered. A silent connection is found within 3 s, the time after which
	// a disturbed node counts as undisturbed again.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long written bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
)

// New returns a dialer whose connections are probed while they are idle and end
// when what they sent stays unacknowledged.
func New(timeout dfuclock.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout.Std(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: control,
	}
}

// control sets the options of a socket before it connects.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "set the timeout of a connection")
}
