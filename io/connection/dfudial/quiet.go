package dfudial

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsQuiet reports whether a connection is open and has no unread data. It peeks at the
// socket through Control, because both Read and RawConn.Read return before they reach the
// kernel if the deadline has passed.
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
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && empty
}
