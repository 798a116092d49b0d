package dfutargetstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// announceInterval is the time between two announcements to the local node.
	announceInterval = 500 * time.Millisecond
	// drainPollInterval is the time between two announcements while the target
	// waits for the node to complete the drain.
	drainPollInterval = 50 * time.Millisecond
	// drainTimeout bounds the wait for the node to complete the drain.
	drainTimeout = 30 * time.Second
)

// announce sends announcements to the local node until ctx is done.
func (t *Target) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announceOnce sends one announcement and records whether the node reports the
// target as drained, that is, its last request as finished. Errors are ignored:
// the next announcement follows soon.
func (t *Target) announceOnce(ctx context.Context) {
	body, err := json.Marshal(struct {
		Service  string `json:"service"`
		Address  string `json:"address"`
		Slots    int    `json:"slots"`
		Cold     bool   `json:"cold"`
		Draining bool   `json:"draining"`
	}{t.cfg.Service, t.listener.Addr().String(), t.cfg.Slots, time.Since(t.started) < t.cfg.Cold, t.draining.Load()})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.cfg.Node+"/dragonflyusher/target", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var reply struct {
		State string `json:"state"`
	}
	if json.NewDecoder(resp.Body).Decode(&reply) == nil {
		t.drained.Store(reply.State == "drained")
	}
}

// drain announces that the target is draining and waits until the node reports it
// as drained, at most for drainTimeout.
func (t *Target) drain() {
	t.draining.Store(true)
	t.drained.Store(false)
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && !t.drained.Load() {
		t.announceOnce(context.Background())
		time.Sleep(drainPollInterval)
	}
}

// callNested calls another service through the local node on behalf of r, with
// the deadline, trace and retry allowance of r. It returns the outcome of the
// nested call, or the text of the error if there was no response. If the nested
// call was retried, it sets the Dragonflyusher-Retried header on w.
func (t *Target) callNested(w http.ResponseWriter, r *http.Request) string {
	query := r.URL.Query()
	depth, _ := strconv.Atoi(query.Get("depth"))
	uri := url.URL{Scheme: "http", Host: t.cfg.Node, Path: "/nested"}
	params := url.Values{"ms": {query.Get("ms")}}
	if depth <= 1 && query.Has("last") {
		params.Set("ms", query.Get("last"))
	}
	if depth > 1 {
		params.Set("last", query.Get("last"))
		params.Set("service", query.Get("service"))
		params.Set("depth", strconv.Itoa(depth-1))
	}
	uri.RawQuery = params.Encode()
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, uri.String(), nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Dragonflyusher-Service", query.Get("service"))
	for _, name := range []string{"Dragonflyusher-Deadline-Ms", "Dragonflyusher-Retry-Allowance", "Traceparent"} {
		req.Header.Set(name, r.Header.Get(name))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.Header.Get("Dragonflyusher-Retried") != "" {
		w.Header().Set("Dragonflyusher-Retried", "1")
	}
	return resp.Header.Get("Dragonflyusher-Outcome")
}
