package main

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// countPeriod is the time between two reads of the store's counts.
const countPeriod = 100 * time.Millisecond

// returnCommand measures the return of a zone whose nodes are gone.
type returnCommand struct {
	fleetOptions
	Gone  string `long:"gone" required:"true" description:"REGION/ZONE whose nodes are gone"`
	Ready string `long:"ready" required:"true" description:"file made when the zone's nodes are known to be gone"`
}

type returnResult struct {
	Nodes    int `json:"nodes"`
	Returned int `json:"returned"`
	// GoneMS is until all others count the zone's nodes as gone.
	GoneMS int64 `json:"gone_ms"`
	// KnownMS is until every node counts every node as alive again, from
	// before the processes are started.
	KnownMS    int64 `json:"known_ms"`
	StoreCalls int   `json:"store_calls"`
	// MostCallsPerS is over the worst second.
	MostCallsPerS int `json:"most_calls_per_s"`
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
	took, err := untilAll(ctx, rest, knows(len(rest)))
	if err != nil {
		return err
	}
	r.GoneMS = took.Milliseconds()
	if err := os.WriteFile(c.Ready, nil, 0o600); err != nil {
		return errors.Wrap(err, "tell that the zone is gone")
	}
	stop := make(chan struct{})
	totals := make(chan []int)
	go func() { totals <- c.count(ctx, stop) }()
	took, err = untilAll(ctx, nodes, knows(len(nodes)))
	close(stop)
	counts := <-totals
	if err != nil {
		return err
	}
	r.KnownMS = took.Milliseconds()
	r.StoreCalls = counts[len(counts)-1] - counts[0]
	const window = int(time.Second / countPeriod)
	for i := range counts {
		r.MostCallsPerS = max(r.MostCallsPerS, counts[i]-counts[max(0, i-window)])
	}
	return printLine(r)
}

// count returns the total of store calls at every count period until it is
// told to stop.
func (c *returnCommand) count(ctx context.Context, stop <-chan struct{}) []int {
	ticker := time.NewTicker(countPeriod)
	defer ticker.Stop()
	totals := []int{}
	for {
		if _, total, err := c.calls(ctx); err == nil {
			totals = append(totals, total)
		}
		select {
		case <-stop:
			if len(totals) > 0 {
				return totals
			}
		case <-ticker.C:
		}
	}
}
