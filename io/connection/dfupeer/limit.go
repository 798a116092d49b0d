package dfupeer

import (
	"net"

	"github.com/cockroachdb/errors"
)

// messageLimitBytes bounds one message of a peer; gob's own bound is 8 GiB.
const messageLimitBytes = 1 << 30

var errTooLarge = errors.New("peer message is too large")

// messageLimit is a connection that ends with an error before a gob message
// above the limit is read into memory. A gob message starts with its length: one
// byte below 0x80, or the negated number of the bytes that hold it.
type messageLimit struct {
	net.Conn
	// prefix is the number of length bytes still to come.
	prefix int
	// size is the length read so far, and then what is left of the message.
	size uint64
}

// Read reads from the connection and checks the lengths of the messages in b.
func (c *messageLimit) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.within(b[:n]) {
		return 0, errTooLarge
	}
	return n, err
}

func (c *messageLimit) within(b []byte) bool {
	for len(b) > 0 {
		if c.prefix == 0 && c.size > 0 {
			skipped := min(c.size, uint64(len(b)))
			c.size -= skipped
			b = b[skipped:]
			continue
		}
		switch {
		case c.prefix > 0:
			c.size = c.size<<8 | uint64(b[0])
			c.prefix--
		case b[0] < 0x80:
			c.size = uint64(b[0])
		default:
			c.prefix = -int(int8(b[0]))
		}
		if c.prefix > 8 || c.size > messageLimitBytes {
			return false
		}
		b = b[1:]
	}
	return true
}
