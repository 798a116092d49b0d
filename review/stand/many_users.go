package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// manyUsers plays users with kept connections, a burst of more of them for a few
// seconds, and workers that leave long after the burst.
func manyUsers(d *deployment, trouble bool) bool {
	const (
		service   = "refill-catalogue"
		users     = 2500
		burst     = 1.7
		burstTime = 5 * time.Second
		ackTime   = 4 * time.Second
	)
	perNode := int(users*burst) + 500
	stormed := min(2, fileLimit()/perNode)
	if stormed == 0 {
		cannotRun("%d descriptors are needed", perNode)
	}
	d.maxFds = 4100
	d.configure(3, []string{service}, []route{{
		Name: "r-prices", Host: "prices.example", Prefix: "/prices/", Kind: "idempotent",
		TimeoutMS: 800, TargetLatency: 300, Priority: 1, Service: service, Attempts: 2,
	}})
	d.addNode("downs-east", "downs", service)
	d.addNode("downs-west", "downs", service)
	for _, n := range d.nodes {
		n.start()
		n.startWorker(60, func(*http.Request) time.Duration { return 20 * time.Millisecond })
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	stop, over := make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	var served, failed atomic.Int64
	// Each user keeps a connection and sends a request every ten seconds.
	user := func(n *node, after time.Duration, stop <-chan struct{}) {
		defer wg.Done()
		select {
		case <-stop:
			return
		case <-time.After(after):
		}
		for {
			c, err := dialNode(n)
			if err != nil {
				failed.Add(1)
			}
			for err == nil {
				var a answer
				if err = c.send(http.MethodGet, "prices.example", "/prices/1", newID(), 800*time.Millisecond, nil); err == nil {
					a = c.read(http.MethodGet, 2*time.Second)
					err = a.err
				}
				if err == nil && a.status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				select {
				case <-stop:
					c.Close()
					return
				case <-time.After(10 * time.Second):
				}
			}
			if c != nil {
				c.Close()
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	}
	report := func(what string) {
		d.record.printf("clients, %s: %d requests served, %d failed since the last line", what, served.Swap(0), failed.Swap(0))
	}
	for _, n := range d.nodes[:stormed] {
		for i := range users {
			wg.Add(1)
			go user(n, time.Duration(i)*10*time.Second/users, stop)
		}
	}
	time.Sleep(14 * time.Second)
	report("usual")
	for _, n := range d.nodes {
		d.record.printf("platform: %s ready: %v, descriptors: %d of %d", n.name, n.ready(), n.descriptors(), d.maxFds)
	}
	if trouble {
		d.record.printf("burst: %.1f times the users for %v", burst, burstTime)
		for _, n := range d.nodes[:stormed] {
			for i := range int(users * (burst - 1)) {
				wg.Add(1)
				go user(n, time.Duration(i)*2*time.Second/users, over)
			}
		}
	}
	for range 5 {
		time.Sleep(burstTime / 5)
		for _, n := range d.nodes {
			d.record.printf("platform: %s ready: %v, descriptors: %d of %d", n.name, n.ready(), n.descriptors(), d.maxFds)
		}
	}
	close(over)
	report("burst")
	d.record.printf("the burst is over")
	for range 4 {
		time.Sleep(5 * time.Second)
		for _, n := range d.nodes {
			d.record.printf("platform: %s ready: %v, descriptors: %d of %d", n.name, n.ready(), n.descriptors(), d.maxFds)
		}
		report("after the burst")
	}
	// Long after the burst, the workers say that they leave.
	missed := 0
	for _, n := range d.nodes {
		if !n.worker.drain(ackTime) {
			missed++
			d.record.printf("Acks: worker %s has no acknowledgement of its leaving after %v", n.name, ackTime)
		}
	}
	close(stop)
	wg.Wait()
	d.record.printf("%d of %d workers that left have no acknowledgement (more than a fifth break the rule)", missed, len(d.nodes))
	return missed*5 <= len(d.nodes)
}

// drain reports that the worker leaves, again until it is acknowledged.
func (w *worker) drain(limit time.Duration) bool {
	w.mu.Lock()
	w.announces, w.state = false, "draining"
	w.mu.Unlock()
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		w.mu.Lock()
		w.sequence++
		body := w.body(w.sequence, w.state)
		w.mu.Unlock()
		status, err := w.call(http.MethodPut, body)
		w.n.d.record.printf("worker %s: heartbeat (draining): %d %v", w.n.name, status, err)
		if err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// fileLimit raises the number of files that this process may open as far as it may, and
// returns it.
func fileLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		cannotRun("%v", err)
	}
	l.Cur = l.Max
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		cannotRun("%v", err)
	}
	return int(min(l.Cur, 1<<20))
}
