package dfutarget

import (
	"context"

	"dragonflyusher/io/connection/dfudial"

	"github.com/cockroachdb/errors"
)

// End is how a request to the target ended.
type End uint8

const (
	// EndAnswered means that a complete response was received.
	EndAnswered End = iota
	// EndNotRun means that the target did not run the request.
	EndNotRun
	// EndInterrupted means that the target may have run the request.
	EndInterrupted
)

// Classify returns how a request ended, given the results of Run.
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

// Reachable reports whether the target accepts a new connection.
func (c *Client) Reachable() bool {
	conn, err := dfudial.New(dialTimeout).DialContext(context.Background(), "tcp", string(c.cfg.Address))
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
