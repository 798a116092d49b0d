package dfuserver

import (
	"sync"
	"time"

	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/io/connection/dfubody"

	"github.com/valyala/fasthttp"
)

// Exchange is one request and its response.
type Exchange struct {
	// Ctx holds the request and takes the response. It is reused after the response
	// was written.
	Ctx *fasthttp.RequestCtx
	// OnWritten, if set by the handler, is called after the response was written, with
	// the time that it was held back until the responses to earlier requests on the
	// connection had been written.
	OnWritten func(held time.Duration)

	sequence dfupipeline.Sequence
	isHTTP11 bool
	// readyAt is when the response was set.
	readyAt time.Time
	// memory is that of the bodies of request and response; nil if there is none.
	memory *dfubody.Body
	// head is the memory of the request's header, until the response was written.
	head *dfubody.Body
	// responded is set if the response was set. The mutex of the connection guards it.
	responded bool

	mu sync.Mutex
	// gone is set if the caller has disconnected.
	gone    bool
	onClose func()
}

// WatchClose calls onClose at most once, if the caller closes the connection before
// the returned stop function is called. A half-close by the caller counts as a close,
// because the two can't be distinguished. After stop has returned, onClose is not
// running and will not be called.
func (x *Exchange) WatchClose(onClose func()) (stop func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gone {
		onClose()
	} else {
		x.onClose = onClose
	}
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.onClose = nil
	}
}

// release returns the memory of the request and its response.
func (x *Exchange) release() {
	x.memory.Release()
	x.head.Release()
}

// cancel reports to the handler that the caller has disconnected.
func (x *Exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gone = true
	if x.onClose != nil {
		x.onClose()
		x.onClose = nil
	}
}
