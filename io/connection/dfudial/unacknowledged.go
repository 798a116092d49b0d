package dfudial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnacknowledged reports whether the peer's host has not acknowledged all bytes that were
// written to a connection. It returns false for a connection of which that isn't known.
func HasUnacknowledged(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	left := 0
	err = control.Control(func(fd uintptr) {
		left, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return err == nil && left > 0
}
