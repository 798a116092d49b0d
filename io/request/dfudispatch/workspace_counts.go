package dfudispatch

import (
	"net/url"
	"sync"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfutally"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfufront"

	"github.com/rcrowley/go-metrics"
)

// workspaceHalfLife is the time in which a request loses half of its weight for the choice
// of the largest workspaces. A workspace that was large for a day makes room within hours.
const workspaceHalfLife = 600 * dfuclock.Second

// The kinds of results by which requests of workspaces are counted.
const (
	countAnswered = iota
	countUnknown
	countKeyRejected
	countRoutesStale
	countQuotaExceeded
	countQuotaUnknown
	countNoRoom
	countOther
)

// countNames holds the names of the kinds in metrics.
var countNames = [...]string{
	countAnswered:      "answered",
	countUnknown:       "unknown",
	countKeyRejected:   string(dfuoutcome.ReasonKeyRejected),
	countRoutesStale:   string(dfuoutcome.ReasonRoutesStale),
	countQuotaExceeded: string(dfuoutcome.ReasonQuotaExceeded),
	countQuotaUnknown:  string(dfuoutcome.ReasonQuotaUnknown),
	countNoRoom:        "no_room",
	countOther:         "other",
}

// workspaceCounts counts the requests of the largest workspaces at this node, of the others
// together, and of none.
type workspaceCounts struct {
	mu    sync.Mutex
	tally *dfutally.Tally[dfuident.Workspace]
	none  [len(countNames)]uint64

	// metricsMu is held while the metrics are set, which requests don't wait for.
	metricsMu sync.Mutex
	// registered holds the names of the metrics.
	registered map[string]bool
}

func newWorkspaceCounts(size int) *workspaceCounts {
	return &workspaceCounts{tally: dfutally.New[dfuident.Workspace](size, len(countNames), workspaceHalfLife)}
}

// countOf returns the kind of a result.
func countOf(r dfufront.Result) int {
	switch r.Outcome {
	case dfuoutcome.Answered:
		return countAnswered
	case dfuoutcome.Unknown:
		return countUnknown
	}
	switch r.Reason {
	case dfuoutcome.ReasonKeyRejected:
		return countKeyRejected
	case dfuoutcome.ReasonRoutesStale:
		return countRoutesStale
	case dfuoutcome.ReasonQuotaExceeded:
		return countQuotaExceeded
	case dfuoutcome.ReasonQuotaUnknown:
		return countQuotaUnknown
	default:
		if r.Reason.IsNoRoom() {
			return countNoRoom
		}
		return countOther
	}
}

// countWorkspace counts a result if the routes have workspaces.
func (d *Dispatcher) countWorkspace(name dfuident.Workspace, result dfufront.Result) {
	if !d.hasWorkspaces() {
		return
	}
	c := d.workspaces
	c.mu.Lock()
	defer c.mu.Unlock()
	if name == "" {
		c.none[countOf(result)]++
		return
	}
	c.tally.Add(d.deps.Clock.Now(), name, countOf(result))
}

func (d *Dispatcher) hasWorkspaces() bool {
	table := d.view.Load().Routes()
	return table != nil && table.HasWorkspaces()
}

// UpdateMetrics sets the metrics of workspaces, and removes those of workspaces that are no
// longer among the largest, or all if the routes have no workspaces. The others stay, since
// another page may show them at the same time.
func (d *Dispatcher) UpdateMetrics() {
	c := d.workspaces
	c.metricsMu.Lock()
	defer c.metricsMu.Unlock()
	current := make(map[string]bool)
	if d.hasWorkspaces() {
		c.setMetrics(d.deps.Metrics, current)
	}
	for name := range c.registered {
		if !current[name] {
			d.deps.Metrics.Unregister(name)
		}
	}
	c.registered = current
}

// setMetrics sets the metrics of workspaces and adds their names to current.
func (c *workspaceCounts) setMetrics(r metrics.Registry, current map[string]bool) {
	c.mu.Lock()
	largest, rest := c.tally.Series()
	none := c.none
	c.mu.Unlock()
	set := func(name string, registered any, value uint64) {
		counter := registered.(metrics.Counter)
		counter.Inc(int64(value) - counter.Count())
		current[name] = true
	}
	for kind, count := range countNames {
		set("no_workspace."+count, r.GetOrRegister("no_workspace."+count, counterAt(none[kind])), none[kind])
		set("other_workspaces."+count, r.GetOrRegister("other_workspaces."+count, counterAt(rest[kind])), rest[kind])
		for _, s := range largest {
			// A name may hold any characters, also those that separate metrics.
			suffix := count + "." + url.PathEscape(string(s.Key))
			set("workspace."+suffix, r.GetOrRegister("workspace."+suffix, counterAt(s.Counts[kind])), s.Counts[kind])
		}
	}
}

// counterAt returns a counter with a value, so that no page shows a new one at zero.
func counterAt(value uint64) metrics.Counter {
	counter := metrics.NewCounter()
	counter.Inc(int64(value))
	return counter
}
