package dfutarget

import (
	"context"

	"dragonflyusher/io/connection/dfudial"

	"github.com/cockroachdb/errors"
)

// End says how a request to the target ended.
type End uint8

const (
	// EndAnswered means that a whole answer came back.
	EndAnswered End = iota
	// EndNotRun means that the target certainly did not run the request.
	EndNotRun
	// EndInterrupted means that the target may have run the request.
	EndInterrupted
)

// Classify tells the end from what Run returned.
func Classify(result Result, err error) End {
	switch {
	case errors.Is(err, ErrNotSent):
		return EndNotRun
	case err != nil:
		return EndInterrupted
	case result.Remark.NotRun:
		return EndNotRun
	default:
		return EndAnswered
	}
}

// Reachable reports whether the target accepts connections.
func (c *Client) Reachable() bool {
	conn, err := dfudial.New(dialTimeout).DialContext(context.Background(), "tcp", string(c.cfg.Address))
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
