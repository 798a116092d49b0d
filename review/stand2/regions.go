package main

import (
	"context"
	"strconv"
	"time"
)

// lostZone is the availability zone that is lost. It holds the workers of the region east.
const lostZone = "east-b"

// regions is a deployment of two regions. The clients are on the machine front in the region
// east. Each service has a worker in lostZone and further ones in the region west.
type regions struct {
	// linkMbps is the capacity of the link between the regions in each direction.
	linkMbps float64
	// memoryMB and machineMbps are the memory and the capacity of the own link of a machine.
	memoryMB    int
	machineMbps int
	services    []string
	// westWorkers is the number of workers of each service in the region west.
	westWorkers int
	// kind and timeout are those of all routes.
	kind    string
	timeout time.Duration
	// latency is the target latency of all routes.
	latency time.Duration
	worker  workerConfig
}

// regionFleet is a running deployment of two regions.
type regionFleet struct {
	*fleet
	workers map[string]*worker
	// lost is set once the machines of lostZone are removed.
	lost bool
}

// start starts the deployment and waits until it serves.
func (d regions) start(ctx context.Context, r *record, root string) (*regionFleet, error) {
	machines := []machine{{"front", "portal", "east", "east-a", d.memoryMB, d.machineMbps}}
	for _, service := range d.services {
		machines = append(machines, machine{service + "-east", service, "east", lostZone, d.memoryMB, d.machineMbps})
	}
	for _, service := range d.services {
		for i := range d.westWorkers {
			name := service + "-west-" + strconv.Itoa(i+1)
			machines = append(machines, machine{name, service, "west", "west-a", d.memoryMB, d.machineMbps})
		}
	}
	f, err := newFleet(ctx, r, root, machines, map[string]any{"advertise": true})
	if err != nil {
		return nil, err
	}
	rf := &regionFleet{fleet: f, workers: map[string]*worker{}}
	if err := rf.startParts(ctx, d); err != nil {
		f.close()
		return nil, err
	}
	return rf, nil
}

// startParts writes the configuration, starts the links, the workers and the nodes, and waits
// until the nodes are ready and serve.
func (f *regionFleet) startParts(ctx context.Context, d regions) error {
	if err := f.put(names["config"], d.config()); err != nil {
		return err
	}
	const bytesPerMbps = 1e6 / 8
	toWest, toEast := &rate{bytesPerSecond: d.linkMbps * bytesPerMbps}, &rate{bytesPerSecond: d.linkMbps * bytesPerMbps}
	region := map[string]string{}
	for _, n := range f.nodes {
		region[n.ip] = n.region
	}
	for _, n := range f.nodes {
		err := startRelay(ctx, n.ip+portRelay, n.ip+portPeer, func(from string) (to, back *rate) {
			switch {
			case region[from] == n.region:
				return nil, nil
			case n.region == "west":
				return toWest, toEast
			default:
				return toEast, toWest
			}
		})
		if err != nil {
			return err
		}
		cfg := d.worker
		cfg.service, cfg.address, cfg.control = n.service, n.ip+portTarget, n.ip+portControl
		if f.workers[n.name], err = newWorker(ctx, cfg, f.record); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return f.awaitService(ctx, d)
}

// awaitService waits until all nodes are ready and all services are served at the front.
func (f *regionFleet) awaitService(ctx context.Context, d regions) error {
	if err := f.awaitReadiness(); err != nil {
		return err
	}
	probe := newClients(f.record, f.nodes[0].ip+portOutbound, time.Second)
	return f.await("service", 20*time.Second, func() bool {
		for _, service := range d.services {
			if probe.exchange(ctx, "probe", "GET", "/"+service+"/x", 0) != "200" {
				return false
			}
		}
		return true
	})
}

// config returns the operators' configuration.
func (d regions) config() map[string]any {
	var routes, services []map[string]any
	for _, service := range d.services {
		routes = append(routes, map[string]any{
			"name": service, "host": "shop.example", "prefix": "/" + service + "/", "kind": d.kind, "service": service,
			"timeout_ms": d.timeout.Milliseconds(), "target_latency_ms": d.latency.Milliseconds(), "priority": 1, "attempts": 2,
		})
		services = append(services, map[string]any{"name": service, "health_path": "/health", "max_connections": 860})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// loseZone removes the machines of lostZone for good.
func (f *regionFleet) loseZone() {
	f.lost = true
	f.record.say("the machines of zone %s are lost for good", lostZone)
	for _, n := range f.nodes {
		if n.zone == lostZone {
			f.workers[n.name].crash()
			n.kill()
		}
	}
}
