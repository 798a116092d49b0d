package dfutargetstandin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// crashExitStatus is the exit status of a target that crashes on request.
const crashExitStatus = 86

// Config describes one target.
type Config struct {
	// Name identifies the target in responses and in the effect log.
	Name string
	// Service is the service that the target announces.
	Service string
	// Node is the HTTP address of the local node.
	Node string
	// Slots is the maximum number of concurrent requests; excess ones are shed.
	Slots int
	// Work is how long a request runs if its query has no ms parameter.
	Work time.Duration
	// Cold is how long after the start requests take ten times as long.
	Cold time.Duration
	// Effects is the path of the effect log; empty disables the log.
	Effects string
	// Crash is called for a request with the crash parameter. If it is nil, the
	// process exits with status 86.
	Crash func()
}

// Target is a stand-in for a target. New creates one and Run serves it.
type Target struct {
	cfg          Config
	effects      *effectLog
	server       *http.Server
	listener     net.Listener
	started      time.Time
	running      atomic.Int64
	draining     atomic.Bool
	drained      atomic.Bool
	failing      atomic.Bool
	falseReports atomic.Bool
}

// Report is the JSON body of a response. It echoes the request, so that a caller
// can detect the response to another request. BodySum is the XXH64 hash of the
// request body in hexadecimal, and Nested is the outcome of the nested call.
type Report struct {
	Target    string `json:"target"`
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	URI       string `json:"uri"`
	BodyBytes int    `json:"body_bytes"`
	BodySum   string `json:"body_sum"`
	Nested    string `json:"nested,omitempty"`
}

// New returns a target that will serve on the listener. It fails if the effect
// log cannot be opened.
func New(cfg Config, listener net.Listener) (*Target, error) {
	effects, err := openEffectLog(cfg.Effects)
	if err != nil {
		return nil, err
	}
	if cfg.Crash == nil {
		cfg.Crash = func() { os.Exit(crashExitStatus) }
	}
	t := &Target{cfg: cfg, effects: effects, listener: listener, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("/admin/", t.handleAdmin)
	mux.HandleFunc("/", t.handleRequest)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return t, nil
}

// Run serves requests and announces the target to its node until ctx is done. It
// then drains and shuts the server down.
func (t *Target) Run(ctx context.Context) error {
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	go t.announce(announceCtx)
	serveErr := make(chan error, 1)
	go func() { serveErr <- t.server.Serve(t.listener) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		t.drain()
		return errors.Wrap(t.server.Shutdown(context.Background()), "shut down server")
	}
}

// handleRequest runs one request. The parameters of its query are:
//
//	ms       how long it runs, in milliseconds
//	size     minimum size of the response body in bytes, padded with spaces
//	short    declare a Content-Length one byte above what is sent
//	crash    crash the target
//	fail     run and respond with status 500
//	service  call this service through the local node after the ms
//	depth    number of nested calls in the chain, 1 if missing
//	last     value of ms for the last call of the chain
func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Dragonflyusher-Request-Id", r.Header.Get("Dragonflyusher-Request-Id"))
	if t.failing.Load() {
		http.Error(w, "error responses are switched on", http.StatusInternalServerError)
		return
	}
	if t.running.Add(1) > int64(t.cfg.Slots) {
		t.running.Add(-1)
		w.Header().Set("Dragonflyusher-Not-Run", "1")
		http.Error(w, "all slots are taken", http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t.effects.write(t.newEffect(EffectStarted, r)) != nil {
		http.Error(w, "cannot write to the effect log", http.StatusInternalServerError)
		return
	}
	if r.URL.Query().Has("crash") {
		_ = t.effects.write(t.newEffect(EffectCrashed, r))
		t.cfg.Crash()
		return
	}
	if !t.simulateWork(r) {
		_ = t.effects.write(t.newEffect(EffectCanceled, r))
		// If the handler returned without writing, net/http would respond with
		// status 200.
		panic(http.ErrAbortHandler)
	}
	t.writeResponse(w, r, body)
}

// simulateWork sleeps for the duration of the request. It reports false if the
// deadline expired or the client closed the connection before the end.
func (t *Target) simulateWork(r *http.Request) bool {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Dragonflyusher-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	duration := t.cfg.Work
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		duration = time.Duration(ms) * time.Millisecond
	}
	if time.Since(t.started) < t.cfg.Cold {
		duration *= 10
	}
	if duration == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeResponse makes the nested call, if there is one, logs the end of the run
// and responds with a Report.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, body []byte) {
	report := Report{
		Target:    t.cfg.Name,
		Service:   t.cfg.Service,
		RequestID: r.Header.Get("Dragonflyusher-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
		URI:       r.URL.RequestURI(),
		BodyBytes: len(body),
		BodySum:   strconv.FormatUint(xxhash.Sum64(body), 16),
	}
	if r.URL.Query().Has("service") {
		report.Nested = t.callNested(w, r)
	}
	if t.effects.write(t.newEffect(EffectFinished, r)) != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Has("fail") {
		w.WriteHeader(http.StatusInternalServerError)
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	padding := make([]byte, max(0, size-len(encoded)))
	for i := range padding {
		padding[i] = ' '
	}
	if r.URL.Query().Has("short") {
		w.Header().Set("Content-Length", strconv.Itoa(len(encoded)+len(padding)+1))
	}
	_, _ = w.Write(append(encoded, padding...))
}

func (t *Target) newEffect(event EffectEvent, r *http.Request) Effect {
	return Effect{
		Event:     event,
		Target:    t.cfg.Name,
		Service:   t.cfg.Service,
		URI:       r.URL.RequestURI(),
		RequestID: r.Header.Get("Dragonflyusher-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
	}
}

// handleAdmin sets a switch, or clears it with on=0. While /admin/fail is set,
// every request outside /admin/ gets status 500; while /admin/drain is set, the
// target is announced as draining. /admin/lie is meant to make load reports false,
// but has no effect, because the target sends none. /admin/health is no switch; it
// responds with status 200.
func (t *Target) handleAdmin(w http.ResponseWriter, r *http.Request) {
	on := r.URL.Query().Get("on") != "0"
	switch r.URL.Path {
	case "/admin/fail":
		t.failing.Store(on)
	case "/admin/lie":
		t.falseReports.Store(on)
	case "/admin/drain":
		t.draining.Store(on)
	case "/admin/health":
		w.WriteHeader(http.StatusOK)
	default:
		http.NotFound(w, r)
	}
}
