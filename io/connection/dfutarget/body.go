package dfutarget

import (
	"io"
	"net/http/httputil"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfubody"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// freeAnswerBytes is the size of an answer up to which it needs no share of the
	// memory for large answers, so that small ones are not affected by large ones.
	freeAnswerBytes = 256 << 10
	// minBodyBuffer is the initial size of the buffer for a body.
	minBodyBuffer = 4 << 10
)

var (
	errAnswerTooLarge = errors.New("answer exceeds the maximum size")
	errNoMemory       = errors.New("the memory for large answers is used up")
)

// answerWait is how long a large answer waits for its memory, as one from a peer does.
const answerWait = 200 * time.Millisecond

// NewMemory returns a memory of the given size for the large answers that are being read at the
// same time.
func NewMemory(size dfuident.Bytes) *dfubody.Memory {
	return dfubody.NewMemory(dfubody.Limits{Total: size}, dfuclock.New(), metrics.NewRegistry())
}

// bodyReader reads the body of one answer into memory.
type bodyReader struct {
	limit  dfuident.Bytes
	memory *dfubody.Memory
	// share is the part of memory that the body occupies.
	share *dfubody.Body
	body  []byte
	// untilClose is set if the end of the connection ended the body.
	untilClose bool
}

// read reads until EOF. It returns an error if the body exceeds the limit or its share
// of the memory. The buffer grows with what arrives.
func (b *bodyReader) read(r io.Reader) error {
	for {
		if len(b.body) == cap(b.body) {
			if err := b.resize(max(2*cap(b.body), minBodyBuffer)); err != nil {
				return err
			}
		}
		n, err := r.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		switch {
		case dfuident.Bytes(len(b.body)) > b.limit:
			return errAnswerTooLarge
		case errors.Is(err, io.EOF) && len(b.body) > freeAnswerBytes:
			return b.resize(len(b.body))
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readLength reads exactly length bytes.
func (b *bodyReader) readLength(r io.Reader, length int) error {
	if dfuident.Bytes(length) > b.limit {
		return errAnswerTooLarge
	}
	if err := b.resize(length); err != nil {
		return err
	}
	b.body = b.body[:length]
	_, err := io.ReadFull(r, b.body)
	return err
}

// readChunks reads a chunked body up to its trailers.
func (b *bodyReader) readChunks(r io.Reader) error {
	return b.read(httputil.NewChunkedReader(r))
}

// resize replaces the buffer by one of the given size, which takes its own share of the memory
// while both exist.
func (b *bodyReader) resize(size int) error {
	var share *dfubody.Body
	if size > freeAnswerBytes && b.memory != nil {
		share = b.memory.OpenAnswer(nil)
		if err := share.Take(dfuident.Bytes(size), answerWait); err != nil {
			return errors.Wrap(err, errNoMemory.Error())
		}
	}
	resized := make([]byte, len(b.body), size)
	copy(resized, b.body)
	b.body = resized
	b.share.Release()
	b.share = share
	return nil
}

// release returns the share of the memory. The body stays valid.
func (b *bodyReader) release() {
	b.share.Release()
	b.share = nil
}
