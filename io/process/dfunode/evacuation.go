package dfunode

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/version/dfuroster"

	"go.uber.org/zap"
)

// evacuationState is what the gate has been informed of.
type evacuationState struct {
	known  bool
	active bool
	// viewVersion is the latest view that was applied.
	viewVersion uint64
}

// evacuates reports whether operators can evacuate zones. Only the store of a platform with
// routes holds such records.
func (n *Node) evacuates() bool {
	return n.adapters.Routed && n.settings.Evacuation.Bound > 0
}

// zonesEvacuated returns the number of evacuated zones.
func (n *Node) zonesEvacuated() int64 {
	count := int64(0)
	for _, e := range n.control.View().Evacuations() {
		count += boolGauge(e.Active)
	}
	return count
}

// setEvacuation informs the gate whether the node's zone is evacuated. Until the node has a
// complete copy of the records, an evacuation may be in force of which it has no record.
func (t *localTarget) setEvacuation(view *dfuroster.View, zone dfuident.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, active := &t.evacuation, view.IsEvacuated(zone)
	if view.Version() < s.viewVersion || !view.Synced() && !active {
		return
	}
	s.viewVersion = view.Version()
	if s.known && s.active == active {
		return
	}
	if active || s.active {
		t.log.Info("evacuation changed", zap.String("zone", string(zone)), zap.Bool("active", active))
	}
	s.known, s.active = true, active
	t.gate.Notify(dfugate.EvacuationChanged{Active: active})
}
