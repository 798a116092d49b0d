package dfustorestandin

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfustore"

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

// Close ends all calls and leases.
func (s *Server) Close() error {
	close(s.stop)
	s.state.close()
	return s.http.Shutdown()
}

// route serves one path.
type route struct {
	count  func(*Counts) *uint64
	serve  func(*Server, *fasthttp.RequestCtx)
	writes bool
}

var routes = map[string]route{
	"/v1/get":             {count: func(c *Counts) *uint64 { return &c.Get }, serve: (*Server).get},
	"/v1/list":            {count: func(c *Counts) *uint64 { return &c.List }, serve: (*Server).list},
	"/v1/watch":           {count: func(c *Counts) *uint64 { return &c.Watch }, serve: (*Server).watch},
	"/v1/cas":             {count: func(c *Counts) *uint64 { return &c.CompareAndSwap }, serve: (*Server).swap, writes: true},
	"/v1/delete":          {count: func(c *Counts) *uint64 { return &c.Delete }, serve: (*Server).remove, writes: true},
	"/v1/lease/grant":     {count: func(c *Counts) *uint64 { return &c.Lease }, serve: (*Server).grant, writes: true},
	"/v1/lease/keepalive": {count: func(c *Counts) *uint64 { return &c.Lease }, serve: (*Server).keepAlive, writes: true},
	"/v1/lease/revoke":    {count: func(c *Counts) *uint64 { return &c.Lease }, serve: (*Server).revoke, writes: true},
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/admin" {
		s.admin(ctx)
		return
	}
	r, ok := routes[path]
	if !ok {
		ctx.Error("no such path", fasthttp.StatusNotImplemented)
		return
	}
	s.count(r)
	if !s.available(ctx) {
		return
	}
	region := dfuident.Region(ctx.Request.Header.Peek(dfustore.RegionHeader))
	current := s.current()
	s.pause(current.Delay + current.OneWayDelay[region])
	if r.writes && s.loses(func(w *Switches) *int { return &w.LoseRequests }) {
		hangUp(ctx)
		return
	}
	r.serve(s, ctx)
	current = s.current()
	s.pause(current.ReplyDelay + current.OneWayDelay[region])
	if r.writes && s.loses(func(w *Switches) *int { return &w.LoseReplies }) {
		hangUp(ctx)
	}
}

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

// available refuses or holds a call while the store is down.
func (s *Server) available(ctx *fasthttp.RequestCtx) bool {
	for {
		down, flipped := s.down()
		switch down {
		case DownNo:
			return true
		case DownRefuse:
			ctx.Error("the store is down", fasthttp.StatusServiceUnavailable)
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

func (s *Server) get(ctx *fasthttp.RequestCtx) {
	answer(ctx, fasthttp.StatusOK, struct {
		Record dfustore.Record `json:"record"`
	}{s.state.get(string(ctx.QueryArgs().Peek("key")))})
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	records, revision := s.state.list(string(ctx.QueryArgs().Peek("prefix")))
	answer(ctx, fasthttp.StatusOK, struct {
		Records  []dfustore.Record `json:"records"`
		Revision dfuident.Revision `json:"revision"`
	}{records, revision})
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error("after is not a revision", fasthttp.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(dfuclock.Duration(ctx.QueryArgs().GetUintOrZero("wait_ms")).Std())
	defer timeout.Stop()
	for over := false; ; {
		records, view, changed := s.state.since(prefix, dfuident.Revision(after))
		compacted := dfuident.Revision(after) < view.compacted
		if compacted || len(records) > 0 || over {
			answer(ctx, fasthttp.StatusOK, struct {
				Records   []dfustore.Record `json:"records"`
				Revision  dfuident.Revision `json:"revision"`
				Compacted bool              `json:"compacted"`
			}{records, max(view.revision, dfuident.Revision(after)), compacted})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-s.stop:
			over = true
		}
	}
}

func (s *Server) swap(ctx *fasthttp.RequestCtx) {
	var body struct {
		Key    string            `json:"key"`
		Expect dfuident.Revision `json:"expect"`
		Value  []byte            `json:"value"`
		Lease  dfustore.LeaseID  `json:"lease"`
	}
	if !decode(ctx, &body) {
		return
	}
	if len(body.Value) > dfustore.MaxValueBytes {
		ctx.Error("the value is too large", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	answerWrite(ctx)(s.state.swap(body.Key, body.Expect, body.Value, body.Lease))
}

func (s *Server) remove(ctx *fasthttp.RequestCtx) {
	var body struct {
		Key    string            `json:"key"`
		Expect dfuident.Revision `json:"expect"`
	}
	if decode(ctx, &body) {
		answerWrite(ctx)(s.state.remove(body.Key, body.Expect))
	}
}

func (s *Server) grant(ctx *fasthttp.RequestCtx) {
	var body struct {
		TTL dfuclock.Duration `json:"ttl_ms"`
	}
	if decode(ctx, &body) {
		answer(ctx, fasthttp.StatusOK, struct {
			Lease dfustore.LeaseID `json:"lease"`
		}{s.state.grant(body.TTL)})
	}
}

func (s *Server) keepAlive(ctx *fasthttp.RequestCtx) {
	s.useLease(ctx, s.state.keepAlive)
}

func (s *Server) revoke(ctx *fasthttp.RequestCtx) {
	s.useLease(ctx, s.state.revoke)
}

func (s *Server) useLease(ctx *fasthttp.RequestCtx, use func(dfustore.LeaseID) bool) {
	var body struct {
		Lease dfustore.LeaseID `json:"lease"`
	}
	if !decode(ctx, &body) {
		return
	}
	if !use(body.Lease) {
		ctx.Error("no such lease", fasthttp.StatusNotFound)
		return
	}
	answer(ctx, fasthttp.StatusOK, struct{}{})
}

// answerWrite returns a function that answers a conditional write.
func answerWrite(ctx *fasthttp.RequestCtx) func(dfustore.Record, verdict) {
	return func(record dfustore.Record, v verdict) {
		switch v {
		case applied:
			answer(ctx, fasthttp.StatusOK, struct {
				Revision dfuident.Revision `json:"revision"`
			}{record.Revision})
		case conflict:
			answer(ctx, fasthttp.StatusConflict, struct {
				Record dfustore.Record `json:"record"`
			}{record})
		case noLease:
			ctx.Error("no such lease", fasthttp.StatusNotFound)
		}
	}
}

func decode(ctx *fasthttp.RequestCtx, body any) bool {
	if err := json.Unmarshal(ctx.PostBody(), body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func answer(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
