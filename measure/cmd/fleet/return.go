package main

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// countPeriod is the time between two reads of the store's call counts.
	countPeriod = 100 * time.Millisecond
	// countAfterTime is how long store calls are counted after a transition,
	// because claims move only after the nodes have been unchanged for a while.
	countAfterTime = 30 * time.Second
)

// returnCommand measures the loss of a zone's nodes and their return.
type returnCommand struct {
	fleetOptions
	Gone  string `long:"gone" required:"true" description:"REGION/ZONE whose nodes are gone"`
	Ready string `long:"ready" required:"true" description:"file to create once the other nodes no longer count the zone's nodes as alive"`
}

type returnResult struct {
	Nodes    int        `json:"nodes"`
	Returned int        `json:"returned"`
	Gone     transition `json:"gone"`
	Back     transition `json:"back"`
}

// transition measures the time until every live node counts the expected number of
// nodes as alive, and countAfterTime after that.
type transition struct {
	KnownMS int64 `json:"known_ms"`
	// Store counts the calls during the transition and countAfterTime. MaxPerS is
	// the maximum in one second.
	Store   calls `json:"store"`
	MaxPerS int   `json:"most_per_s"`
}

// Execute implements flags.Commander.
func (c *returnCommand) Execute([]string) error {
	ctx := context.Background()
	nodes, err := c.read()
	if err != nil {
		return err
	}
	remaining := slices.DeleteFunc(slices.Clone(nodes), func(n node) bool { return n.place == c.Gone })
	r := returnResult{Nodes: len(nodes), Returned: len(nodes) - len(remaining)}
	if r.Gone, err = c.measure(ctx, remaining); err != nil {
		return err
	}
	if err := os.WriteFile(c.Ready, nil, 0o600); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	if r.Back, err = c.measure(ctx, nodes); err != nil {
		return err
	}
	return printLine(r)
}

// measure waits until every node counts len(nodes) nodes as alive, and counts the store
// calls until countAfterTime later.
func (c *returnCommand) measure(ctx context.Context, nodes []node) (transition, error) {
	stop := make(chan struct{})
	counted := make(chan []calls)
	go func() { counted <- c.count(ctx, stop) }()
	elapsed, err := waitForAll(ctx, nodes, countsAlive(len(nodes)))
	if err == nil {
		time.Sleep(countAfterTime)
	}
	close(stop)
	counts := <-counted
	if err != nil {
		return transition{}, err
	}
	if len(counts) == 0 {
		return transition{}, errors.New("no store call counts could be read")
	}
	t := transition{KnownMS: elapsed.Milliseconds(), Store: counts[len(counts)-1].minus(counts[0])}
	const window = int(time.Second / countPeriod)
	for i := range counts {
		t.MaxPerS = max(t.MaxPerS, counts[i].total()-counts[max(0, i-window)].total())
	}
	return t, nil
}

// count reads the store's call counts every countPeriod until stop is closed.
func (c *returnCommand) count(ctx context.Context, stop <-chan struct{}) []calls {
	ticker := time.NewTicker(countPeriod)
	defer ticker.Stop()
	var counts []calls
	for {
		if now, err := c.calls(ctx); err == nil {
			counts = append(counts, now)
		}
		select {
		case <-stop:
			return counts
		case <-ticker.C:
		}
	}
}
