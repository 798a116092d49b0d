package dfuserver

import (
	"bytes"
	"strconv"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfuheader"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// lengthChunked is the value that fasthttp returns as the length of a chunked body.
	lengthChunked = -1
	// memoryWait is how long a request waits for the memory of its body while no other one
	// gets its memory, and longestMemoryWait how long it waits at most.
	memoryWait        = time.Second
	longestMemoryWait = 5 * time.Second
	// minBlock is the minimum size of a block of a chunked body. Larger blocks are an eighth
	// of what has arrived, or the rest of a chunk up to maxChunkBlock.
	minBlock      = 4 << 10
	blockDivisor  = 8
	maxChunkBlock = 64 << 10
	// maxChunkSizeDigits bounds the size of a chunk, as in fasthttp.
	maxChunkSizeDigits = 15
)

var errBrokenChunk = errors.New("the body has a malformed chunk")

// readBody reads the body of x into memory of its own.
func (c *conn) readBody(x *Exchange) error {
	request := &x.Ctx.Request
	length := request.Header.ContentLength()
	if length > int(c.server.cfg.MaxBody) {
		return fasthttp.ErrBodyTooLarge
	}
	if length > 0 {
		if err := c.takeBody(x, dfuident.Bytes(length)); err != nil {
			return err
		}
	}
	if request.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return err
		}
	}
	c.inBody = true
	switch {
	case length > 0:
		body := make([]byte, length)
		if err := c.readFull(x, body); err != nil {
			return err
		}
		request.SetBodyRaw(body)
		return nil
	case length == lengthChunked:
		c.buffer.Transfer(c.interrupt)
		return c.readChunkedBody(x)
	default:
		return request.ContinueReadBody(c.reader, int(c.server.cfg.MaxBody), false)
	}
}

// takeBody takes memory for n further bytes of the body of x.
func (c *conn) takeBody(x *Exchange, n dfuident.Bytes) error {
	c.buffer.Received()
	c.stopWaiting()
	switch {
	case x.memory != nil:
	case x.Ctx.Request.Header.ContentLength() == lengthChunked:
		x.memory = c.server.cfg.Memory.OpenGrowing(c.server.cfg.MaxBody, c.interrupt)
	default:
		x.memory = c.server.cfg.Memory.Open(c.interrupt)
	}
	return x.memory.TakePatiently(n, memoryWait, longestMemoryWait)
}

// readFull reads a part of the body of x that is len(b) long.
func (c *conn) readFull(x *Exchange, b []byte) error {
	for len(b) > 0 {
		n, err := c.reader.Read(b)
		if err != nil {
			return err
		}
		x.memory.Progress(n)
		b = b[n:]
	}
	return nil
}

// readChunkedBody reads a chunked body with its trailers.
func (c *conn) readChunkedBody(x *Exchange) error {
	request := &x.Ctx.Request
	var b blocks
	for {
		size, err := c.readChunkSize()
		if err != nil {
			return err
		}
		if size == 0 {
			break
		}
		if size > int(c.server.cfg.MaxBody)-b.size {
			return fasthttp.ErrBodyTooLarge
		}
		if err := c.readChunk(x, &b, size); err != nil {
			return err
		}
		if err := c.readLineEnd(); err != nil {
			return err
		}
	}
	if b.size == 0 {
		request.Header.SetContentLength(0)
	} else {
		request.SetBodyRaw(c.server.join(&b, b.size))
	}
	if err := dfuheader.PeekTrailers(c.reader); err != nil {
		return err
	}
	return request.Header.ReadTrailer(c.reader)
}

// blocks is the beginning of a body of unknown length. Only the last block may have room.
type blocks struct {
	list [][]byte
	// size is the number of bytes in all blocks, and room the capacity of all blocks.
	size, room int
}

// readChunk reads a chunk that is size bytes long.
func (c *conn) readChunk(x *Exchange, b *blocks, size int) error {
	for size > 0 {
		if b.size == b.room {
			if err := c.addBlock(x, b, size); err != nil {
				return err
			}
		}
		last := &b.list[len(b.list)-1]
		n := min(size, b.room-b.size)
		begin := len(*last)
		*last = (*last)[:begin+n]
		if err := c.readFull(x, (*last)[begin:]); err != nil {
			return err
		}
		b.size += n
		size -= n
	}
	return nil
}

// addBlock gives b room for further bytes, of which size belong to the present chunk. A body
// that exceeds half of the limit gets a single block of the limit, as joining larger ones
// would need too much memory.
func (c *conn) addBlock(x *Exchange, b *blocks, size int) error {
	most := int(c.server.cfg.MaxBody)
	n := min(max(b.size/blockDivisor, min(size, maxChunkBlock), minBlock), most-b.room)
	isLarge := b.room+n > most/2
	if isLarge {
		n = most - b.room
	}
	if err := c.takeBody(x, dfuident.Bytes(n)); err != nil {
		return err
	}
	if isLarge {
		b.list = [][]byte{c.server.join(b, most)}
	} else {
		b.list = append(b.list, make([]byte, 0, n))
	}
	b.room += n
	return nil
}

// join returns a buffer with the bytes of all blocks and the given capacity, and drops the
// blocks. While it copies, a body takes up to half of the limit more than was taken from the
// budget, so only one at a time does.
func (s *Server) join(b *blocks, capacity int) []byte {
	if len(b.list) == 1 && cap(b.list[0]) >= capacity {
		return b.list[0]
	}
	s.joining.Lock()
	defer s.joining.Unlock()
	joined := make([]byte, 0, capacity)
	for i, block := range b.list {
		joined = append(joined, block...)
		b.list[i] = nil
	}
	return joined
}

// readChunkSize reads the line that begins a chunk. It accepts the same lines as fasthttp,
// if they fit into the reader's buffer.
func (c *conn) readChunkSize() (int, error) {
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return 0, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return 0, errBrokenChunk
	}
	digits, _, hasExtension := bytes.Cut(line, []byte(";"))
	if !hasExtension {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseUint(string(digits), 16, 4*maxChunkSizeDigits)
	if err != nil || len(digits) > maxChunkSizeDigits {
		return 0, errBrokenChunk
	}
	return int(size), nil
}

// readLineEnd reads the end of a chunk.
func (c *conn) readLineEnd() error {
	for _, want := range []byte("\r\n") {
		b, err := c.reader.ReadByte()
		if err != nil {
			return err
		}
		if b != want {
			return errBrokenChunk
		}
	}
	return nil
}
