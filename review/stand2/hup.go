package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// The case "hup": the settings change at the moment at which a process starts. The figures are
// those of pilzgarten-mesh-grown.
const (
	hupMachines = 5
	hupMemoryMB = 184
	hupLinkMbps = 200
	// hupShare is the share of the machines whose settings change, the largest of the site.
	hupShare = 0.6
	// hupSettle is how long a process has to live after the signal.
	hupSettle = 2 * time.Second
)

// playHup starts the nodes. The settings of some machines change when their process has just
// started, and again each time when the platform has started it again.
func playHup(ctx context.Context, r *record, root string, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var machines []machine
	for i := range hupMachines {
		machines = append(machines, machine{fmt.Sprintf("lager-%d", i+1), "lager", "sued", "sued-a", hupMemoryMB, hupLinkMbps})
	}
	f, err := newFleet(ctx, r, root, machines, nil)
	if err != nil {
		return false, err
	}
	defer f.close()
	route := map[string]any{
		"name": "stock", "host": "shop.example", "prefix": "/stock/", "kind": "idempotent", "service": "lager",
		"timeout_ms": 1200, "target_latency_ms": 800, "priority": 1, "attempts": 2,
	}
	services := []map[string]any{{"name": "lager", "health_path": "/health", "max_connections": 1040}}
	err = f.put(names["config"], map[string]any{"version": 1, "routes": []map[string]any{route}, "services": services, "limits": map[string]any{}})
	if err != nil {
		return false, err
	}
	ends := map[string]int{}
	for round := range faultEnds {
		for i, n := range f.nodes {
			signaled := i < int(hupShare*hupMachines)
			if round > 0 && !signaled {
				continue
			}
			if err := n.restartWithChange(ends, trouble && signaled); err != nil {
				return false, err
			}
		}
	}
	if err := f.startEnded(); err != nil {
		return false, err
	}
	r.say("processes that ended by themselves, by machine: %v", ends)
	machinesWithFault := 0
	for _, count := range ends {
		if count >= faultEnds {
			machinesWithFault++
		}
	}
	if machinesWithFault >= faultMachines {
		return true, nil
	}
	return false, f.awaitReadiness()
}

// restartWithChange starts the node's process unless it runs. If the settings change, it gets
// SIGHUP at once, and has to live on. Otherwise the platform starts it again after a delay.
func (n *node) restartWithChange(ends map[string]int, change bool) error {
	if n.cmd == nil || n.hasEnded() {
		if err := n.start(); err != nil {
			return err
		}
	}
	if !change {
		return nil
	}
	n.mu.Lock()
	n.fleet.record.say("SIGHUP to %s", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGHUP)
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		ends[n.name]++
		time.Sleep(restartDelay)
		return nil
	case <-time.After(hupSettle):
		return nil
	}
}

// startEnded starts the processes that have ended.
func (f *fleet) startEnded() error {
	for _, n := range f.nodes {
		if !n.hasEnded() {
			continue
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) hasEnded() bool {
	_, ended := n.process()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}
