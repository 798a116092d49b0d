package dfufront

import (
	"context"
	"net"
	"sync/atomic"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// adminPrefix starts the paths that the node itself answers.
const adminPrefix = "/dragonflyusher/"

// Call is one request of a caller, copied out of the connection's buffers.
type Call struct {
	// Service is empty if the table of routes is to choose it, by Host and URI.
	Service dfuident.Service
	Host    string
	// CallerRequest is the caller's own id of the request, if it has one.
	CallerRequest string
	// ParentRequest is the caller's own id of the request that this one was
	// probably made for; empty if it tells none.
	ParentRequest string
	// Waited is for how long the caller has probably been waiting, on earlier
	// tries too.
	Waited dfuclock.Duration
	// Route is the route that chose Service, or nil.
	Route       *dfuroute.Route
	Caller      dfuident.Caller
	Key         dfuident.Key
	Remaining   dfuclock.Duration
	Allowance   int
	Traceparent string
	Method      string
	URI         string
	Headers     []dfumessage.Header
	Body        []byte
}

// Result is what the caller is told.
type Result struct {
	// Service is the service that was chosen, if one was.
	Service  dfuident.Service
	Outcome  dfuoutcome.Outcome
	Reason   dfuoutcome.Reason
	Detail   string
	ID       dfuident.RequestID
	Target   dfuident.NodeID
	Attempts int
	Answer   dfumessage.Answer
	// RetryAfter is when the caller should come back with a request that was
	// not run; zero if that is not known.
	RetryAfter dfuclock.Duration
}

// Dialect is how callers speak and are answered.
type Dialect interface {
	// ParseCall copies a call out of ctx, whose buffers are reused.
	ParseCall(ctx *fasthttp.RequestCtx) (Call, error)
	// WriteResult answers a call.
	WriteResult(ctx *fasthttp.RequestCtx, r Result)
}

// Entry decides about calls.
type Entry interface {
	// Serve blocks until the call has its outcome. It may watch for the
	// caller's leave: gone is called once if the caller closes the connection
	// before stop.
	Serve(call Call, watch func(gone func()) (stop func())) Result
}

// Limits bounds what a caller may send.
type Limits struct {
	Header dfuident.Bytes
	Body   dfuident.Bytes
}

// Front serves callers on one listener.
type Front struct {
	entry   Entry
	dialect Dialect
	admin   fasthttp.RequestHandler
	server  *fasthttp.Server
	// closing tells callers to use their connection no longer.
	closing atomic.Bool
}

// New returns a front that gives calls to entry and, unless admin is nil, the
// paths below /dragonflyusher/ to admin. Headers and bodies above the limits are
// refused.
func New(entry Entry, dialect Dialect, admin fasthttp.RequestHandler, limits Limits) *Front {
	f := &Front{entry: entry, dialect: dialect, admin: admin}
	f.server = &fasthttp.Server{
		Handler:               f.handle,
		ErrorHandler:          f.refuseMalformed,
		MaxRequestBodySize:    int(limits.Body),
		ReadBufferSize:        int(limits.Header),
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                silentLogger{},
		CloseOnShutdown:       true,
	}
	return f
}

// Run serves until Close.
func (f *Front) Run(l net.Listener) error {
	return errors.Wrap(f.server.Serve(listener{l}), "serve callers")
}

// Close stops accepting and waits for the requests in progress until ctx ends.
func (f *Front) Close(ctx context.Context) error {
	return errors.Wrap(f.server.ShutdownWithContext(ctx), "stop serving callers")
}

// CloseConnections ends each caller's connection with its next answer.
func (f *Front) CloseConnections() {
	f.closing.Store(true)
}

func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	if f.admin != nil && len(ctx.Path()) >= len(adminPrefix) && string(ctx.Path()[:len(adminPrefix)]) == adminPrefix {
		f.admin(ctx)
		return
	}
	f.dialect.WriteResult(ctx, f.result(ctx))
	if f.closing.Load() {
		ctx.SetConnectionClose()
	}
}

func (f *Front) result(ctx *fasthttp.RequestCtx) Result {
	call, err := f.dialect.ParseCall(ctx)
	if err != nil {
		return Result{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonBadRequest, Detail: err.Error()}
	}
	return f.serve(ctx, call)
}

func (f *Front) serve(ctx *fasthttp.RequestCtx, call Call) Result {
	if watched, ok := ctx.Conn().(*conn); ok {
		return f.entry.Serve(call, watched.watch)
	}
	return f.entry.Serve(call, func(func()) func() { return func() {} })
}

// refuseMalformed answers a request that could not be read as HTTP.
func (f *Front) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	reason := dfuoutcome.ReasonBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		reason = dfuoutcome.ReasonBodyTooLarge
	}
	f.dialect.WriteResult(ctx, Result{Outcome: dfuoutcome.NotRun, Reason: reason, Detail: err.Error()})
}

// silentLogger drops fasthttp's own lines, which are not JSON; the outcome of
// each request is counted and logged by the node.
type silentLogger struct{}

// Printf drops the line.
func (silentLogger) Printf(string, ...any) {}
