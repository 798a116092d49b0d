package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// arrivals is the traffic of a zone, in requests a second, each on a connection of
	// its own.
	arrivals    = 79.2
	arrivalTime = 58 * time.Second
	idleTimeout = 15 * time.Second
	recoverTime = 15 * time.Second
	ackTime     = 4 * time.Second
)

// idleConnections plays clients that open a new connection for each request and, with
// trouble, leave it to the system to close it at the idle timeout of the configuration.
// Later all these clients have gone, and the workers leave.
func idleConnections(d *deployment, trouble bool) bool {
	const service = "refill-catalogue"
	perNode := int(arrivals*arrivalTime.Seconds()) + 300
	used := min(2, fileLimit()/perNode)
	if used == 0 {
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
		n.startWorker(9, func(*http.Request) time.Duration { return 20 * time.Millisecond })
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)

	var served, failed, closedByNode atomic.Int64
	report := func(what string) {
		d.record.printf("clients, %s: %d requests served, %d failed, %d idle connections closed by the nodes, since the last line",
			what, served.Swap(0), failed.Swap(0), closedByNode.Swap(0))
		for _, n := range d.nodes {
			d.record.printf("platform: %s ready: %v, descriptors: %d of %d", n.name, n.ready(), n.descriptors(), d.maxFds)
		}
	}
	// ask sends one request on a new connection and returns the connection, or nil.
	ask := func(n *node) *conn {
		c, err := dialNode(n)
		if err != nil {
			failed.Add(1)
			return nil
		}
		a := answer{err: c.send(http.MethodGet, "prices.example", "/prices/1", newID(), 800*time.Millisecond, nil)}
		if a.err == nil {
			a = c.read(http.MethodGet, 2*time.Second)
		}
		if a.err != nil || a.status != http.StatusOK {
			failed.Add(1)
		} else {
			served.Add(1)
		}
		if a.err != nil {
			c.Close()
			return nil
		}
		return c
	}
	gone := make(chan struct{})
	var wg sync.WaitGroup
	client := func(n *node) {
		defer wg.Done()
		c := ask(n)
		if c == nil {
			return
		}
		defer c.Close()
		if !trouble {
			// It closes what it hasn't used for four fifths of the idle timeout.
			select {
			case <-gone:
			case <-time.After(idleTimeout * 4 / 5):
			}
			return
		}
		// It leaves the connection idle until the other end closes it.
		closed := make(chan struct{})
		go func() {
			_ = c.SetReadDeadline(time.Time{})
			_, _ = c.r.ReadByte()
			close(closed)
		}()
		select {
		case <-gone:
			c.Close()
			<-closed
		case <-closed:
			closedByNode.Add(1)
		}
	}
	began := time.Now()
	for i := 0; time.Since(began) < arrivalTime; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / arrivals * float64(time.Second)))))
		for _, n := range d.nodes[:used] {
			wg.Add(1)
			go client(n)
		}
		if i%int(10*arrivals) == 0 {
			go report("usual traffic")
		}
	}
	report("usual traffic")
	close(gone)
	wg.Wait()
	d.record.printf("all these clients have gone and have closed their connections")

	// Calm: a few clients that close their connections at once.
	calm := time.Now()
	counting := false
	for time.Since(calm) < recoverTime+4*time.Second {
		if !counting && time.Since(calm) >= recoverTime {
			counting = true
			report("calm, up to recoverS")
		}
		for _, n := range d.nodes {
			if c := ask(n); c != nil {
				c.Close()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	report("calm, later than recoverS")
	var missed atomic.Int64
	for _, n := range d.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !n.worker.drain(ackTime) {
				missed.Add(1)
				d.record.printf("Acks: worker %s has no acknowledgement of its leaving after %v", n.name, ackTime)
			}
		}()
	}
	wg.Wait()
	d.record.printf("%d of %d workers that left have no acknowledgement (more than a fifth break the rule)", missed.Load(), len(d.nodes))
	return int(missed.Load())*5 <= len(d.nodes)
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
