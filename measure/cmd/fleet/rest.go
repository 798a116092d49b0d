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
	idleTime   = 20 * time.Second
	changes    = 5
	// changePause is the time allowed for the effects of a change to end.
	changePause = time.Second
)

// restCommand measures an idle fleet.
type restCommand struct {
	fleetOptions
	StorePID int `long:"store-pid" required:"true" description:"process of the store stand-in"`
}

// restResult is the output. Usage values are the mean and maximum over the nodes,
// ChangeMS those over the changes.
type restResult struct {
	Nodes            int       `json:"nodes"`
	JoinedMS         int64     `json:"joined_ms"`
	CPUPercent       meanMax   `json:"cpu_percent"`
	ResidentKB       meanMax   `json:"resident_kb"`
	PrivateKB        meanMax   `json:"private_kb"`
	ReadBytesPerS    meanMax   `json:"read_bytes_per_s"`
	WrittenBytesPerS meanMax   `json:"written_bytes_per_s"`
	Files            meanMax   `json:"files"`
	Store            restStore `json:"store"`
	ChangeMS         meanMax   `json:"change_ms"`
}

type restStore struct {
	ToJoin calls `json:"to_join"`
	// Settling counts the calls from the join of the last node until settleTime
	// has passed.
	Settling   calls   `json:"settling"`
	Resting    calls   `json:"resting"`
	CallsPerS  float64 `json:"calls_per_s"`
	CPUPercent float64 `json:"cpu_percent"`
	ResidentKB int     `json:"resident_kb"`
}

type meanMax struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"most"`
}

// add adds one of n values.
func (m *meanMax) add(value float64, n int) {
	m.Mean += value / float64(n)
	m.Max = max(m.Max, value)
}

// Execute implements flags.Commander.
func (c *restCommand) Execute([]string) error {
	ctx := context.Background()
	nodes, err := c.read()
	if err != nil {
		return err
	}
	r := restResult{Nodes: len(nodes)}
	joined, err := waitForAll(ctx, nodes, countsAlive(len(nodes)))
	if err != nil {
		return err
	}
	r.JoinedMS = joined.Milliseconds()
	if r.Store.ToJoin, err = c.calls(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if err := c.measureIdle(ctx, nodes, &r); err != nil {
		return err
	}
	for range changes {
		elapsed, err := c.change(ctx, nodes)
		if err != nil {
			return err
		}
		r.ChangeMS.add(float64(elapsed.Milliseconds()), changes)
		time.Sleep(changePause)
	}
	return printLine(r)
}

func (c *restCommand) measureIdle(ctx context.Context, nodes []node, r *restResult) error {
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
	time.Sleep(idleTime)
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

// usages returns the usage of the nodes, followed by that of the store.
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

// change updates the first catalogue entry and returns the time until the update is in
// force on every node.
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
		return 0, errors.Wrap(err, "update catalogue entry")
	}
	return waitForAll(ctx, nodes, func(s fleet.NodeStatus) bool { return s.View.Entries[service] >= revision })
}
