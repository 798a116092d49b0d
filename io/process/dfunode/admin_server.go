package dfunode

import (
	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfubody"
	"dragonflyusher/io/connection/dfuserver"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const (
	// maxAdminHeaderBytes and maxAdminBodyBytes bound the header and the body of a request to
	// an admin address, such as an announcement of the target.
	maxAdminHeaderBytes = 4 << 10
	maxAdminBodyBytes   = 64 << 10
	// adminMemoryBytes is the memory of all requests to the admin addresses. It is apart from
	// that of callers' bodies, so that neither can keep the other from being read.
	adminMemoryBytes = 4 << 20
)

// newAdminServers returns a server for each admin address.
func (n *Node) newAdminServers() (servers []*dfuserver.Server) {
	limits := n.settings.Limits
	memory := dfubody.NewMemory(dfubody.Limits{Total: adminMemoryBytes}, n.clock, n.metrics)
	for range n.adminListeners {
		servers = append(servers, dfuserver.New(dfuserver.Config{
			MaxHeader: maxAdminHeaderBytes,
			MaxBody:   maxAdminBodyBytes,
			Pipeline:  dfupipeline.Limits{Requests: 1, Bytes: dfuident.Bytes(maxAdminBodyBytes)},
			Memory:    memory,
			MaxConns:  limits.MaxAdminConnections(systemDescriptors(), len(n.adminListeners)),
			Timeouts:  n.callerTimeouts,
			Closed:    metrics.GetOrRegisterCounter("admin.connections_closed", n.metrics),
		}, adminHandler(n.serveAdmin)))
	}
	return servers
}

// adminHandler implements dfuserver.Handler.
type adminHandler fasthttp.RequestHandler

// Handle implements dfuserver.Handler.
func (h adminHandler) Handle(x *dfuserver.Exchange) {
	h(x.Ctx)
}

// HandleReadError implements dfuserver.Handler.
func (adminHandler) HandleReadError(ctx *fasthttp.RequestCtx, err error) {
	var tooSmall *fasthttp.ErrSmallBuffer
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &tooSmall):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, dfubody.ErrFull):
		status = fasthttp.StatusServiceUnavailable
	case errors.Is(err, dfuserver.ErrTimeout):
		status = fasthttp.StatusRequestTimeout
	}
	writeError(ctx, status, err)
}
