package dfustorestandin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/platform"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxRequestBytes is the maximum size of a request body. It leaves room for a key
// and a value of the maximum size in base64.
const maxRequestBytes = 2 << 20

// Server serves the store over HTTP.
type Server struct {
	state    *state
	http     *fasthttp.Server
	listener net.Listener
	// stop is closed by Close.
	stop chan struct{}

	mu       sync.Mutex
	switches Switches
	// switchesChanged is closed and replaced when the switches are set.
	switchesChanged chan struct{}
	counts          Counts
}

// New starts a server on an IP address and port, which serves until Close. Port 0
// picks a free port.
func New(listen string, switches Switches) (*Server, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		state:           newState(),
		listener:        listener,
		stop:            make(chan struct{}),
		switchesChanged: make(chan struct{}),
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

// Address returns the address that the server listens on.
func (s *Server) Address() dfuident.Address {
	return dfuident.Address(s.listener.Addr().String())
}

// Operate writes a key as an operator, without a condition, and returns its new
// revision. It is the way to write keys under the reserved prefixes.
func (s *Server) Operate(key string, value []byte) dfuident.Revision {
	return s.state.putUnconditional(key, value)
}

// Retract deletes a key as an operator, without a condition, and returns the revision.
func (s *Server) Retract(key string) dfuident.Revision {
	return s.state.deleteUnconditional(key)
}

// Copy is the content of the store at a time.
type Copy struct{ content snapshot }

// Copy returns a copy of the content.
func (s *Server) Copy() Copy {
	return Copy{s.state.copy()}
}

// CountAnew returns the copy with revisions that are counted from 1.
func (c Copy) CountAnew() Copy {
	return Copy{c.content.countAnew()}
}

// Restore replaces the content by a copy, so that the revisions may become smaller. Watches that
// wait are cut if cut is set, otherwise they go on.
func (s *Server) Restore(c Copy, cut bool) {
	s.state.restore(c.content, cut)
}

// Close ends all calls, stops the timers of the leases and shuts the server down.
func (s *Server) Close() error {
	close(s.stop)
	s.state.close()
	return s.http.Shutdown()
}

// handle serves one request and injects the faults that are switched on.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/admin":
		s.handleAdmin(ctx)
		return
	case "/admin/operate":
		s.Operate(string(ctx.QueryArgs().Peek("key")), append([]byte(nil), ctx.PostBody()...))
		return
	}
	call, writes := dfuplatform.CallOf(ctx)
	s.count(call)
	if !s.admit(ctx) {
		return
	}
	s.sleep(s.currentSwitches().Delay)
	if writes && s.consume(func(w *Switches) *int { return &w.LoseRequests }) {
		closeWithoutReply(ctx)
		return
	}
	if writes && s.consume(func(w *Switches) *int { return &w.Late }) {
		s.delayWrite(ctx)
		return
	}
	dfuplatform.ServeStore(ctx, s)
	s.sleep(s.currentSwitches().ReplyDelay)
	if writes && s.consume(func(w *Switches) *int { return &w.LoseReplies }) {
		closeWithoutReply(ctx)
	}
	if call == dfuplatform.CallWatch && s.consume(func(w *Switches) *int { return &w.LoseWatches }) {
		s.silence(ctx)
	}
}

// silence sends no response and nothing else on the connection of a call, which stays open
// until the client closes it.
func (s *Server) silence(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		go func() {
			<-s.stop
			_ = conn.Close()
		}()
		_, _ = io.Copy(io.Discard, conn)
	})
}

// delayWrite closes the connection without a reply and executes the write LateBy
// later.
func (s *Server) delayWrite(ctx *fasthttp.RequestCtx) {
	var copied fasthttp.Request
	ctx.Request.CopyTo(&copied)
	delay := s.currentSwitches().LateBy
	go func() {
		s.sleep(delay)
		var late fasthttp.RequestCtx
		late.Init(&copied, nil, nil)
		dfuplatform.ServeStore(&late, s)
	}()
	closeWithoutReply(ctx)
}

// closeWithoutReply closes the connection of a call without sending a response.
func closeWithoutReply(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

// admit applies an outage to a call and reports whether the call may go on. In an
// outage of kind DownHang it blocks until the switches change or the server closes.
func (s *Server) admit(ctx *fasthttp.RequestCtx) bool {
	for {
		outage, switchesChanged := s.outage(ctx.RemoteIP().String())
		switch outage {
		case DownNo:
			return true
		case DownRefuse:
			ctx.Error("the store is down", fasthttp.StatusServiceUnavailable)
			return false
		case DownLimit:
			ctx.Error("too many calls", fasthttp.StatusTooManyRequests)
			return false
		case DownReset:
			closeWithoutReply(ctx)
			return false
		case DownHang:
		}
		select {
		case <-switchesChanged:
		case <-s.stop:
			return false
		}
	}
}

// sleep sleeps for d or until Close.
func (s *Server) sleep(d dfuclock.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d.Std()):
	case <-s.stop:
	}
}

// handleAdmin sets all switches from the JSON body of a POST and responds to every
// request with the counts and switches in JSON.
func (s *Server) handleAdmin(ctx *fasthttp.RequestCtx) {
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
	}{s.Counts(), s.currentSwitches()})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
