package dfudial

import (
	"net"
	"syscall"
	"time"

	"dragonflyusher/core/process/dfuclock"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The timeouts after which a connection fails if the other end does not respond.
const (
	// keepAliveIdle is the idle time before the first probe, keepAliveInterval is
	// the time between probes, and keepAliveCount is the number of unanswered
	// probes after which the connection fails. With these values a silent
	// connection is detected within 3 s, the time for which a node counts as
	// disturbed after a fault.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long written data may stay unacknowledged.
	userTimeout = 3 * time.Second
)

// New returns a dialer with the given connect timeout. Its connections send keep-alive
// probes while they are idle, and fail if probes or written data stay unacknowledged.
func New(timeout dfuclock.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout.Std(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, optionErr), "set TCP_USER_TIMEOUT")
}
