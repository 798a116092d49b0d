package dfufront

import (
	"bytes"
	"context"
	"net"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfubody"
	"dragonflyusher/io/connection/dfuserver"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// adminPrefix is the prefix of the paths that the node serves itself.
const adminPrefix = "/dragonflyusher/"

// minHeld is the shortest wait of a response for earlier responses that is recorded.
const minHeld = 5 * dfuclock.Millisecond

// refusalRetryAfter is the delay after which a caller should repeat a request for whose body
// there was no memory.
const refusalRetryAfter = 1 * dfuclock.Second

// Call is a request of a caller. All but Body is copied out of the connection's buffers;
// dfuserver reads each body into memory of its own.
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
	// Routes is the route table that selected Service or refused the call, and Route its
	// route; both are nil for a call that names its service.
	Routes    *dfuroute.Table
	Route     *dfuroute.Route
	Caller    dfuident.Caller
	Key       dfuident.Key
	Remaining dfuclock.Duration
	Allowance int
	// Credential is the hash of the caller's API key, if it sent one, and Workspace the
	// workspace on whose behalf the request runs; empty if there is none.
	Credential dfuroute.Credential
	Workspace  dfuident.Workspace
	// RoutesVersion is the version of the route table that accepted the request for
	// Workspace; zero if the route needs no key.
	RoutesVersion dfuroute.Version
	// Priority ranks a routed request. Zero is the highest.
	Priority int
	// Homes are the regions in which the request may be served. It is empty if any may.
	Homes       []dfuident.Region
	Traceparent string
	Method      string
	URI         string
	Headers     []dfumessage.Header
	// Reserved holds the header fields with a key or the name of a workspace. They are
	// passed to the target only if the route table has no workspaces.
	Reserved []dfumessage.Header
	Body     []byte
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
	// ParseCall returns the call in ctx, whose buffers are reused. Only the body isn't copied.
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

// Deps holds the dependencies of a CallerServer.
type Deps struct {
	Handler CallHandler
	Dialect Dialect
	// Admin handles requests for paths below /dragonflyusher/. If it is nil, they are
	// calls like others.
	Admin   fasthttp.RequestHandler
	Log     *zap.Logger
	Metrics metrics.Registry
	Times   *dfuhistogram.Set
}

// CallerServer serves callers' requests on one listener.
type CallerServer struct {
	deps   Deps
	server *dfuserver.Server
	// held counts the responses that waited for earlier responses on their connection.
	held metrics.Counter
}

// New returns a CallerServer. It rejects requests that exceed the limits of cfg.
func New(deps Deps, cfg dfuserver.Config) *CallerServer {
	s := &CallerServer{deps: deps, held: metrics.GetOrRegisterCounter("callers.responses_held", deps.Metrics)}
	s.server = dfuserver.New(cfg, s)
	return s
}

// Run serves connections from l until Close.
func (s *CallerServer) Run(l net.Listener) error {
	return errors.Wrap(s.server.Run(l), "serve callers")
}

// Close stops accepting connections and waits until the requests in progress have
// finished or ctx is done.
func (s *CallerServer) Close(ctx context.Context) error {
	return errors.Wrap(s.server.Close(ctx), "stop serving callers")
}

// CloseConnections makes the CallerServer close each connection after the response to
// its newest request, or to its next one if it has none.
func (s *CallerServer) CloseConnections() {
	s.server.CloseConnections()
}

// Handle implements dfuserver.Handler.
func (s *CallerServer) Handle(x *dfuserver.Exchange) {
	if s.deps.Admin != nil && bytes.HasPrefix(x.Ctx.Path(), []byte(adminPrefix)) {
		s.deps.Admin(x.Ctx)
		return
	}
	s.deps.Dialect.WriteResult(x.Ctx, s.result(x))
}

func (s *CallerServer) result(x *dfuserver.Exchange) Result {
	call, err := s.deps.Dialect.ParseCall(x.Ctx)
	if err != nil {
		return Result{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonBadRequest, Detail: err.Error()}
	}
	result := s.deps.Handler.Serve(call, x.WatchClose)
	x.OnWritten = func(held time.Duration) { s.recordHeld(call.CallerRequest, result.ID, held) }
	return result
}

// recordHeld records how long a response waited for the responses to earlier requests
// on its connection.
func (s *CallerServer) recordHeld(callerRequest string, id dfuident.RequestID, held time.Duration) {
	wait := dfuclock.Duration(held.Milliseconds())
	if wait < minHeld {
		return
	}
	s.held.Inc(1)
	s.deps.Times.Record("callers.response_held", wait)
	s.deps.Log.Info("response waited for earlier requests on its connection",
		zap.String("caller_request", callerRequest), zap.Stringer("request_id", id), zap.Stringer("waited", wait))
}

// HandleReadError implements dfuserver.Handler.
func (s *CallerServer) HandleReadError(ctx *fasthttp.RequestCtx, err error) {
	result := Result{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonBadRequest, Detail: err.Error()}
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		result.Reason = dfuoutcome.ReasonBodyTooLarge
	case errors.Is(err, dfubody.ErrFull):
		result.Reason, result.RetryAfter = dfuoutcome.ReasonMemoryFull, refusalRetryAfter
	case errors.Is(err, dfuserver.ErrTimeout):
		result.Reason = dfuoutcome.ReasonRequestTimeout
	}
	s.deps.Dialect.WriteResult(ctx, result)
}
