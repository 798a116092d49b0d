package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroster"
)

const (
	coreServices = 120
	viewChanges  = 2000
	choices      = 200000
	// warmUpAnswers is the number of answers recorded for each target before
	// choices are timed.
	warmUpAnswers = 4
)

// coreCommand measures the memory and CPU time of one node's view and chooser.
type coreCommand struct {
	Sizes []int `long:"size" default:"100" default:"300" default:"890" description:"number of nodes, may be repeated"`
}

type coreResult struct {
	Nodes int `json:"nodes"`
	// ViewKB is the size of a view. ViewChangeNS is the time to apply a change of
	// one node to it.
	ViewKB       int   `json:"view_kb"`
	ViewChangeNS int64 `json:"view_change_ns"`
	ChooserKB    int   `json:"chooser_kb"`
	ChooseNS     int64 `json:"choose_ns"`
	// LargestNS is the time of a choice among a third of the nodes.
	LargestNS int64 `json:"choose_largest_ns"`
}

// Execute implements flags.Commander.
func (c *coreCommand) Execute([]string) error {
	for _, n := range c.Sizes {
		if err := printLine(measureCore(n)); err != nil {
			return err
		}
	}
	return nil
}

func measureCore(n int) coreResult {
	r := coreResult{Nodes: n}
	nodes := make([]dfuroster.Node, n)
	for i := range nodes {
		nodes[i] = coreNode(i)
	}
	before := heapBytes()
	view := dfuroster.New().Apply(dfuroster.Change{Nodes: nodes})
	r.ViewKB = (heapBytes() - before) / 1024
	start := time.Now()
	for i := range viewChanges {
		nodes[i%n].Slots++
		view = view.Apply(dfuroster.Change{Nodes: nodes[i%n : i%n+1]})
	}
	r.ViewChangeNS = time.Since(start).Nanoseconds() / viewChanges
	before = heapBytes()
	chooser := newChooser(view.Nodes())
	r.ChooserKB = (heapBytes() - before) / 1024
	r.ChooseNS = timeChoices(chooser, func(i int) dfuident.Service { return coreService(i % min(n, coreServices)) })
	r.LargestNS = timeChoices(chooser, func(int) dfuident.Service { return "largest" })
	runtime.KeepAlive(view)
	return r
}

func coreNode(i int) dfuroster.Node {
	n := dfuroster.Node{
		Place:   corePlace(i),
		Peer:    dfuident.Address(fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250)),
		HTTP:    dfuident.Address(fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250)),
		Service: coreService(i % coreServices), Slots: 12, State: dfuroster.Alive,
	}
	n.Member = dfuident.Member{Node: dfuident.NodeID(fmt.Sprintf("vm-%04d", i)), Incarnation: 1}
	return n
}

func corePlace(i int) dfuident.Place {
	const regions, zones = 2, 6
	return dfuident.Place{
		Region: dfuident.Region(fmt.Sprintf("region-%d", i%regions)),
		Zone:   dfuident.Zone(fmt.Sprintf("zone-%d", i%zones)),
	}
}

func coreService(i int) dfuident.Service {
	return dfuident.Service(fmt.Sprintf("service-%03d", i))
}

// newChooser returns a chooser with all targets and feedback for each of them. It has
// one more service, "largest", with a third of the nodes.
func newChooser(nodes []dfuroster.Node) *dfuchoice.Chooser {
	c := dfuchoice.New(dfuchoice.DefaultSettings(), rand.New(rand.NewPCG(1, 0)))
	targets := make(map[dfuident.Service][]dfuchoice.Target)
	const share = 3
	for i, n := range nodes {
		t := dfuchoice.Target{Member: n.Member, Place: n.Place, Slots: n.Slots}
		targets[n.Service] = append(targets[n.Service], t)
		if i%share == 0 {
			t.Member.Node += "-largest"
			targets["largest"] = append(targets["largest"], t)
		}
	}
	for service, list := range targets {
		c.SetTargets(0, service, list)
		for _, t := range list {
			for range warmUpAnswers {
				recordAnswer(c, t.Member)
			}
		}
	}
	return c
}

func recordAnswer(c *dfuchoice.Chooser, member dfuident.Member) {
	c.RecordSent(1, member)
	c.RecordOutcome(2, dfuchoice.Feedback{Node: member, Kind: dfuchoice.FeedbackAnswered, Latency: 5})
}

// timeChoices returns the mean time in nanoseconds of one choice and its feedback.
func timeChoices(c *dfuchoice.Chooser, service func(i int) dfuident.Service) int64 {
	start := time.Now()
	for i := range choices {
		q := dfuchoice.Query{Service: service(i), From: corePlace(0), Remaining: dfuclock.Second, Idempotent: true}
		if choice, ok := c.Choose(2, q); ok {
			recordAnswer(c, choice.Member)
		}
	}
	return time.Since(start).Nanoseconds() / choices
}

func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
