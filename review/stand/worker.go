package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is an application worker beside a node.
type worker struct {
	n        *node
	instance string
	born     int64
	slots    int
	// work is how long the worker works on a request.
	work   func(r *http.Request) time.Duration
	server *http.Server
	stop   chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	running  int
	runs     map[string]run
	// beatDelay returns how late a heartbeat arrives.
	beatDelay func(sequence int) time.Duration
	// announces is set while the worker sends heartbeats.
	announces bool
	// crashes reports whether a request crashes the worker, and onCrash is called when one
	// does.
	crashes func(r *http.Request) bool
	onCrash func(id string)
}

// run is a request that the worker began to work on.
type run struct {
	at    time.Duration
	ended time.Duration
	how   string
	times int
}

func (n *node) startWorker(slots int, work func(r *http.Request) time.Duration) *worker {
	w := &worker{
		n: n, born: time.Now().UnixMilli(), slots: slots, work: work, stop: make(chan struct{}),
		state: "ready", runs: map[string]run{}, announces: true,
		beatDelay: func(int) time.Duration { return 0 },
	}
	w.instance = fmt.Sprintf("i-%s-%d", n.name, w.born)
	w.listen()
	n.worker = w
	go w.announce()
	return w
}

func (w *worker) listen() {
	l, err := net.Listen("tcp", w.n.application)
	if err != nil {
		cannotRun("%v", err)
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
}

// downTime is how long a worker that has crashed is down.
const downTime = 2 * time.Second

// crash ends the worker at once. It is back after some seconds as a new incarnation.
func (w *worker) crash(id string) {
	w.mu.Lock()
	if !w.announces {
		w.mu.Unlock()
		return
	}
	w.announces = false
	server := w.server
	w.mu.Unlock()
	w.n.d.record.printf("worker %s: %s crashes it", w.n.name, id)
	w.onCrash(id)
	_ = server.Close()
	go func() {
		time.Sleep(downTime)
		w.mu.Lock()
		w.born = time.Now().UnixMilli()
		w.instance = fmt.Sprintf("i-%s-%d", w.n.name, w.born)
		w.sequence, w.running, w.announces = 0, 0, true
		w.mu.Unlock()
		w.listen()
		w.n.d.record.printf("worker %s: is back as %s", w.n.name, w.instance)
		w.beat()
	}()
}

// announce sends heartbeats until the worker ends.
func (w *worker) announce() {
	for wait := time.Duration(0); ; wait = w.n.d.heartbeat {
		select {
		case <-w.stop:
			return
		case <-time.After(wait):
			w.beat()
		}
	}
}

// beat sends one heartbeat. One that isn't acknowledged is followed by the next.
func (w *worker) beat() {
	w.mu.Lock()
	if !w.announces {
		w.mu.Unlock()
		return
	}
	w.sequence++
	sequence, state := w.sequence, w.state
	delay := w.beatDelay(sequence)
	w.mu.Unlock()
	body := w.body(sequence, state)
	sent := w.n.d.record.now()
	go func() {
		time.Sleep(delay)
		status, err := w.call(http.MethodPut, body)
		if delay > 0 || state != "ready" {
			w.n.d.record.printf("worker %s: heartbeat %d (%s), sent at %.3f s, arrived now, %.1f s late: %d %v",
				w.n.name, sequence, state, sent.Seconds(), delay.Seconds(), status, err)
		}
	}()
}

// body returns the body of a heartbeat.
func (w *worker) body(sequence int, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		w.n.service, w.n.application, w.n.zone, w.slots, state, sequence, w.born)
}

// call sends a call about the worker to the node and returns the status.
func (w *worker) call(method, body string) (int, error) {
	r, err := http.NewRequest(method, "http://"+w.n.control+"/dragonflyusher/targets/"+w.instance, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, errors.Unwrap(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode, nil
}

// leave sends the DELETE that a worker sends which never reports draining. It returns
// the time of the acknowledgement, or false if there was none.
func (w *worker) leave() (time.Duration, bool) {
	w.mu.Lock()
	w.announces, w.state = false, "leaving"
	w.mu.Unlock()
	status, err := w.call(http.MethodDelete, "")
	at := w.n.d.record.now()
	w.n.d.record.printf("worker %s: DELETE: %d %v", w.n.name, status, err)
	return at, err == nil && status/100 == 2
}

// end ends the worker.
func (w *worker) end() {
	close(w.stop)
	_ = w.server.Close()
}

// ServeHTTP handles a request as the pages describe it.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	running, leaving := w.running, w.state != "ready"
	w.mu.Unlock()
	out.Header().Set(names["load"], fmt.Sprintf("%d,0,%d,100", running, w.slots))
	out.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == healthPath {
		out.Header().Set(names["instanceID"], w.instance)
		if leaving {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(names["attemptID"])
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out.Header().Set(names["attemptID"], id)
	expected := r.Header.Get(names["expectInstance"])
	w.mu.Lock()
	status := 0
	switch {
	case expected != "" && expected != w.instance:
		status = http.StatusMisdirectedRequest
	case id == "":
		status = http.StatusBadRequest
	case w.running >= w.slots:
		status = http.StatusServiceUnavailable
	default:
		w.running++
		x := w.runs[id]
		x.at, x.times = w.n.d.record.now(), x.times+1
		w.runs[id] = x
	}
	w.mu.Unlock()
	if status != 0 {
		out.Header().Set(names["instanceID"], w.instance)
		out.Header().Set(names["notExecuted"], "1")
		out.WriteHeader(status)
		return
	}
	if w.crashes != nil && w.crashes(r) {
		w.crash(id)
		panic(http.ErrAbortHandler)
	}
	ms, _ := strconv.Atoi(r.Header.Get(names["deadline"]))
	w.n.d.record.printf("worker %s: runs %s (%d bytes, deadline %d ms)", w.n.name, id, len(body), ms)
	how := "done"
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	select {
	case <-time.After(w.work(r)):
	case <-ctx.Done():
		how = "deadline"
		if r.Context().Err() != nil {
			how = "dropped, its connection closed"
		}
	}
	cancel()
	w.mu.Lock()
	w.running = max(0, w.running-1)
	x := w.runs[id]
	x.ended, x.how = w.n.d.record.now(), how
	w.runs[id] = x
	if w.state != "ready" {
		out.Header().Set("Connection", "close")
	}
	w.mu.Unlock()
	w.n.d.record.printf("worker %s: its work on %s ends: %s", w.n.name, id, how)
	out.Header().Set(names["seal"], w.instance+"."+id)
	if how == "deadline" {
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = io.WriteString(out, "answer to "+id)
}

// runOf returns the worker's run of a request.
func (w *worker) runOf(id string) (run, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x, ok := w.runs[id]
	return x, ok
}
