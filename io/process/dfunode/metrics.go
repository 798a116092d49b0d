package dfunode

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"strings"

	"dragonflyusher/core/process/dfuhistogram"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// adminMetricsText writes the metrics as plain text, one name and number per line.
func (n *Node) adminMetricsText(ctx *fasthttp.RequestCtx) {
	n.updateGauges()
	n.updateWorkspaceMetrics()
	var lines []string
	n.metrics.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		}
	})
	for _, s := range n.histograms.Summaries() {
		lines = append(lines, histogramLines(s)...)
	}
	slices.SortFunc(lines, cmp.Compare[string])
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(strings.Join(lines, "\n") + "\n")
}

// updateWorkspaceMetrics sets the metrics of workspaces.
func (n *Node) updateWorkspaceMetrics() {
	if c := n.components.Load(); c != nil {
		c.dispatcher.UpdateMetrics()
	}
}

func histogramLines(s dfuhistogram.Summary) []string {
	return []string{
		fmt.Sprintf("%s.count %d", s.Name, s.Count),
		fmt.Sprintf("%s.p50_ms %d", s.Name, s.P50),
		fmt.Sprintf("%s.p90_ms %d", s.Name, s.P90),
		fmt.Sprintf("%s.p99_ms %d", s.Name, s.P99),
		fmt.Sprintf("%s.max_ms %d", s.Name, s.Most),
	}
}

// milli is the factor of gauges that count thousandths.
const milli = 1000

// updateGauges sets the gauges from the current state of the process, the control
// plane and the gate.
func (n *Node) updateGauges() {
	set := func(g metrics.Gauge, value int64) { g.Update(value) }
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	set(metrics.GetOrRegisterGauge("process.heap_bytes", n.metrics), int64(memory.HeapAlloc))
	set(metrics.GetOrRegisterGauge("process.memory_bytes", n.metrics), int64(memory.Sys))
	set(metrics.GetOrRegisterGauge("process.goroutines", n.metrics), int64(runtime.NumGoroutine()))
	set(metrics.GetOrRegisterGauge("log.dropped_lines", n.metrics), int64(n.logOutput.Dropped()))
	bodies, waiting := n.bodies.Used()
	set(metrics.GetOrRegisterGauge("bodies.bytes", n.metrics), int64(bodies))
	set(metrics.GetOrRegisterGauge("bodies.waiting", n.metrics), int64(waiting))
	status := n.control.Status()
	set(metrics.GetOrRegisterGauge("control.records_age_ms", n.metrics), int64(status.Age))
	if n.proofBound() > 0 {
		set(metrics.GetOrRegisterGauge("control.proof_age_ms", n.metrics), int64(status.ProofAge))
		set(metrics.GetOrRegisterGauge("control.proven", n.metrics), boolGauge(status.Proven))
	}
	set(metrics.GetOrRegisterGauge("control.joined", n.metrics), boolGauge(status.Joined))
	set(metrics.GetOrRegisterGauge("control.watching_ms", n.metrics), int64(status.WatchingFor))
	set(metrics.GetOrRegisterGauge("control.missed_answers", n.metrics), int64(status.MissedAnswers))
	set(metrics.GetOrRegisterGauge("control.failed_calls", n.metrics), int64(status.FailedCalls))
	set(metrics.GetOrRegisterGauge("control.dropped", n.metrics), int64(status.InboxRefused+status.OutboxRefused))
	set(metrics.GetOrRegisterGauge("control.fetch_timeouts", n.metrics), int64(status.Exchange.FetchTimeouts))
	set(metrics.GetOrRegisterGauge("control.received_bytes", n.metrics), int64(status.Exchange.ReceivedBytes))
	set(metrics.GetOrRegisterGauge("control.redundant_bytes", n.metrics), int64(status.Exchange.RedundantBytes))
	if routes := n.control.View().Routes(); routes != nil {
		set(metrics.GetOrRegisterGauge("control.routes_version", n.metrics), int64(routes.Version))
	}
	set(metrics.GetOrRegisterGauge("control.routes_unreadable", n.metrics), int64(len(status.Unreadable)))
	set(metrics.GetOrRegisterGauge("control.records_rejected", n.metrics), int64(status.Rejected))
	set(metrics.GetOrRegisterGauge("control.store_era", n.metrics), int64(status.StoreEra))
	set(metrics.GetOrRegisterGauge("control.records_dropped", n.metrics), int64(status.Dropped))
	set(metrics.GetOrRegisterGauge("control.zones_evacuated", n.metrics), n.zonesEvacuated())
	for state, count := range status.States {
		set(metrics.GetOrRegisterGauge("control.nodes."+string(state), n.metrics), int64(count))
	}
	if c := n.components.Load(); c != nil {
		load := c.gate.Status().Load
		set(metrics.GetOrRegisterGauge("gate.running", n.metrics), int64(load.InFlight))
		set(metrics.GetOrRegisterGauge("gate.waiting", n.metrics), int64(load.Queued))
		set(metrics.GetOrRegisterGauge("gate.slots", n.metrics), int64(load.Slots))
		set(metrics.GetOrRegisterGauge("gate.banned", n.metrics), int64(c.gate.Status().Banned))
		set(metrics.GetOrRegisterGauge("gate.target_cold_ms", n.metrics), int64(c.gate.Status().ColdFor))
		set(metrics.GetOrRegisterGauge("gate.target_limit_milli", n.metrics), int64(c.gate.Status().TargetLimit*milli))
	}
}

// boolGauge returns 1 for true.
func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
