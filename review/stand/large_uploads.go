package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// largeUploads plays clients that send uploads of the size that the configuration
// allows, beside clients that place orders over kept connections. The platform kills a
// process that exceeds its memory.
func largeUploads(d *deployment, trouble bool, uploads, size int) bool {
	const shop, studio = "order-desk", "cover-studio"
	d.configure(3, []string{shop, studio}, []route{
		{Name: "r-orders", Host: "orders.example", Prefix: "/orders/", Kind: "non_idempotent", TimeoutMS: 1000, TargetLatency: 400, Priority: 1, Service: shop, Attempts: 2},
		{Name: "r-covers", Host: "covers.example", Prefix: "/covers/", Kind: "upload", TimeoutMS: 1000, TargetLatency: 400, Priority: 1, Service: studio, Attempts: 2},
	})
	work := func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, "/orders/") {
			return 400 * time.Millisecond
		}
		return 110 * time.Millisecond
	}
	entry := d.addNode("downs-east", "downs", shop)
	d.addNode("downs-east", "downs", studio)
	d.addNode("downs-west", "downs", shop)
	d.addNode("downs-west", "downs", studio)
	for _, n := range d.nodes {
		n.start()
		n.startWorker(9, work)
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	stopMemory := d.limitMemory()

	stop := make(chan struct{})
	var wg sync.WaitGroup
	orders := &lostOrders{}
	for range 8 {
		wg.Add(1)
		go func() { defer wg.Done(); orders.keepOrdering(entry, stop) }()
	}
	time.Sleep(3 * time.Second)
	if !trouble {
		size = 60_000
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	for round := range 3 {
		var up sync.WaitGroup
		for range uploads {
			up.Add(1)
			go func() {
				defer up.Done()
				c, err := dialNode(entry)
				if err != nil {
					d.record.printf("client: no connection for an upload: %v", err)
					return
				}
				defer c.Close()
				id := newID()
				d.record.printf("client: sends %s (POST /covers/1, %d bytes) to %s", id, size, entry.name)
				if err := c.send(http.MethodPost, "covers.example", "/covers/1", id, time.Second, body); err != nil {
					d.record.printf("client: %s isn't written whole: %v", id, err)
				}
				d.record.printf("client: %s gets %v", id, c.read(http.MethodPost, 3*time.Second))
			}()
		}
		up.Wait()
		d.record.printf("round %d of uploads is over", round+1)
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wg.Wait()
	peaks := stopMemory()
	ends := 0
	for _, n := range d.nodes {
		d.record.printf("%s: highest anonymous memory %d MiB, limit %d MiB, killed for it %d times", n.name, peaks[n]>>20, d.memoryMB, n.ends)
		ends += n.ends
	}
	lost := orders.check(d)
	d.record.printf("%d requests were passed on from a kept connection to a sound worker and their connection was closed without an answer (more than 3 break LOST); processes killed for their memory: %d", lost, ends)
	return lost <= 3
}

// limitMemory kills each process whose memory exceeds the limit, as the platform does.
// The function that it returns ends that and returns the highest values.
func (d *deployment) limitMemory() func() map[*node]int {
	peaks := map[*node]int{}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			for _, n := range d.nodes {
				used := n.memory()
				peaks[n] = max(peaks[n], used)
				if used > d.memoryMB<<20 {
					n.mu.Lock()
					n.ends++
					_ = n.cmd.Process.Signal(syscall.SIGKILL)
					exited := n.exited
					n.mu.Unlock()
					d.record.printf("platform: %s is killed: its memory is %d MiB, the limit is %d MiB", n.name, used>>20, d.memoryMB)
					<-exited
				}
			}
		}
	}()
	return func() map[*node]int { close(stop); <-done; return peaks }
}

// lostOrders collects the orders whose connection was closed without an answer.
type lostOrders struct {
	mu  sync.Mutex
	ids []string
	// unknown counts the orders that were answered with a status that promises nothing.
	unknown int
}

// failedWithoutPromise returns the number of orders that failed and may have run.
func (l *lostOrders) failedWithoutPromise() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unknown + len(l.ids)
}

// keepOrdering sends one order after the other over a kept connection.
func (l *lostOrders) keepOrdering(entry *node, stop <-chan struct{}) {
	var c *conn
	answered := 0
	for {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dialNode(entry); err != nil {
				continue
			}
			answered = 0
		}
		id := newID()
		entry.d.record.printf("client: sends %s (POST /orders/1) to %s", id, entry.name)
		err := c.send(http.MethodPost, "orders.example", "/orders/1", id, time.Second, []byte("{}"))
		a := answer{err: err}
		if err == nil {
			a = c.read(http.MethodPost, 3*time.Second)
		}
		entry.d.record.printf("client: %s gets %v", id, a)
		if a.err != nil {
			if answered > 0 {
				l.mu.Lock()
				l.ids = append(l.ids, id)
				l.mu.Unlock()
			}
			c.Close()
			c = nil
			continue
		}
		answered++
		if a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
			l.mu.Lock()
			l.unknown++
			l.mu.Unlock()
		}
	}
}

// check returns the number of these orders that had reached a worker.
func (l *lostOrders) check(d *deployment) int {
	lost := 0
	for _, id := range l.ids {
		for _, n := range d.nodes {
			if x, ok := n.worker.runOf(id); ok {
				lost++
				d.record.printf("LOST: %s ran at worker %s since %.3f s, and its kept connection was closed without an answer", id, n.name, x.at.Seconds())
			}
		}
	}
	return lost
}
