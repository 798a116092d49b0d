package main

import (
	"context"
	"time"
)

// The case "backlog": the answers of workers that have to pass the link between two regions.
// The figures are those of recetas-solidarias-grown: the link, the smallest machine, and the
// rate, the work, the deadline, the timeout, the slots and the largest answer of downloads.
const (
	backlogRate     = 52
	backlogDeadline = 6 * time.Second
	// backlogCalm is the time before the loss of the zone, and backlogLength that after it.
	backlogCalm   = 5 * time.Second
	backlogLength = 90 * time.Second
	// restartDelay is the delay after which the platform starts an ended process again.
	restartDelay = 300 * time.Millisecond
	// faultMachines and faultEnds are the limits of the rule Fault: the least number of
	// machines, and how often their processes end.
	faultMachines = 2
	faultEnds     = 3
)

func backlogDeployment() regions {
	return regions{
		linkMbps: 60, memoryMB: 184, machineMbps: 200, services: []string{"records", "images"}, westWorkers: 1, kind: "download",
		timeout: 3 * time.Second, latency: 2 * time.Second,
		worker: workerConfig{slots: 18, queue: 36, work: 230 * time.Millisecond, answerBytes: 540_000, beat: 1500 * time.Millisecond},
	}
}

// memoryGuard is the stand-in of the platform that kills processes above their memory.
type memoryGuard struct {
	fleet *regionFleet
	// ends counts the ends of processes by machine.
	ends map[string]int
}

// check kills and restarts the processes that exceed their memory.
func (g *memoryGuard) check(ctx context.Context) error {
	for _, n := range g.fleet.nodes {
		if g.fleet.lost && n.zone == lostZone {
			continue
		}
		used := n.privateMB()
		if used <= n.memoryMB {
			continue
		}
		n.kill()
		g.ends[n.name]++
		g.fleet.record.say("process of %s had %d MiB, more than its %d; killed for the %d. time", n.name, used, n.memoryMB, g.ends[n.name])
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(restartDelay):
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// isFault reports whether processes have ended often enough for the rule Fault.
func (g *memoryGuard) isFault() bool {
	machines := 0
	for _, ends := range g.ends {
		if ends >= faultEnds {
			machines++
		}
	}
	return machines >= faultMachines
}

// playBacklog plays a region that loses the zone with its own workers of two services.
func playBacklog(ctx context.Context, r *record, root string, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := backlogDeployment().start(ctx, r, root)
	if err != nil {
		return false, err
	}
	defer f.close()
	c := newClients(r, f.nodes[0].ip+portOutbound, backlogDeadline)
	guard := &memoryGuard{fleet: f, ends: map[string]int{}}
	served := 0
	ticker := time.NewTicker(time.Second / backlogRate)
	defer ticker.Stop()
	for i, began := 0, time.Now(); time.Since(began) < backlogCalm+backlogLength && !guard.isFault(); i++ {
		select {
		case <-ctx.Done():
			return guard.isFault(), nil
		case <-ticker.C:
		}
		if trouble && !f.lost && time.Since(began) > backlogCalm {
			served = c.served()
			f.loseZone()
		}
		c.send(ctx, "GET", []string{"/records/", "/images/"}[i%2]+"x", 0)
		if i%5 == 0 {
			if err := guard.check(ctx); err != nil {
				return guard.isFault(), nil
			}
		}
		if i%(5*backlogRate) == 0 {
			r.say("results %s, memory in MiB %s", c.summary(), f.memory())
		}
	}
	r.say("results %s, answered since the loss: %d, memory in MiB %s", c.summary(), c.served()-served, f.memory())
	return guard.isFault(), nil
}
