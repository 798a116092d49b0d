package dfustorestandin

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/platform"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxRequestBytes leaves room for a value in base64 and its key.
const maxRequestBytes = 2 << 20

// Server is a store that listens for HTTP.
type Server struct {
	state    *state
	http     *fasthttp.Server
	listener net.Listener
	// stop is closed when the server closes.
	stop chan struct{}

	mu       sync.Mutex
	switches Switches
	// flipped is closed and replaced when the switches change.
	flipped chan struct{}
	counts  Counts
}

// New returns a store that listens on an address, which may have port 0, and
// serves until Close.
func New(listen string, switches Switches) (*Server, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		state:    newState(),
		listener: listener,
		stop:     make(chan struct{}),
		flipped:  make(chan struct{}),
	}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		MaxRequestBodySize: maxRequestBytes,
		CloseOnShutdown:    true,
	}
	s.Switch(switches)
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns where the store listens.
func (s *Server) Address() dfuident.Address {
	return dfuident.Address(s.listener.Addr().String())
}

// Operate writes a key as the operators do, without a condition, and returns
// its revision.
func (s *Server) Operate(key string, value []byte) dfuident.Revision {
	return s.state.operate(key, value)
}

// Close ends all calls and leases.
func (s *Server) Close() error {
	close(s.stop)
	s.state.close()
	return s.http.Shutdown()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/admin":
		s.admin(ctx)
		return
	case "/admin/operate":
		s.Operate(string(ctx.QueryArgs().Peek("key")), append([]byte(nil), ctx.PostBody()...))
		return
	}
	call, writes := dfuplatform.CallOf(ctx)
	s.count(call)
	if !s.available(ctx) {
		return
	}
	s.pause(s.current().Delay)
	if writes && s.loses(func(w *Switches) *int { return &w.LoseRequests }) {
		hangUp(ctx)
		return
	}
	if writes && s.loses(func(w *Switches) *int { return &w.Late }) {
		s.later(ctx)
		return
	}
	dfuplatform.ServeStore(ctx, s)
	s.pause(s.current().ReplyDelay)
	if writes && s.loses(func(w *Switches) *int { return &w.LoseReplies }) {
		hangUp(ctx)
	}
}

// later carries a write out only after a while and never answers it.
func (s *Server) later(ctx *fasthttp.RequestCtx) {
	var copied fasthttp.Request
	ctx.Request.CopyTo(&copied)
	wait := s.current().LateBy
	go func() {
		s.pause(wait)
		var late fasthttp.RequestCtx
		late.Init(&copied, nil, nil)
		dfuplatform.ServeStore(&late, s)
	}()
	hangUp(ctx)
}

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

// available refuses or holds a call while the store is down for its caller.
func (s *Server) available(ctx *fasthttp.RequestCtx) bool {
	for {
		down, flipped := s.down(ctx.RemoteIP().String())
		switch down {
		case DownNo:
			return true
		case DownRefuse:
			ctx.Error("the store is down", fasthttp.StatusServiceUnavailable)
			return false
		case DownLimit:
			ctx.Error("too many calls", fasthttp.StatusTooManyRequests)
			return false
		case DownReset:
			hangUp(ctx)
			return false
		case DownHang:
		}
		select {
		case <-flipped:
		case <-s.stop:
			return false
		}
	}
}

func (s *Server) pause(d dfuclock.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d.Std()):
	case <-s.stop:
	}
}

// admin answers a GET with the counts and switches and sets the switches on a
// POST.
func (s *Server) admin(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var switches Switches
		if err := json.Unmarshal(ctx.PostBody(), &switches); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.Switch(switches)
	}
	data, err := json.Marshal(struct {
		Counts   Counts   `json:"counts"`
		Switches Switches `json:"switches"`
	}{s.Counts(), s.current()})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
