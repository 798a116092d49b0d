package dfulog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuring"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written. A
	// line has about 300 bytes.
	maxQueuedLines = 1024
	// syncTimeout limits how long Sync waits for queued lines, so that a blocked
	// output doesn't delay the exit of the process.
	syncTimeout = time.Second
)

// ringWriter writes lines in its own goroutine, so that a slow output doesn't
// block requests. Lines that find the queue full are dropped and counted.
type ringWriter struct {
	out     io.Writer
	lines   *dfuring.Ring[[]byte]
	pending atomic.Int64
	dropped atomic.Uint64
	done    chan struct{}
}

// newRingWriter returns a writer that runs until close.
func newRingWriter(out io.Writer) *ringWriter {
	w := &ringWriter{out: out, lines: dfuring.New[[]byte](maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// close stops the goroutine. Lines still queued or written later are lost.
func (w *ringWriter) close() {
	close(w.done)
}

// Write queues a copy of one line. It never fails.
func (w *ringWriter) Write(line []byte) (int, error) {
	w.pending.Add(1)
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the queued lines are written, up to syncTimeout. It never
// fails.
func (w *ringWriter) Sync() error {
	for end := time.Now().Add(syncTimeout); w.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// Dropped returns the number of dropped lines.
func (w *ringWriter) Dropped() uint64 {
	return w.dropped.Load()
}

// run writes the queued lines until close. After the queue has been emptied it
// also writes a line with the number of lines dropped since the last such line.
func (w *ringWriter) run() {
	reported := uint64(0)
	for {
		select {
		case <-w.done:
			return
		case line := <-w.lines.Items():
			// There is nowhere else to report a log that can't be written.
			_, _ = w.out.Write(line)
			w.pending.Add(-1)
		}
		if dropped := w.dropped.Load(); dropped != reported && w.lines.Len() == 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"lines dropped: log output is too slow\",\"lines\":%d}\n", dropped-reported)
			reported = dropped
		}
	}
}
