package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// longRequest plays uploads that clients send while their node stops, within their
// deadline and the time that the node has for its stop.
func longRequest(d *deployment, trouble bool) bool {
	const here, studio = "lager", "befund"
	const deadline, work = 3000 * time.Millisecond, 2300 * time.Millisecond
	d.bounds.drain, d.bounds.retrySlack = 3*time.Second, 192
	d.configure(3, []string{here, studio}, []route{{
		Name: "r-photos", Host: "photos.example", Prefix: "/photos/", Kind: "upload",
		TimeoutMS: 3000, TargetLatency: 1200, Priority: 1, Service: studio, Attempts: 2,
	}})
	entry := d.addNode("sued-a", "sued", here)
	d.addNode("sued-b", "sued", studio)
	d.addNode("nord-a", "nord", studio)
	for _, n := range d.nodes {
		n.start()
		n.startWorker(12, func(*http.Request) time.Duration { return work })
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); entry.pollReadiness(stop) }()

	terminated := d.record.now()
	if trouble {
		d.record.printf("platform: SIGTERM for %s", entry.name)
		entry.mu.Lock()
		entry.wantsDown = true
		_ = entry.cmd.Process.Signal(syscall.SIGTERM)
		exited := entry.exited
		entry.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			select {
			case <-exited:
				d.record.printf("platform: %s ended by itself", entry.name)
			case <-time.After(d.bounds.grace):
				d.record.printf("platform: SIGKILL for %s", entry.name)
				entry.signal(syscall.SIGKILL)
				<-exited
			}
			time.Sleep(restartDelay)
			entry.mu.Lock()
			entry.wantsDown = false
			entry.mu.Unlock()
			entry.start()
		}()
	}
	// The machine is the only one of its zone, so that its clients stay. They send one
	// upload after the other, each on a connection of its own.
	var mu sync.Mutex
	var lost []string
	var clients sync.WaitGroup
	for sentAt := 100 * time.Millisecond; sentAt < 3600*time.Millisecond; sentAt += 200 * time.Millisecond {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(sentAt - (d.record.now() - terminated))
			c, err := dialNode(entry)
			if err != nil {
				d.record.printf("client: no connection: %v", err)
				return
			}
			defer c.Close()
			id := newID()
			began := d.record.now()
			d.record.printf("client: sends %s (POST /photos/1), %.3f s after the SIGTERM", id, (began - terminated).Seconds())
			if err := c.send(http.MethodPost, "photos.example", "/photos/1", id, deadline, make([]byte, 8000)); err != nil {
				d.record.printf("client: %s isn't written whole: %v", id, err)
				return
			}
			whole := d.record.now()
			a := c.read(http.MethodPost, deadline+time.Second)
			end := d.record.now()
			d.record.printf("client: %s gets %v, after %.3f s", id, a, (end - began).Seconds())
			x, ran := d.runOf(id)
			atWork := ran && (x.ended == 0 || x.ended >= end-20*time.Millisecond)
			excused := end-began >= deadline || // the deadline was reached
				(atWork && end-terminated >= d.bounds.grace*5/6 && whole-terminated <= 3*time.Second)
			own := a.err == nil && a.header.Get(names["seal"]) == "" && atWork
			if trouble && ran && (a.err != nil || own) && !excused {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, id)
				d.record.printf("LOST: %s was sent %.3f s after the SIGTERM, passed on, and cut %.3f s after the SIGTERM, %.3f s before its deadline, with its worker at work",
					id, (whole - terminated).Seconds(), (end - terminated).Seconds(), (began + deadline - end).Seconds())
			}
			if !trouble && a.status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, id)
				d.record.printf("%s isn't served although nothing was disrupted", id)
			}
		}()
	}
	clients.Wait()
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	d.record.printf("%d requests were lost", len(lost))
	return len(lost) == 0
}

// runOf returns the run of a request at any worker.
func (d *deployment) runOf(id string) (run, bool) {
	for _, n := range d.nodes {
		if x, ok := n.worker.runOf(id); ok {
			return x, true
		}
	}
	return run{}, false
}

// pollReadiness asks for the readiness once a second, as the platform does.
func (n *node) pollReadiness(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
			n.d.record.printf("platform: %s ready: %v", n.name, n.ready())
		}
	}
}
