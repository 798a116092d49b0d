package main

import (
	"bytes"
	"context"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/measure/fleet"
	"dragonflyusher/platform"

	"github.com/cockroachdb/errors"
)

const (
	settleTime = 30 * time.Second
	restTime   = 20 * time.Second
	changes    = 5
	// changePause lets what a change has caused end.
	changePause = time.Second
)

// restCommand measures a fleet without requests.
type restCommand struct {
	fleetOptions
	StorePID int `long:"store-pid" required:"true" description:"process of the store stand-in"`
}

// restResult is what is printed. What is not of the store or the fleet is the
// mean over all nodes, and the most of a node.
type restResult struct {
	Nodes            int       `json:"nodes"`
	JoinedMS         int64     `json:"joined_ms"`
	CPUPercent       meanMost  `json:"cpu_percent"`
	ResidentKB       meanMost  `json:"resident_kb"`
	PrivateKB        meanMost  `json:"private_kb"`
	ReadBytesPerS    meanMost  `json:"read_bytes_per_s"`
	WrittenBytesPerS meanMost  `json:"written_bytes_per_s"`
	Files            meanMost  `json:"files"`
	Store            restStore `json:"store"`
	ChangeMS         meanMost  `json:"change_ms"`
}

type restStore struct {
	ToJoin calls `json:"to_join"`
	// Settling is from then until the fleet is taken to be at rest.
	Settling   calls   `json:"settling"`
	Resting    calls   `json:"resting"`
	CallsPerS  float64 `json:"calls_per_s"`
	CPUPercent float64 `json:"cpu_percent"`
	ResidentKB int     `json:"resident_kb"`
}

type meanMost struct {
	Mean float64 `json:"mean"`
	Most float64 `json:"most"`
}

// add takes in one of n values.
func (m *meanMost) add(value float64, n int) {
	m.Mean += value / float64(n)
	m.Most = max(m.Most, value)
}

// Execute measures and prints.
func (c *restCommand) Execute([]string) error {
	ctx := context.Background()
	nodes, err := c.read()
	if err != nil {
		return err
	}
	r := restResult{Nodes: len(nodes)}
	joined, err := untilAll(ctx, nodes, knows(len(nodes)))
	if err != nil {
		return err
	}
	r.JoinedMS = joined.Milliseconds()
	if r.Store.ToJoin, err = c.calls(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if err := c.rest(ctx, nodes, &r); err != nil {
		return err
	}
	for range changes {
		took, err := c.change(ctx, nodes)
		if err != nil {
			return err
		}
		r.ChangeMS.add(float64(took.Milliseconds()), changes)
		time.Sleep(changePause)
	}
	return printLine(r)
}

func (c *restCommand) rest(ctx context.Context, nodes []node, r *restResult) error {
	settled, err := c.calls(ctx)
	if err != nil {
		return err
	}
	r.Store.Settling = settled.minus(r.Store.ToJoin)
	before, err := c.usages(nodes)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(restTime)
	after, err := c.usages(nodes)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	later, err := c.calls(ctx)
	if err != nil {
		return err
	}
	r.Store.Resting = later.minus(settled)
	r.Store.CallsPerS = float64(r.Store.Resting.total()) / seconds
	store := len(nodes)
	r.Store.CPUPercent = (after[store].CPU - before[store].CPU).Seconds() / seconds * 100
	r.Store.ResidentKB = after[store].ResidentKB
	for i := range nodes {
		r.add(before[i], after[i], seconds)
	}
	return nil
}

// usages returns the usage of the nodes and last that of the store.
func (c *restCommand) usages(nodes []node) ([]fleet.Usage, error) {
	var usages []fleet.Usage
	for _, n := range append(nodes[:len(nodes):len(nodes)], node{pid: c.StorePID}) {
		u, err := fleet.ReadUsage(n.pid)
		if err != nil {
			return nil, err
		}
		usages = append(usages, u)
	}
	return usages, nil
}

func (r *restResult) add(before, after fleet.Usage, seconds float64) {
	n := r.Nodes
	r.CPUPercent.add((after.CPU-before.CPU).Seconds()/seconds*100, n)
	r.ResidentKB.add(float64(after.ResidentKB), n)
	r.PrivateKB.add(float64(after.PrivateKB), n)
	r.ReadBytesPerS.add(float64(after.ReadBytes-before.ReadBytes)/seconds, n)
	r.WrittenBytesPerS.add(float64(after.WrittenBytes-before.WrittenBytes)/seconds, n)
	r.Files.add(float64(after.Files), n)
}

// change writes the first entry anew and returns how long it takes until that
// is in force at every node.
func (c *restCommand) change(ctx context.Context, nodes []node) (time.Duration, error) {
	const service = dfuident.Service("service-0")
	store := dfuplatform.NewStore(dfuplatform.StoreConfig{Address: dfuident.Address(c.Store), Timeout: dfuclock.Second})
	defer store.Close()
	record, err := store.Get(ctx, dfustore.CatalogueKey(service))
	if err != nil {
		return 0, err
	}
	value := bytes.Replace(record.Value, []byte(`"measure`), []byte(`"measure-again`), 1)
	revision, err := store.CompareAndSwap(ctx, record.Key, record.Revision, value, 0)
	if err != nil {
		return 0, errors.Wrap(err, "change the entry")
	}
	return untilAll(ctx, nodes, func(p fleet.NodePage) bool { return p.View.Entries[service] >= revision })
}
