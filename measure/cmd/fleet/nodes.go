package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/measure/fleet"

	"github.com/cockroachdb/errors"
)

const (
	// concurrentReads is the number of pages read concurrently.
	concurrentReads = 8
	pollPeriod      = 50 * time.Millisecond
	waitLimit       = 90 * time.Second
)

// fleetOptions locates the nodes and the store.
type fleetOptions struct {
	Nodes string `long:"nodes" required:"true" description:"file with a line 'PID HTTP-ADDRESS REGION/ZONE' for each node"`
	Store string `long:"store" required:"true" description:"address of the store stand-in"`
}

type node struct {
	pid     int
	address string
	place   string
}

func (o *fleetOptions) read() ([]node, error) {
	text, err := os.ReadFile(o.Nodes)
	if err != nil {
		return nil, errors.Wrap(err, "read nodes")
	}
	var nodes []node
	for line := range strings.Lines(string(text)) {
		var n node
		if _, err := fmt.Sscan(line, &n.pid, &n.address, &n.place); err != nil {
			return nil, errors.Wrap(err, "read nodes")
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// calls counts store calls by kind.
type calls struct {
	Gets    int `json:"gets"`
	Lists   int `json:"lists"`
	Watches int `json:"watches"`
	Writes  int `json:"writes"`
}

func (c calls) total() int {
	return c.Gets + c.Lists + c.Watches + c.Writes
}

func (c calls) minus(d calls) calls {
	return calls{
		Gets:    c.Gets - d.Gets,
		Lists:   c.Lists - d.Lists,
		Watches: c.Watches - d.Watches,
		Writes:  c.Writes - d.Writes,
	}
}

// calls returns the number of store calls so far.
func (o *fleetOptions) calls(ctx context.Context) (calls, error) {
	c, err := fleet.ReadStoreCalls(ctx, o.Store)
	return calls{
		Gets:    int(c.Get),
		Lists:   int(c.List),
		Watches: int(c.Watch),
		Writes:  int(c.Commit + c.Lease),
	}, err
}

// waitForAll waits until a condition is true for the pages of all nodes and returns the
// time that took. Pages that have met it are not read again.
func waitForAll(ctx context.Context, nodes []node, condition func(fleet.NodeStatus) bool) (time.Duration, error) {
	start := time.Now()
	for len(nodes) > 0 {
		nodes = pendingNodes(ctx, nodes, condition)
		if time.Since(start) > waitLimit {
			return 0, errors.Newf("timed out waiting for %d nodes; the first is %s", len(nodes), nodes[0].address)
		}
		if len(nodes) > 0 {
			time.Sleep(pollPeriod)
		}
	}
	return time.Since(start), nil
}

func pendingNodes(ctx context.Context, nodes []node, condition func(fleet.NodeStatus) bool) []node {
	var (
		wg      sync.WaitGroup
		next    = make(chan node)
		mu      sync.Mutex
		pending []node
	)
	for range concurrentReads {
		wg.Go(func() {
			for n := range next {
				status, err := fleet.ReadNodeStatus(ctx, n.address)
				if err == nil && condition(status) {
					continue
				}
				mu.Lock()
				pending = append(pending, n)
				mu.Unlock()
			}
		})
	}
	for _, n := range nodes {
		next <- n
	}
	close(next)
	wg.Wait()
	return pending
}

// countsAlive returns the condition that a node's view has n nodes alive.
func countsAlive(n int) func(fleet.NodeStatus) bool {
	return func(s fleet.NodeStatus) bool {
		return s.Control.States[dfuroster.Alive] == n
	}
}

func printLine(v any) error {
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(v), "print")
}
