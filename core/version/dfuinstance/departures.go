package dfuinstance

import "slices"

// Departures holds the latest runs of the target that have stated that they are leaving.
// The zero value is ready to use.
type Departures struct {
	runs []Run
}

// Add records a run and reports whether it was not recorded yet. A run without an
// instance is not recorded, since it can't be distinguished from the runs after it.
func (d *Departures) Add(run Run) bool {
	if run.Instance == "" || d.Contains(run) {
		return false
	}
	if len(d.runs) == maxDeparted {
		d.runs = slices.Delete(d.runs, 0, 1)
	}
	d.runs = append(d.runs, run)
	return true
}

// Contains reports whether a run is recorded.
func (d *Departures) Contains(run Run) bool {
	return slices.Contains(d.runs, run)
}
