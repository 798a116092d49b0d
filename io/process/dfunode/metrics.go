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

// adminText answers the metrics as text, a name and a number on each line.
func (n *Node) adminText(ctx *fasthttp.RequestCtx) {
	n.gauge()
	var lines []string
	n.metrics.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		}
	})
	for _, s := range n.times.Summaries() {
		lines = append(lines, timeLines(s)...)
	}
	slices.SortFunc(lines, cmp.Compare[string])
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(strings.Join(lines, "\n") + "\n")
}

func timeLines(s dfuhistogram.Summary) []string {
	return []string{
		fmt.Sprintf("%s.count %d", s.Name, s.Count),
		fmt.Sprintf("%s.p50_ms %d", s.Name, s.P50),
		fmt.Sprintf("%s.p90_ms %d", s.Name, s.P90),
		fmt.Sprintf("%s.p99_ms %d", s.Name, s.P99),
		fmt.Sprintf("%s.max_ms %d", s.Name, s.Most),
	}
}

// gauge brings the metrics up to date that are read rather than counted.
func (n *Node) gauge() {
	set := func(g metrics.Gauge, value int64) { g.Update(value) }
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	set(metrics.GetOrRegisterGauge("process.heap_bytes", n.metrics), int64(memory.HeapAlloc))
	set(metrics.GetOrRegisterGauge("process.memory_bytes", n.metrics), int64(memory.Sys))
	set(metrics.GetOrRegisterGauge("process.goroutines", n.metrics), int64(runtime.NumGoroutine()))
	set(metrics.GetOrRegisterGauge("log.dropped_lines", n.metrics), int64(n.lines.Dropped()))
	status := n.control.Status()
	set(metrics.GetOrRegisterGauge("control.records_age_ms", n.metrics), int64(status.Age))
	set(metrics.GetOrRegisterGauge("control.failed_calls", n.metrics), int64(status.FailedCalls))
	set(metrics.GetOrRegisterGauge("control.dropped", n.metrics), int64(status.InboxRefused+status.OutboxRefused))
	if routes := n.control.View().Routes(); routes != nil {
		set(metrics.GetOrRegisterGauge("control.routes_version", n.metrics), int64(routes.Version))
	}
	for state, count := range status.States {
		set(metrics.GetOrRegisterGauge("control.nodes."+string(state), n.metrics), int64(count))
	}
	if s := n.started.Load(); s != nil {
		load := s.gate.Status().Load
		set(metrics.GetOrRegisterGauge("gate.running", n.metrics), int64(load.InFlight))
		set(metrics.GetOrRegisterGauge("gate.waiting", n.metrics), int64(load.Queued))
		set(metrics.GetOrRegisterGauge("gate.slots", n.metrics), int64(load.Slots))
	}
}
