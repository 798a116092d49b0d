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
	// announcePeriod is how often the target tells its node that it is there.
	announcePeriod = 500 * time.Millisecond
	// drainPoll is how often a stopping target asks whether it may stop.
	drainPoll = 50 * time.Millisecond
	// drainLimit bounds the wait for the node's word.
	drainLimit = 30 * time.Second
)

// announce tells the node about the target until ctx ends.
func (t *Target) announce(ctx context.Context) {
	ticker := time.NewTicker(announcePeriod)
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

// announceOnce sends one announcement and notes whether the node has seen the
// last request finish.
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

// drain announces the end and waits until the node says that it may come.
func (t *Target) drain() {
	t.draining.Store(true)
	t.drained.Store(false)
	deadline := time.Now().Add(drainLimit)
	for time.Now().Before(deadline) && !t.drained.Load() {
		t.announceOnce(context.Background())
		time.Sleep(drainPoll)
	}
}

// callOnward calls another service through the node beside the target, with
// the deadline, the trace and the retry allowance of the request that it
// serves. It returns the outcome of the onward call and passes on that it was
// retried.
func (t *Target) callOnward(w http.ResponseWriter, r *http.Request) string {
	query := r.URL.Query()
	depth, _ := strconv.Atoi(query.Get("depth"))
	uri := url.URL{Scheme: "http", Host: t.cfg.Node, Path: "/nested"}
	values := url.Values{"ms": {query.Get("ms")}}
	if depth <= 1 && query.Has("last") {
		values.Set("ms", query.Get("last"))
	}
	if depth > 1 {
		values.Set("last", query.Get("last"))
		values.Set("service", query.Get("service"))
		values.Set("depth", strconv.Itoa(depth-1))
	}
	uri.RawQuery = values.Encode()
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
