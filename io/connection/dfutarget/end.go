package dfutarget

import (
	"context"

	"dragonflyusher/io/connection/dfudial"

	"github.com/cockroachdb/errors"
)

// Completion is how a request to the target ended.
type Completion uint8

const (
	// CompletionAnswered means that a complete response was received.
	CompletionAnswered Completion = iota
	// CompletionNotRun means that the target did not run the request.
	CompletionNotRun
	// CompletionInterrupted means that the target may have run the request.
	CompletionInterrupted
)

// Classify returns how a request ended, given the results of Run.
func Classify(result Result, err error) Completion {
	switch {
	case errors.Is(err, ErrNotSent):
		return CompletionNotRun
	case err != nil:
		return CompletionInterrupted
	case result.ResponseMetadata.NotRun:
		return CompletionNotRun
	default:
		return CompletionAnswered
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
