package main

import (
	"context"
	"time"
)

// The case "uploads": uploads that have to pass the link between two regions. The figures are
// those of pilzgarten-mesh: the links, the machines, and the work, the deadline, the slots and
// the largest body of its uploads, and the timeout of a route with that deadline.
const (
	uploadsRate      = 25
	uploadsBodyBytes = 360_000
	uploadsDeadline  = 2 * time.Second
	// uploadsCalm is the time before the loss of the zone, and uploadsLength that after it.
	uploadsCalm   = 5 * time.Second
	uploadsLength = 75 * time.Second
	// stabilityWindow is the time after a disruption from which the rule is checked, although
	// the machine of the clients isn't disturbed.
	stabilityWindow = 3 * time.Second
)

func uploadsDeployment() regions {
	return regions{
		linkMbps: 30, memoryMB: 284, machineMbps: 1000, services: []string{"photos"}, westWorkers: 3, kind: "upload",
		timeout: 1200 * time.Millisecond, latency: 800 * time.Millisecond,
		worker: workerConfig{slots: 12, queue: 24, work: 260 * time.Millisecond, answerBytes: 400, beat: 1500 * time.Millisecond},
	}
}

// playUploads plays a region that loses the zone with its own worker. The rule is broken if
// more than half of the requests that are unanswered at the route's timeout have no answer
// half a second later.
func playUploads(ctx context.Context, r *record, root string, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := uploadsDeployment()
	f, err := d.start(ctx, r, root)
	if err != nil {
		return false, err
	}
	defer f.close()
	c := newClients(r, f.nodes[0].ip+portOutbound, uploadsDeadline)
	served := 0
	began := time.Now()
	since := began
	ticker := time.NewTicker(time.Second / uploadsRate)
	defer ticker.Stop()
	for i := 0; time.Since(began) < uploadsCalm+uploadsLength; i++ {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-ticker.C:
		}
		if trouble && !f.lost && time.Since(began) > uploadsCalm {
			served = c.served()
			f.loseZone()
			since = time.Now().Add(stabilityWindow)
		}
		c.send(ctx, "POST", "/photos/x", uploadsBodyBytes)
		if i%(5*uploadsRate) == 0 {
			r.say("results %s, memory in MiB %s", c.summary(), f.memory())
		}
	}
	c.wg.Wait()
	unanswered, late := c.late(since, d.timeout)
	r.say("results %s, answered with success since the loss: %d", c.summary(), c.served()-served)
	r.say("unanswered at the timeout: %d, without an answer half a second later: %d", unanswered, late)
	return 2*late > unanswered, nil
}
