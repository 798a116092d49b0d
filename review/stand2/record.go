package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case. It holds one line for each event, with the time
// since the start of the case in seconds.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, w: bufio.NewWriter(file)}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The writer keeps its first error, which close returns.
	_, _ = fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// say is add, and prints the line as well.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	r.file.Close()
}
