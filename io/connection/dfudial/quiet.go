package dfudial

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsQuiet reports whether a connection is open and has no unread data. It peeks at the
// socket, because a Read with an expired deadline returns before it reaches the kernel.
func IsQuiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
