package dfupipeline

import "dragonflyusher/core/process/dfuident"

// Sequence is the position of a request on its connection, from 1.
type Sequence uint64

// Event is an input of the Pipeline.
type Event interface {
	isEvent()
}

// Received is a request that was read completely. It gets the next Sequence if it is
// dispatched.
type Received struct {
	// Size is the size of the request.
	Size dfuident.Bytes
	// Close is set if no request may follow this one on the connection.
	Close bool
}

// Responded is a response that can be written as soon as the responses to all earlier
// requests have been written.
type Responded struct {
	Sequence Sequence
	// Size is the size of the response.
	Size dfuident.Bytes
}

// Written is the end of the last Write.
type Written struct {
	// Failed is set if the response was not written completely. The connection is then
	// unusable.
	Failed bool
}

// InputEnded is the end of the caller's input: a close, a half-close or a reset.
type InputEnded struct{}

// Stop ends the connection after the newest dispatched request or, if all requests
// have their response, after the next one.
type Stop struct{}

func (Received) isEvent()   {}
func (Responded) isEvent()  {}
func (Written) isEvent()    {}
func (InputEnded) isEvent() {}
func (Stop) isEvent()       {}

// Action is an output of the Pipeline.
type Action interface {
	isAction()
}

// Dispatch passes the request that was received to its handler. A request that is
// received without a Dispatch counts as not read and must be dropped.
type Dispatch struct {
	Sequence Sequence
}

// Write writes a response. No other Write follows before the Written event.
type Write struct {
	Sequence Sequence
	// Close is set if the response announces that the connection closes after it.
	Close bool
}

// Cancel cancels a request whose caller has disconnected. Its response is still
// expected.
type Cancel struct {
	Sequence Sequence
}

// Close ends the connection. No other action follows.
type Close struct{}

func (Dispatch) isAction() {}
func (Write) isAction()    {}
func (Cancel) isAction()   {}
func (Close) isAction()    {}
