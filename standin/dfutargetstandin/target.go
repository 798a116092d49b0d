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

// crashStatus is the exit status of a target that a request crashed.
const crashStatus = 86

// Config describes one target.
type Config struct {
	// Name, Service and Node identify the target, what it serves and the HTTP
	// address of the node beside it.
	Name    string
	Service string
	Node    string
	// Slots is the number of requests that run at one time; more are shed.
	Slots int
	// Work is how long a request runs unless it says otherwise.
	Work time.Duration
	// Cold is how long a fresh target works at a tenth of its speed.
	Cold time.Duration
	// Effects is the path of the effect log; empty for none.
	Effects string
	// Crash is called when a request crashes the target.
	Crash func()
}

// Target is one running stand-in.
type Target struct {
	cfg      Config
	effects  *effectLog
	server   *http.Server
	listener net.Listener
	started  time.Time
	running  atomic.Int64
	draining atomic.Bool
	drained  atomic.Bool
	failing  atomic.Bool
	lying    atomic.Bool
}

// Report is the body of a work request's answer. Checks compare it with what
// was sent, so that an answer to another request is noticed.
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

// New returns a target on the listener.
func New(cfg Config, listener net.Listener) (*Target, error) {
	effects, err := openEffectLog(cfg.Effects)
	if err != nil {
		return nil, err
	}
	if cfg.Crash == nil {
		cfg.Crash = func() { os.Exit(crashStatus) }
	}
	t := &Target{cfg: cfg, effects: effects, listener: listener, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("/admin/", t.admin)
	mux.HandleFunc("/", t.work)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return t, nil
}

// Run serves and announces until ctx ends, then drains.
func (t *Target) Run(ctx context.Context) error {
	announcements, stop := context.WithCancel(context.Background())
	defer stop()
	go t.announce(announcements)
	failed := make(chan error, 1)
	go func() { failed <- t.server.Serve(t.listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		t.drain()
		return errors.Wrap(t.server.Shutdown(context.Background()), "stop serving")
	}
}

// work runs one request. The query selects what happens: ms, size, crash,
// fail, and service with depth for an onward call, whose deepest one runs for
// last ms.
func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	if t.failing.Load() {
		http.Error(w, "error burst", http.StatusInternalServerError)
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
	if t.effects.add(t.effect(EffectStarted, r)) != nil {
		http.Error(w, "effect log failed", http.StatusInternalServerError)
		return
	}
	if r.URL.Query().Has("crash") {
		_ = t.effects.add(t.effect(EffectCrashed, r))
		t.cfg.Crash()
		return
	}
	if !t.wait(r) {
		_ = t.effects.add(t.effect(EffectCanceled, r))
		// A handler that returns without writing would answer with a success.
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, body)
}

// wait spends the request's time and reports whether it may go on.
func (t *Target) wait(r *http.Request) bool {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Dragonflyusher-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	work := t.cfg.Work
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if time.Since(t.started) < t.cfg.Cold {
		work *= 10
	}
	if work == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, body []byte) {
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
		report.Nested = t.callOnward(w, r)
	}
	if t.effects.add(t.effect(EffectFinished, r)) != nil {
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

func (t *Target) effect(event EffectEvent, r *http.Request) Effect {
	return Effect{
		Event:     event,
		Target:    t.cfg.Name,
		Service:   t.cfg.Service,
		URI:       r.URL.RequestURI(),
		RequestID: r.Header.Get("Dragonflyusher-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
	}
}

// admin switches faults: /admin/fail, /admin/lie and /admin/drain with on=0 or
// on=1.
func (t *Target) admin(w http.ResponseWriter, r *http.Request) {
	on := r.URL.Query().Get("on") != "0"
	switch r.URL.Path {
	case "/admin/fail":
		t.failing.Store(on)
	case "/admin/lie":
		t.lying.Store(on)
	case "/admin/drain":
		t.draining.Store(on)
	case "/admin/health":
		w.WriteHeader(http.StatusOK)
	default:
		http.NotFound(w, r)
	}
}
