package main

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// countPeriod is the time between two reads of the store's counts.
	countPeriod = 100 * time.Millisecond
	// afterTime is how long the store's calls are counted after a change,
	// for claims move when the nodes have been unchanged for a while.
	afterTime = 30 * time.Second
)

// returnCommand measures the return of a zone whose nodes are gone.
type returnCommand struct {
	fleetOptions
	Gone  string `long:"gone" required:"true" description:"REGION/ZONE whose nodes are gone"`
	Ready string `long:"ready" required:"true" description:"file made when the zone's nodes are known to be gone"`
}

type returnResult struct {
	Nodes    int        `json:"nodes"`
	Returned int        `json:"returned"`
	Gone     transition `json:"gone"`
	Back     transition `json:"back"`
}

// transition is what happens until every node that lives counts the same nodes
// as alive, and in the time after.
type transition struct {
	KnownMS int64 `json:"known_ms"`
	// Store counts calls until the end of the time after, MostPerS those of
	// the worst second.
	Store    calls `json:"store"`
	MostPerS int   `json:"most_per_s"`
}

// Execute measures and prints.
func (c *returnCommand) Execute([]string) error {
	ctx := context.Background()
	nodes, err := c.read()
	if err != nil {
		return err
	}
	rest := slices.DeleteFunc(slices.Clone(nodes), func(n node) bool { return n.place == c.Gone })
	r := returnResult{Nodes: len(nodes), Returned: len(nodes) - len(rest)}
	if r.Gone, err = c.measure(ctx, rest); err != nil {
		return err
	}
	if err := os.WriteFile(c.Ready, nil, 0o600); err != nil {
		return errors.Wrap(err, "tell that the zone is gone")
	}
	if r.Back, err = c.measure(ctx, nodes); err != nil {
		return err
	}
	return printLine(r)
}

// measure waits until the nodes know each other as alive and nobody else.
func (c *returnCommand) measure(ctx context.Context, nodes []node) (transition, error) {
	stop := make(chan struct{})
	counted := make(chan []calls)
	go func() { counted <- c.count(ctx, stop) }()
	took, err := untilAll(ctx, nodes, knows(len(nodes)))
	if err == nil {
		time.Sleep(afterTime)
	}
	close(stop)
	counts := <-counted
	if err != nil {
		return transition{}, err
	}
	if len(counts) == 0 {
		return transition{}, errors.New("the store's counts can't be read")
	}
	t := transition{KnownMS: took.Milliseconds(), Store: counts[len(counts)-1].minus(counts[0])}
	const window = int(time.Second / countPeriod)
	for i := range counts {
		t.MostPerS = max(t.MostPerS, counts[i].total()-counts[max(0, i-window)].total())
	}
	return t, nil
}

// count returns the store's calls at every count period until it is told to
// stop.
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
