package dfulog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuring"
)

const (
	// ringLines is how many lines wait to be written; a line is some 300 bytes.
	ringLines = 1024
	// syncLimit bounds the wait for the last lines when the process ends.
	syncLimit = time.Second
)

// ringWriter writes lines by a goroutine of its own, so that no request waits for
// the log's reader. What finds the ring full is dropped and counted.
type ringWriter struct {
	out     io.Writer
	lines   *dfuring.Ring[[]byte]
	waiting atomic.Int64
	dropped atomic.Uint64
	done    chan struct{}
}

// newRingWriter returns a writer that works until close.
func newRingWriter(out io.Writer) *ringWriter {
	w := &ringWriter{out: out, lines: dfuring.New[[]byte](ringLines), done: make(chan struct{})}
	go w.run()
	return w
}

// close ends the writing. Lines that come later are lost.
func (w *ringWriter) close() {
	close(w.done)
}

// Write takes one line.
func (w *ringWriter) Write(line []byte) (int, error) {
	w.waiting.Add(1)
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.waiting.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits, not for long, until what was taken is written.
func (w *ringWriter) Sync() error {
	for end := time.Now().Add(syncLimit); w.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// Dropped returns how many lines were dropped.
func (w *ringWriter) Dropped() uint64 {
	return w.dropped.Load()
}

func (w *ringWriter) run() {
	told := uint64(0)
	for {
		select {
		case <-w.done:
			return
		case line := <-w.lines.Items():
			// Nobody can be told that the log itself can't be written.
			_, _ = w.out.Write(line)
			w.waiting.Add(-1)
		}
		if dropped := w.dropped.Load(); dropped != told && w.lines.Len() == 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"lines dropped, the log's reader is slow\",\"lines\":%d}\n", dropped-told)
			told = dropped
		}
	}
}
