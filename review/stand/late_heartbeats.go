package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lateHeartbeats plays a worker that leaves while its node is killed and restarted, and
// whose last two heartbeats from before its leaving arrive seconds late.
func lateHeartbeats(d *deployment, trouble bool) bool {
	const service, other = "order-desk", "refill-catalogue"
	d.configure(3, []string{service, other}, []route{{
		Name: "r-orders", Host: "orders.example", Prefix: "/orders/", Kind: "non_idempotent",
		TimeoutMS: 1000, TargetLatency: 400, Priority: 1, Service: service, Attempts: 2,
	}})
	work := func(*http.Request) time.Duration { return 60 * time.Millisecond }
	entry := d.addNode("downs-east", "downs", other)
	left := d.addNode("downs-east", "downs", service)
	stays := d.addNode("downs-west", "downs", service)
	for _, n := range d.nodes {
		n.start()
		n.startWorker(9, work)
	}
	w := left.worker
	d.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)

	// Clients send requests all the while, over kept connections of another machine.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	sent := &sentRequests{at: map[string]time.Duration{}}
	for range 6 {
		wg.Add(1)
		go func() { defer wg.Done(); keepSending(entry, "orders.example", "/orders/1", sent, stop) }()
	}
	time.Sleep(2 * time.Second)

	// The heartbeats of the last three seconds before the leaving arrive late. Each is
	// sent once more by the usual rule: the next heartbeat is due at its own time.
	const late = 3000 * time.Millisecond
	if trouble {
		w.mu.Lock()
		first := w.sequence + 1
		w.beatDelay = func(sequence int) time.Duration {
			if sequence >= first {
				return late
			}
			return 0
		}
		w.mu.Unlock()
		d.record.printf("link: heartbeats %d and later of worker %s are %.1f s late", first, left.name, late.Seconds())
	}
	time.Sleep(2*d.heartbeat + 200*time.Millisecond)
	acked, ok := w.leave()
	if !ok {
		cannotRun("the leaving wasn't acknowledged")
	}
	if trouble {
		d.record.printf("platform: SIGKILL for %s", left.name)
		left.signal(syscall.SIGKILL)
	}
	// The worker serves on for drainMs and a little longer, at times many seconds.
	time.Sleep(d.bounds.drain + 9*time.Second)
	close(stop)
	wg.Wait()
	w.end()
	d.record.printf("worker %s: ends", left.name)

	late2 := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, x := range w.runs {
		inTouch := left.started + d.bounds.stability
		if x.at > acked+d.bounds.drain && sent.at[id] > inTouch {
			late2++
			d.record.printf("DRAIN: %s reached worker %s %.3f s after the acknowledgement of its leaving", id, left.name, (x.at - acked).Seconds())
		}
	}
	inTouch := "without a restart"
	if left.starts > 1 {
		inTouch = "in touch again since " + strings.TrimSpace((left.started + d.bounds.stability).String())
	}
	d.record.printf("%d requests reached worker %s later than drainMs after the acknowledgement; %s %s; worker %s ran %d",
		late2, left.name, left.name, inTouch, stays.name, len(stays.worker.runs))
	return late2 == 0
}

// sentRequests holds when each request was sent.
type sentRequests struct {
	sync.Mutex
	at map[string]time.Duration
}

// keepSending sends one request after the other over a kept connection.
func keepSending(entry *node, host, uri string, sent *sentRequests, stop <-chan struct{}) {
	var c *conn
	for {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dialNode(entry); err != nil {
				continue
			}
		}
		id := newID()
		sent.Lock()
		sent.at[id] = entry.d.record.now()
		sent.Unlock()
		entry.d.record.printf("client: sends %s (POST %s) to %s", id, uri, entry.name)
		err := c.send(http.MethodPost, host, uri, id, time.Second, []byte("{}"))
		a := answer{err: err}
		if err == nil {
			a = c.read(http.MethodPost, 2*time.Second)
		}
		entry.d.record.printf("client: %s gets %v", id, a)
		if a.err != nil || a.header.Get("Connection") == "close" {
			c.Close()
			c = nil
		}
	}
}
