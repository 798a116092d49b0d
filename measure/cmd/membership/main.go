// Command membership measures the control machines of whole fleets on a
// virtual clock and prints one JSON line for each size: traffic in rest, and
// how long news takes to reach every node.
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
	// settleTime is enough for all nodes to know each other.
	settleTime = 30 * dfuclock.Second
	restTime   = 30 * dfuclock.Second
	// limit ends a wait for something that doesn't happen.
	limit = 2 * dfuclock.Minute
)

type options struct {
	Sizes  []int  `long:"nodes" description:"number of nodes, may be repeated"`
	Trials int    `long:"trials" default:"10" description:"announcements and records timed for each size"`
	Loss   int    `long:"loss" default:"0" description:"packets lost of a thousand"`
	Fanout int    `long:"fanout" default:"3" description:"members that a round of gossip goes to"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the random numbers"`
}

// result is what is printed for one size. Times are in virtual milliseconds.
type result struct {
	Nodes        int  `json:"nodes"`
	LossPerMille int  `json:"loss_per_mille"`
	Rest         rest `json:"rest"`
	// LeaveMaxMS and LeaveMeanMS are from an announcement of draining until
	// every view shows it.
	LeaveMaxMS  dfuclock.Duration `json:"leave_max_ms"`
	LeaveMeanMS dfuclock.Duration `json:"leave_mean_ms"`
	// RecordMaxMS is from a write in the store until it is in force everywhere.
	RecordMaxMS  dfuclock.Duration `json:"record_max_ms"`
	RecordMeanMS dfuclock.Duration `json:"record_mean_ms"`
	ZoneRestart  zoneRestart       `json:"zone_restart"`
	RegionCut    regionCut         `json:"region_cut"`
}

// rest is the traffic while nothing changes, for each node but for the link
// and the store, which are of the fleet.
type rest struct {
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
	// KnownMS is until every node knows the later run of every other.
	KnownMS dfuclock.Duration `json:"known_ms"`
	// PeakPackets is the most that one node sent in one second.
	PeakPackets int `json:"peak_packets"`
	LinkBytes   int `json:"link_bytes"`
	TotalMBytes int `json:"total_mbytes"`
	StoreCalls  int `json:"store_calls"`
}

type regionCut struct {
	JudgedMS      dfuclock.Duration `json:"judged_ms"`
	LinkBytesPerS float64           `json:"link_bytes_per_s"`
	Deaths        int               `json:"deaths"`
	// HealedMS is until every node sees the other region again, with what
	// had changed there meanwhile.
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
	r.Rest = measureRest(f, n)
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

func measureRest(f *dfufleet.Fleet, n int) rest {
	before, calls := total(f), f.StoreCalls()
	cpu := cpuTime()
	f.Run(restTime)
	used := cpuTime() - cpu
	sent := total(f)
	seconds := float64(restTime / dfuclock.Second)
	var oldest dfuclock.Duration
	for _, node := range f.Nodes() {
		oldest = max(oldest, node.Keeper.Exchange().Standing(f.Now()).Age)
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	perNode := 1 / seconds / float64(n)
	return rest{
		PacketsPerS:     float64(sent.Packets-before.Packets) * perNode,
		BytesPerS:       float64(sent.Bytes-before.Bytes) * perNode,
		LinkBytesPerS:   float64(sent.LinkBytes-before.LinkBytes) / seconds,
		StoreCallsPerS:  float64(f.StoreCalls()-calls) / seconds,
		CPUMicrosPerS:   float64(used.Microseconds()) * perNode,
		OldestCopyMS:    oldest,
		HeapKBytesANode: int(mem.HeapAlloc) / n / 1024,
	}
}

func measureLeave(f *dfufleet.Fleet, n, trials int) (mean, most dfuclock.Duration) {
	return repeat(f, trials, func(trial int) func() bool {
		id := nodeID(trial * 7 % n)
		target := f.Node(id).Keeper.Membership().Self().Details.Target
		target.Draining = true
		f.Announce(id, dfuroster.Announced{Target: target})
		return everywhere(f, func(v *dfuroster.View) bool {
			seen, ok := v.Node(id)
			return ok && seen.State == dfuroster.Draining
		})
	})
}

func measureRecords(f *dfufleet.Fleet, trials int) (mean, most dfuclock.Duration) {
	return repeat(f, trials, func(trial int) func() bool {
		service := dfuident.Service(fmt.Sprintf("service-%03d", trial))
		revision := f.Put("catalogue/"+string(service),
			[]byte(`{"change_id":"c","entry":{"service":"`+string(service)+`","owner":"stock"}}`))
		return everywhere(f, func(v *dfuroster.View) bool {
			_, inForce, ok := v.Entry(service)
			return ok && inForce >= revision
		})
	})
}

func repeat(f *dfufleet.Fleet, trials int, begin func(trial int) func() bool) (mean, most dfuclock.Duration) {
	var sum dfuclock.Duration
	for trial := range trials {
		start := f.Now()
		f.RunUntil(limit, begin(trial))
		took := f.Now().Sub(start)
		sum += took
		most = max(most, took)
		f.Run(3 * dfuclock.Second)
	}
	return sum / dfuclock.Duration(trials), most
}

// measureRestart restarts all nodes of one zone at once.
func measureRestart(f *dfufleet.Fleet) zoneRestart {
	before, calls := total(f), f.StoreCalls()
	var r zoneRestart
	for i, node := range f.Nodes() {
		if node.Place == placeOf(0) {
			f.Add(node.Member.Node, node.Place, targetOf(i))
			r.Restarted++
		}
	}
	start := f.Now()
	known := everywhere(f, func(v *dfuroster.View) bool { return knowsAll(f, v) })
	for f.Now().Sub(start) < limit {
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
	sent := total(f)
	r.LinkBytes = sent.LinkBytes - before.LinkBytes
	r.TotalMBytes = (sent.Bytes - before.Bytes) >> 20
	r.StoreCalls = f.StoreCalls() - calls
	return r
}

func knowsAll(f *dfufleet.Fleet, v *dfuroster.View) bool {
	for _, node := range f.Nodes() {
		seen, ok := v.Node(node.Member.Node)
		if !ok || seen.Member != node.Member || (seen.State != dfuroster.Alive && seen.State != dfuroster.Draining) {
			return false
		}
	}
	return true
}

// measureCut cuts the regions from each other for a minute.
func measureCut(f *dfufleet.Fleet) regionCut {
	var r regionCut
	start := f.Now()
	f.SetCut("region-0", "region-1", true)
	f.RunUntil(limit, everyNode(f, func(node *dfufleet.Node, v *dfuroster.View) bool {
		return countStates(node, v, dfuroster.Unreachable) > 0
	}))
	r.JudgedMS = f.Now().Sub(start)
	before := total(f)
	f.Run(dfuclock.Minute)
	r.LinkBytesPerS = float64(total(f).LinkBytes-before.LinkBytes) / float64(dfuclock.Minute/dfuclock.Second)
	f.Announce(nodeID(1), dfuroster.Announced{Target: dfumembership.Target{Service: "moved", Slots: 1}})
	f.Run(5 * dfuclock.Second)
	for _, node := range f.Nodes() {
		r.Deaths += countStates(node, node.Keeper.View(), dfuroster.Dead)
	}
	before, start = total(f), f.Now()
	f.SetCut("region-0", "region-1", false)
	f.RunUntil(limit, everywhere(f, func(v *dfuroster.View) bool {
		seen, _ := v.Node(nodeID(1))
		return knowsAll(f, v) && seen.Service == "moved"
	}))
	r.HealedMS = f.Now().Sub(start)
	r.HealedLinkBytes = total(f).LinkBytes - before.LinkBytes
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

// everywhere returns a condition that holds once it holds for every view. A
// view that met it isn't looked at again.
func everywhere(f *dfufleet.Fleet, holds func(v *dfuroster.View) bool) func() bool {
	return everyNode(f, func(_ *dfufleet.Node, v *dfuroster.View) bool { return holds(v) })
}

func everyNode(f *dfufleet.Fleet, holds func(n *dfufleet.Node, v *dfuroster.View) bool) func() bool {
	pending := append([]*dfufleet.Node(nil), f.Nodes()...)
	return func() bool {
		for len(pending) > 0 {
			if !holds(pending[0], pending[0].Keeper.View()) {
				return false
			}
			pending = pending[1:]
		}
		return true
	}
}

func total(f *dfufleet.Fleet) dfufleet.Traffic {
	var sum dfufleet.Traffic
	for _, node := range f.Nodes() {
		sum.Packets += node.Sent.Packets
		sum.Bytes += node.Sent.Bytes
		sum.LinkPackets += node.Sent.LinkPackets
		sum.LinkBytes += node.Sent.LinkBytes
	}
	return sum
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
