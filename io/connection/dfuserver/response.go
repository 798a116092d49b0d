package dfuserver

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"dragonflyusher/io/connection/dfubody"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// writeResponse writes the response of x and flushes w. fasthttp's own function would
// add a Date header.
func writeResponse(w *bufio.Writer, x *Exchange, closes bool) error {
	response := &x.Ctx.Response
	status := response.StatusCode()
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(fasthttp.StatusMessage(status))
	_, _ = w.WriteString("\r\n")
	for name, value := range response.Header.All() {
		switch string(name) {
		case fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderConnection, fasthttp.HeaderDate:
			// The first three are set below.
		default:
			writeHeader(w, name, value)
		}
	}
	body := response.Body()
	hasBody := !x.Ctx.IsHead() && status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
	if hasBody {
		writeHeader(w, []byte(fasthttp.HeaderContentLength), strconv.AppendInt(nil, int64(len(body)), 10))
	}
	switch {
	case closes:
		writeHeader(w, []byte(fasthttp.HeaderConnection), []byte("close"))
	case !x.isHTTP11:
		writeHeader(w, []byte(fasthttp.HeaderConnection), []byte("keep-alive"))
	}
	_, _ = w.WriteString("\r\n")
	if hasBody {
		_, _ = w.Write(body)
	}
	return errors.WithStack(w.Flush())
}

const (
	// pieceBytes is the maximum size of one write of a large response, and of what the system
	// holds of it beyond what the caller's window accepts, so that its progress can be
	// observed.
	pieceBytes = 64 << 10
	// progressPeriod is how often progress within a piece is observed.
	progressPeriod = 250 * time.Millisecond
)

// limitUnsent limits what the system holds of a response beyond the caller's window. Where that
// isn't possible, progress is observed in larger steps.
func limitUnsent(nc net.Conn) {
	raw, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	if control, err := raw.SyscallConn(); err == nil {
		_ = control.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, pieceBytes)
		})
	}
}

// pieceWriter writes a large response to a connection.
type pieceWriter struct {
	conn   *conn
	memory *dfubody.Body
}

// Write writes b piece by piece. It fails if the caller reads nothing within the time that
// Timeouts.Pause gives.
func (w pieceWriter) Write(b []byte) (written int, err error) {
	nc, pause := w.conn.nc, w.conn.server.cfg.Timeouts().Pause
	last := time.Now()
	for written < len(b) {
		if err := nc.SetWriteDeadline(time.Now().Add(min(pause, progressPeriod))); err != nil {
			return written, err
		}
		n, err := nc.Write(b[written:min(written+pieceBytes, len(b))])
		written += n
		if n > 0 {
			w.memory.Progress(n)
			last = time.Now()
		}
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || time.Since(last) >= pause) {
			return written, err
		}
	}
	return written, nc.SetWriteDeadline(time.Time{})
}

// writeHeader writes a header line. Errors are kept by w until it is flushed.
func writeHeader(w *bufio.Writer, name, value []byte) {
	_, _ = w.Write(name)
	_, _ = w.WriteString(": ")
	_, _ = w.Write(value)
	_, _ = w.WriteString("\r\n")
}
