package dfunode

import (
	"syscall"

	"dragonflyusher/io/connection/dfuserver"
)

// systemDescriptors returns the maximum number of descriptors that the system allows the
// process, or zero if it is unknown.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}

// callerTimeouts returns the limits of time for the bytes of callers' requests: those of the
// table of routes, or the defaults where it has none.
func (n *Node) callerTimeouts() dfuserver.Timeouts {
	timeouts := dfuserver.DefaultTimeouts()
	table := n.control.View().Routes()
	if table == nil {
		return timeouts
	}
	if table.Limits.HeaderTimeout > 0 {
		timeouts.Header = table.Limits.HeaderTimeout.Std()
	}
	if table.Limits.IdleTimeout > 0 {
		timeouts.Pause = table.Limits.IdleTimeout.Std()
	}
	return timeouts
}
