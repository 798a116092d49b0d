package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// crashingRequest plays a request that crashes each worker that begins to run it and that
// comes again, beside orders. Half of the nodes are killed at the same moment, a few times.
func crashingRequest(d *deployment, trouble bool) bool {
	const service, other = "order-desk", "refill-catalogue"
	const kills = 3
	d.configure(3, []string{service, other}, []route{{
		Name: "r-orders", Host: "orders.example", Prefix: "/orders/", Kind: "non_idempotent",
		TimeoutMS: 1000, TargetLatency: 400, Priority: 1, Service: service, Attempts: 2,
	}})
	entry := d.addNode("downs-east", "downs", other)
	a := d.addNode("downs-east", "downs", service)
	b := d.addNode("downs-west", "downs", service)
	for _, n := range []*node{entry, d.addNode("downs-west", "downs", other)} {
		n.start()
		n.startWorker(9, func(*http.Request) time.Duration { return 0 })
	}
	arrivals := &poison{}
	for _, n := range []*node{a, b} {
		n.start()
		n.startWorker(9, func(*http.Request) time.Duration { return 150 * time.Millisecond })
		n.worker.crashes = func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/poison") }
		n.worker.onCrash = func(id string) { arrivals.add(d.record.now(), n, id) }
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	lost := &lostOrders{}
	for range 6 {
		wg.Add(1)
		go func() { defer wg.Done(); lost.keepOrdering(entry, stop) }()
	}
	sent := map[string]time.Duration{}
	// sendPoison sends the request again and again and returns after the time, or when it
	// has crashed so many more workers.
	sendPoison := func(limit time.Duration, crashes int) {
		before := arrivals.count()
		for began := time.Now(); time.Since(began) < limit && arrivals.count()-before < crashes; {
			c, err := dialNode(entry)
			if err != nil {
				continue
			}
			id := newID()
			sent[id] = d.record.now()
			d.record.printf("client: sends %s (POST /orders/poison) to %s", id, entry.name)
			if err := c.send(http.MethodPost, "orders.example", "/orders/poison", id, time.Second, []byte("x")); err == nil {
				d.record.printf("client: %s gets %v", id, c.read(http.MethodPost, 2*time.Second))
			}
			c.Close()
			time.Sleep(400 * time.Millisecond)
		}
	}
	sendPoison(12*time.Second, 1<<30)
	d.record.printf("%d workers have been crashed so far; the request is refused now", arrivals.count())
	for range kills {
		if trouble {
			d.record.printf("platform: SIGKILL for %s and %s", a.name, b.name)
			a.signal(syscall.SIGKILL)
			b.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay + d.bounds.stability + 700*time.Millisecond)
		sendPoison(10*time.Second, 2)
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	wg.Wait()

	// Counted is what was sent later than stabilityWindowMs after the third crash, by
	// machines in touch, and reached a worker.
	late := 0
	for i, x := range arrivals.all {
		if i < 3 || sent[x.id] <= arrivals.all[2].at+d.bounds.stability || x.at < x.started+d.bounds.stability {
			continue
		}
		late++
		d.record.printf("BUDGET: %s, sent %.1f s after the third crash, reached worker %s and crashed it",
			x.id, (sent[x.id] - arrivals.all[2].at).Seconds(), x.n.name)
	}
	failed := lost.failedWithoutPromise()
	d.record.printf("the request crashed %d workers; %d of its retries count (more than 3 break BUDGET); %d orders beside it failed and may have run",
		arrivals.count(), late, failed)
	return late <= 3
}

// poison collects the runs of the crashing request.
type poison struct {
	mu  sync.Mutex
	all []poisonRun
}

type poisonRun struct {
	at time.Duration
	n  *node
	id string
	// started is when the node beside the worker had been started.
	started time.Duration
}

func (p *poison) add(at time.Duration, n *node, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, poisonRun{at, n, id, n.startedAt()})
}

func (p *poison) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}
