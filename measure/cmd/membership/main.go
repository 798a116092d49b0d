// Command membership measures the membership and record state machines of whole fleets
// on a virtual clock. It prints one JSON line for each fleet size with the traffic of
// an idle fleet and the time that changes take to reach every node.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/measure/dfufleet"

	"github.com/jessevdk/go-flags"
)

const (
	regions = 2
	// zones is the number of availability zones in each region.
	zones = 3
	// settleTime is long enough for all nodes to learn the whole membership.
	settleTime = 30 * dfuclock.Second
	idleTime   = 30 * dfuclock.Second
	// conditionTimeout bounds the wait for a condition.
	conditionTimeout = 2 * dfuclock.Minute
)

type options struct {
	Sizes  []int  `long:"nodes" description:"number of nodes, may be repeated"`
	Trials int    `long:"trials" default:"10" description:"announcements and records timed for each size"`
	Loss   int    `long:"loss" default:"0" description:"packets lost of a thousand"`
	Fanout int    `long:"fanout" default:"3" description:"members that a round of gossip goes to"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the random numbers"`
}

// result is the output for one fleet size. Times are in virtual milliseconds.
type result struct {
	Nodes        int         `json:"nodes"`
	LossPerMille int         `json:"loss_per_mille"`
	Rest         idleTraffic `json:"rest"`
	// LeaveMaxMS and LeaveMeanMS are the time from the announcement that a target
	// drains until every view shows it.
	LeaveMaxMS  dfuclock.Duration `json:"leave_max_ms"`
	LeaveMeanMS dfuclock.Duration `json:"leave_mean_ms"`
	// RecordMaxMS and RecordMeanMS are the time from a write to the store until
	// the record is in force on every node.
	RecordMaxMS  dfuclock.Duration `json:"record_max_ms"`
	RecordMeanMS dfuclock.Duration `json:"record_mean_ms"`
	ZoneRestart  zoneRestart       `json:"zone_restart"`
	RegionCut    regionCut         `json:"region_cut"`
}

// idleTraffic is the traffic of a fleet without changes. Values are per node, except
// those of the link and the store, which are for the whole fleet.
type idleTraffic struct {
	PacketsPerS     float64           `json:"packets_per_s"`
	BytesPerS       float64           `json:"bytes_per_s"`
	LinkBytesPerS   float64           `json:"link_bytes_per_s"`
	StoreCallsPerS  float64           `json:"store_calls_per_s"`
	CPUMicrosPerS   float64           `json:"cpu_us_per_s"`
	OldestCopyMS    dfuclock.Duration `json:"oldest_copy_ms"`
	HeapKBytesANode int               `json:"heap_kb_a_node"`
}

type zoneRestart struct {
	Restarted int `json:"restarted"`
	// KnownMS is the time until every node has the new incarnation of every other.
	KnownMS dfuclock.Duration `json:"known_ms"`
	// PeakPackets is the maximum number of packets that one node sent in one
	// second.
	PeakPackets int `json:"peak_packets"`
	LinkBytes   int `json:"link_bytes"`
	TotalMBytes int `json:"total_mbytes"`
	StoreCalls  int `json:"store_calls"`
}

type regionCut struct {
	DetectedMS    dfuclock.Duration `json:"judged_ms"`
	LinkBytesPerS float64           `json:"link_bytes_per_s"`
	Deaths        int               `json:"deaths"`
	// HealedMS is the time until every view shows the other region again,
	// including a change made there during the cut.
	HealedMS        dfuclock.Duration `json:"healed_ms"`
	HealedLinkBytes int               `json:"healed_link_bytes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if len(opts.Sizes) == 0 {
		opts.Sizes = []int{100, 300, 890}
	}
	out := json.NewEncoder(os.Stdout)
	for _, n := range opts.Sizes {
		if err := out.Encode(measure(n, opts)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func measure(n int, opts options) result {
	cfg := dfufleet.DefaultConfig()
	cfg.Seed = opts.Seed
	cfg.LossPerMille = opts.Loss
	cfg.CountBytes = true
	cfg.Membership.GossipFanout = opts.Fanout
	f := dfufleet.New(cfg)
	f.SetStoreRegion("region-0")
	for i := range n {
		f.Add(nodeID(i), placeOf(i), targetOf(i))
		f.Run(dfuclock.Millisecond)
	}
	f.Run(settleTime)
	r := result{Nodes: n, LossPerMille: opts.Loss}
	r.Rest = measureIdle(f, n)
	r.LeaveMeanMS, r.LeaveMaxMS = measureLeave(f, n, opts.Trials)
	r.RecordMeanMS, r.RecordMaxMS = measureRecords(f, opts.Trials)
	r.ZoneRestart = measureRestart(f)
	f.Run(settleTime)
	r.RegionCut = measureCut(f)
	return r
}

func nodeID(i int) dfuident.NodeID {
	return dfuident.NodeID(fmt.Sprintf("vm-%04d", i))
}

func placeOf(i int) dfuident.Place {
	region := i % regions
	zone := i / regions % zones
	return dfuident.Place{
		Region: dfuident.Region(fmt.Sprintf("region-%d", region)),
		Zone:   dfuident.Zone(fmt.Sprintf("zone-%d%c", region, 'a'+zone)),
	}
}

func targetOf(i int) dfumembership.Target {
	const services = 120
	return dfumembership.Target{Service: dfuident.Service(fmt.Sprintf("service-%03d", i%services)), Slots: 12}
}

func measureIdle(f *dfufleet.Fleet, n int) idleTraffic {
	before, calls := totalTraffic(f), f.StoreCalls()
	cpu := cpuTime()
	f.Run(idleTime)
	used := cpuTime() - cpu
	sent := totalTraffic(f)
	seconds := float64(idleTime / dfuclock.Second)
	var oldest dfuclock.Duration
	for _, node := range f.Nodes() {
		oldest = max(oldest, node.Keeper.Exchange().Standing(f.Now()).Age)
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	perNode := 1 / seconds / float64(n)
	return idleTraffic{
		PacketsPerS:     float64(sent.Packets-before.Packets) * perNode,
		BytesPerS:       float64(sent.Bytes-before.Bytes) * perNode,
		LinkBytesPerS:   float64(sent.LinkBytes-before.LinkBytes) / seconds,
		StoreCallsPerS:  float64(f.StoreCalls()-calls) / seconds,
		CPUMicrosPerS:   float64(used.Microseconds()) * perNode,
		OldestCopyMS:    oldest,
		HeapKBytesANode: int(mem.HeapAlloc) / n / 1024,
	}
}

func measureLeave(f *dfufleet.Fleet, n, trials int) (mean, longest dfuclock.Duration) {
	return repeat(f, trials, func(trial int) func() bool {
		id := nodeID(trial * 7 % n)
		target := f.Node(id).Keeper.Membership().Self().Details.Target
		target.Draining = true
		f.Announce(id, dfuroster.Announced{Target: target})
		return allViews(f, func(v *dfuroster.View) bool {
			seen, ok := v.Node(id)
			return ok && seen.State == dfuroster.Draining
		})
	})
}

func measureRecords(f *dfufleet.Fleet, trials int) (mean, longest dfuclock.Duration) {
	return repeat(f, trials, func(trial int) func() bool {
		service := dfuident.Service(fmt.Sprintf("service-%03d", trial))
		revision := f.Put("catalogue/"+string(service),
			[]byte(`{"change_id":"c","entry":{"service":"`+string(service)+`","owner":"stock"}}`))
		return allViews(f, func(v *dfuroster.View) bool {
			_, inForce, ok := v.Entry(service)
			return ok && inForce >= revision
		})
	})
}

func repeat(f *dfufleet.Fleet, trials int, begin func(trial int) func() bool) (mean, longest dfuclock.Duration) {
	var sum dfuclock.Duration
	for trial := range trials {
		start := f.Now()
		f.RunUntil(conditionTimeout, begin(trial))
		elapsed := f.Now().Sub(start)
		sum += elapsed
		longest = max(longest, elapsed)
		f.Run(3 * dfuclock.Second)
	}
	return sum / dfuclock.Duration(trials), longest
}

// measureRestart restarts all nodes of one zone at once.
func measureRestart(f *dfufleet.Fleet) zoneRestart {
	before, calls := totalTraffic(f), f.StoreCalls()
	var r zoneRestart
	for i, node := range f.Nodes() {
		if node.Place == placeOf(0) {
			f.Add(node.Member.Node, node.Place, targetOf(i))
			r.Restarted++
		}
	}
	start := f.Now()
	known := allViews(f, func(v *dfuroster.View) bool { return seesAllAlive(f, v) })
	for f.Now().Sub(start) < conditionTimeout {
		sent := make(map[dfuident.NodeID]int)
		for _, node := range f.Nodes() {
			sent[node.Member.Node] = node.Sent.Packets
		}
		done := f.RunUntil(dfuclock.Second, known)
		for _, node := range f.Nodes() {
			r.PeakPackets = max(r.PeakPackets, node.Sent.Packets-sent[node.Member.Node])
		}
		if done {
			break
		}
	}
	r.KnownMS = f.Now().Sub(start)
	sent := totalTraffic(f)
	r.LinkBytes = sent.LinkBytes - before.LinkBytes
	r.TotalMBytes = (sent.Bytes - before.Bytes) >> 20
	r.StoreCalls = f.StoreCalls() - calls
	return r
}

func seesAllAlive(f *dfufleet.Fleet, v *dfuroster.View) bool {
	for _, node := range f.Nodes() {
		seen, ok := v.Node(node.Member.Node)
		if !ok || seen.Member != node.Member || (seen.State != dfuroster.Alive && seen.State != dfuroster.Draining) {
			return false
		}
	}
	return true
}

// measureCut breaks the link between the regions until every node has reported an
// unreachable node or conditionTimeout has passed, and for 65 s more, then restores it.
func measureCut(f *dfufleet.Fleet) regionCut {
	var r regionCut
	start := f.Now()
	f.SetLinkDown("region-0", "region-1", true)
	f.RunUntil(conditionTimeout, allNodes(f, func(node *dfufleet.Node, v *dfuroster.View) bool {
		return countStates(node, v, dfuroster.Unreachable) > 0
	}))
	r.DetectedMS = f.Now().Sub(start)
	before := totalTraffic(f)
	f.Run(dfuclock.Minute)
	r.LinkBytesPerS = float64(totalTraffic(f).LinkBytes-before.LinkBytes) / float64(dfuclock.Minute/dfuclock.Second)
	f.Announce(nodeID(1), dfuroster.Announced{Target: dfumembership.Target{Service: "moved", Slots: 1}})
	f.Run(5 * dfuclock.Second)
	for _, node := range f.Nodes() {
		r.Deaths += countStates(node, node.Keeper.View(), dfuroster.Dead)
	}
	before, start = totalTraffic(f), f.Now()
	f.SetLinkDown("region-0", "region-1", false)
	f.RunUntil(conditionTimeout, allViews(f, func(v *dfuroster.View) bool {
		seen, _ := v.Node(nodeID(1))
		return seesAllAlive(f, v) && seen.Service == "moved"
	}))
	r.HealedMS = f.Now().Sub(start)
	r.HealedLinkBytes = totalTraffic(f).LinkBytes - before.LinkBytes
	return r
}

func countStates(_ *dfufleet.Node, v *dfuroster.View, state dfuroster.State) int {
	count := 0
	for _, seen := range v.Nodes() {
		if seen.State == state {
			count++
		}
	}
	return count
}

// allViews returns a condition that is true once condition has been true for every
// view. Views that have met it are not checked again.
func allViews(f *dfufleet.Fleet, condition func(v *dfuroster.View) bool) func() bool {
	return allNodes(f, func(_ *dfufleet.Node, v *dfuroster.View) bool { return condition(v) })
}

func allNodes(f *dfufleet.Fleet, condition func(n *dfufleet.Node, v *dfuroster.View) bool) func() bool {
	pending := append([]*dfufleet.Node(nil), f.Nodes()...)
	return func() bool {
		for len(pending) > 0 {
			if !condition(pending[0], pending[0].Keeper.View()) {
				return false
			}
			pending = pending[1:]
		}
		return true
	}
}

func totalTraffic(f *dfufleet.Fleet) dfufleet.Traffic {
	var sum dfufleet.Traffic
	for _, node := range f.Nodes() {
		sum.Packets += node.Sent.Packets
		sum.Bytes += node.Sent.Bytes
		sum.LinkPackets += node.Sent.LinkPackets
		sum.LinkBytes += node.Sent.LinkBytes
	}
	return sum
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
