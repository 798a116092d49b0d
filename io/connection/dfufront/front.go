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

// adminPrefix is the prefix of the paths that the node serves itself.
const adminPrefix = "/dragonflyusher/"

// Call is a request of a caller, copied out of the connection's buffers.
type Call struct {
	// Service is empty if the route table selects it by Host and URI.
	Service dfuident.Service
	Host    string
	// CallerRequest is the caller's own id of the request, if it has one.
	CallerRequest string
	// ParentRequest is the caller's own id of the request on whose behalf this
	// one was probably made; empty if there is none.
	ParentRequest string
	// Waited estimates how long the caller has been waiting, including its earlier
	// tries.
	Waited dfuclock.Duration
	// Route is the route that selected Service, or nil.
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

// Result is the outcome of a call and the response to the caller.
type Result struct {
	// Service is the service of the call; empty if none was selected.
	Service  dfuident.Service
	Outcome  dfuoutcome.Outcome
	Reason   dfuoutcome.Reason
	Detail   string
	ID       dfuident.RequestID
	Target   dfuident.NodeID
	Attempts int
	Answer   dfumessage.Answer
	// RetryAfter is the delay after which the caller should retry a request that
	// was not run; zero if unknown.
	RetryAfter dfuclock.Duration
}

// Dialect defines the format of callers' requests and of the responses to them.
type Dialect interface {
	// ParseCall copies a call out of ctx, whose buffers are reused.
	ParseCall(ctx *fasthttp.RequestCtx) (Call, error)
	// WriteResult writes r to the response of ctx.
	WriteResult(ctx *fasthttp.RequestCtx, r Result)
}

// CallHandler handles calls.
type CallHandler interface {
	// Serve blocks until the call has its outcome. It may use watchClose, which
	// calls onClose at most once, if the caller closes the connection before stop
	// is called.
	Serve(call Call, watchClose func(onClose func()) (stop func())) Result
}

// Limits are the maximum sizes of a request's header and body.
type Limits struct {
	Header dfuident.Bytes
	Body   dfuident.Bytes
}

// CallerServer serves callers' requests on one listener.
type CallerServer struct {
	handler CallHandler
	dialect Dialect
	admin   fasthttp.RequestHandler
	server  *fasthttp.Server
	// closing is set if each connection is to be closed after its next response.
	closing atomic.Bool
}

// New returns a CallerServer that passes calls to handler and, unless admin is nil,
// requests for paths below /dragonflyusher/ to admin. It rejects requests whose
// header or body exceeds the limits.
func New(handler CallHandler, dialect Dialect, admin fasthttp.RequestHandler, limits Limits) *CallerServer {
	s := &CallerServer{handler: handler, dialect: dialect, admin: admin}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleReadError,
		MaxRequestBodySize:    int(limits.Body),
		ReadBufferSize:        int(limits.Header),
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                silentLogger{},
		CloseOnShutdown:       true,
	}
	return s
}

// Run serves connections from l until Close.
func (s *CallerServer) Run(l net.Listener) error {
	return errors.Wrap(s.server.Serve(listener{l}), "serve callers")
}

// Close stops accepting connections and waits until the requests in progress have
// finished or ctx is done.
func (s *CallerServer) Close(ctx context.Context) error {
	return errors.Wrap(s.server.ShutdownWithContext(ctx), "stop serving callers")
}

// CloseConnections makes the CallerServer close each connection after the next
// response to a call.
func (s *CallerServer) CloseConnections() {
	s.closing.Store(true)
}

func (s *CallerServer) handle(ctx *fasthttp.RequestCtx) {
	if s.admin != nil && len(ctx.Path()) >= len(adminPrefix) && string(ctx.Path()[:len(adminPrefix)]) == adminPrefix {
		s.admin(ctx)
		return
	}
	s.dialect.WriteResult(ctx, s.result(ctx))
	if s.closing.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *CallerServer) result(ctx *fasthttp.RequestCtx) Result {
	call, err := s.dialect.ParseCall(ctx)
	if err != nil {
		return Result{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonBadRequest, Detail: err.Error()}
	}
	return s.serve(ctx, call)
}

func (s *CallerServer) serve(ctx *fasthttp.RequestCtx, call Call) Result {
	if watched, ok := ctx.Conn().(*conn); ok {
		return s.handler.Serve(call, watched.watchClose)
	}
	return s.handler.Serve(call, func(func()) func() { return func() {} })
}

// handleReadError responds to a request that could not be read, for instance
// because it is malformed or too large.
func (s *CallerServer) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	reason := dfuoutcome.ReasonBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		reason = dfuoutcome.ReasonBodyTooLarge
	}
	s.dialect.WriteResult(ctx, Result{Outcome: dfuoutcome.NotRun, Reason: reason, Detail: err.Error()})
}

// silentLogger discards fasthttp's log lines, which are not JSON. The node itself
// counts and logs the outcome of each request.
type silentLogger struct{}

// Printf discards the line.
func (silentLogger) Printf(string, ...any) {}
