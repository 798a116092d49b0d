package dfupeer

import (
	"bufio"

	"github.com/cockroachdb/errors"
)

// maxMessageBytes is the maximum size of a gob message from a peer; gob's own limit
// is 8 GiB.
const maxMessageBytes = 1 << 30

var errTooLarge = errors.New("peer message is too large")

// messageLimit is a reader whose Read fails before a gob message of more than
// maxMessageBytes is read into memory. A gob message starts with its length. The
// length is encoded as one byte below 0x80, or as the negated number of length bytes
// followed by these bytes.
type messageLimit struct {
	in *bufio.Reader
	// lengthLeft is the number of length bytes that have not been read yet.
	lengthLeft int
	// size is the value of the length bytes read so far, and then the number of
	// bytes of the message that have not been read yet.
	size uint64
	// take, unless nil, is called before a message of more than rawBodyBytes is read. If it
	// fails, so does the reader. progress is called when some of such a message was read.
	take     func(size uint64) error
	progress func(n int)
	// err is the reason that a message isn't read.
	err error
}

// ReadByte is Read for one byte. It makes the decoder read no further than a message.
func (c *messageLimit) ReadByte() (byte, error) {
	b, err := c.in.ReadByte()
	if err == nil && !c.withinLimit([]byte{b}) {
		return 0, c.err
	}
	return b, err
}

// Read reads gob messages. It returns an error if b contains the length of a message above
// the limit.
func (c *messageLimit) Read(b []byte) (int, error) {
	n, err := c.in.Read(b)
	if !c.withinLimit(b[:n]) {
		return 0, c.err
	}
	return n, err
}

// withinLimit processes the bytes read next from the connection. It returns false and sets err
// if a message is larger than maxMessageBytes or can't be taken.
func (c *messageLimit) withinLimit(b []byte) bool {
	for len(b) > 0 {
		if c.lengthLeft == 0 && c.size > 0 {
			skipped := min(c.size, uint64(len(b)))
			c.size -= skipped
			if c.progress != nil {
				c.progress(int(skipped))
			}
			b = b[skipped:]
			continue
		}
		switch {
		case c.lengthLeft > 0:
			c.size = c.size<<8 | uint64(b[0])
			c.lengthLeft--
		case b[0] < 0x80:
			c.size = uint64(b[0])
		default:
			c.lengthLeft = -int(int8(b[0]))
		}
		if c.lengthLeft > 8 || c.size > maxMessageBytes {
			c.err = errTooLarge
			return false
		}
		if c.lengthLeft == 0 && c.size > rawBodyBytes && c.take != nil {
			if c.err = c.take(c.size); c.err != nil {
				return false
			}
		}
		b = b[1:]
	}
	return true
}
