package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workerConfig describes a worker.
type workerConfig struct {
	service string
	// address is where its node reaches it, and control the address of its heartbeats.
	address, control string
	slots, queue     int
	work             time.Duration
	// answerBytes is the size of the body of an answer.
	answerBytes int
	beat        time.Duration
}

// worker is a stand-in of a worker that speaks the platform's protocol. A run ends when its
// time is over, or earlier if its connection is closed.
type worker struct {
	cfg      workerConfig
	record   *record
	id       string
	born     int64
	listener net.Listener
	// busy holds an element for each request that runs, and waiting counts those that wait.
	busy    chan struct{}
	waiting atomic.Int64
	stopped context.Context
	stop    context.CancelFunc

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	sequence int
}

func newWorker(ctx context.Context, cfg workerConfig, r *record) (*worker, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", cfg.address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	w := &worker{
		cfg: cfg, record: r, id: fmt.Sprintf("i-%08x", now.UnixNano()&0xffffffff), born: now.UnixMilli(), listener: l,
		busy: make(chan struct{}, cfg.slots), conns: map[net.Conn]struct{}{},
	}
	w.stopped, w.stop = context.WithCancel(ctx)
	go w.accept()
	go w.sendHeartbeats()
	return w, nil
}

// crash ends the worker without notice. It doesn't come back.
func (w *worker) crash() {
	w.stop()
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

// request is a request that a worker has read.
type request struct {
	method, uri string
	header      textproto.MIMEHeader
}

// readRequest reads a request, whose body it drops.
func readRequest(r *bufio.Reader) (request, error) {
	text := textproto.NewReader(r)
	line, err := text.ReadLine()
	if err != nil {
		return request{}, err
	}
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return request{}, errors.New("malformed request line")
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return request{}, err
	}
	if length := header.Get("Content-Length"); length != "" {
		n, err := strconv.ParseInt(length, 10, 64)
		if err != nil {
			return request{}, err
		}
		if _, err := io.CopyN(io.Discard, r, n); err != nil {
			return request{}, err
		}
	}
	return request{fields[0], fields[1], header}, nil
}

// serve serves the requests of a connection one after the other.
func (w *worker) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		q, err := readRequest(r)
		if err != nil {
			return
		}
		if _, err := c.Write(w.handle(q)); err != nil {
			return
		}
	}
}

// handle returns the response to a request.
func (w *worker) handle(q request) []byte {
	id := q.header.Get(names["attemptID"])
	switch {
	case q.uri == "/health":
		return w.response(http.StatusOK, names["instanceID"]+": "+w.id+"\r\n", nil)
	case q.header.Get(names["expectInstance"]) != w.id:
		return w.response(http.StatusMisdirectedRequest, names["instanceID"]+": "+w.id+"\r\n", nil)
	}
	if w.waiting.Add(1) > int64(w.cfg.queue) {
		w.waiting.Add(-1)
		return w.response(http.StatusServiceUnavailable, names["notExecuted"]+": 1\r\n"+names["attemptID"]+": "+id+"\r\n", nil)
	}
	w.busy <- struct{}{}
	w.waiting.Add(-1)
	w.record.add("run id=%s at=%s", id, w.cfg.address)
	time.Sleep(w.cfg.work)
	<-w.busy
	body := bytes.Repeat([]byte(id+"."), w.cfg.answerBytes/(len(id)+1))
	return w.response(http.StatusOK, names["attemptID"]+": "+id+"\r\n"+names["seal"]+": "+w.id+"."+id+"\r\n", body)
}

func (w *worker) response(status int, fields string, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%s: %d,%d,%d,100\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), fields, names["load"], len(w.busy), w.waiting.Load(), w.cfg.slots, len(body))
	return append([]byte(head), body...)
}

// sendHeartbeats announces the worker to the node beside it until it crashes.
func (w *worker) sendHeartbeats() {
	for w.stopped.Err() == nil {
		w.heartbeat()
		select {
		case <-w.stopped.Done():
		case <-time.After(w.cfg.beat):
		}
	}
}

func (w *worker) heartbeat() {
	w.sequence++
	body, err := json.Marshal(map[string]any{
		"service": w.cfg.service, "address": w.cfg.address, "zone": "z", "version": "v1", "slots": w.cfg.slots,
		"state": "ready", "sequence": w.sequence, "cold_remaining_ms": 0, "born": w.born,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.stopped, time.Second)
	defer cancel()
	uri := "http://" + w.cfg.control + "/dragonflyusher/targets/" + w.id
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, uri, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
	}
}
