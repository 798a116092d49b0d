package dfunode

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"

	"go.uber.org/zap"
)

// coldLimit returns what a target of a service tolerates while it is cold. It returns the
// zero value if that isn't limited or not known yet.
func (n *Node) coldLimit(service dfuident.Service) dfugate.ColdLimit {
	s, ok := n.control.View().Routes().Service(service)
	if !ok {
		return dfugate.ColdLimit{}
	}
	cold := n.settings.Cold
	return dfugate.NewColdLimit(dfugate.Rate(s.ColdRate), cold.Overage, cold.Tolerance, s.ColdStart.Duration())
}

// updateColdLimit passes the limit to the gate if the target is present.
func (t *localTarget) updateColdLimit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.present {
		t.gate.Notify(dfugate.ColdLimitChanged{Limit: t.coldLimit(t.current.Service)})
	}
}

// advertiseCold advertises that the target has become cold or is no longer, if only its
// health checks show it.
func (t *localTarget) advertiseCold() {
	coldFor := t.gate.Status().ColdFor
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.present || (coldFor > 0) == (t.coldFor > 0) {
		return
	}
	t.log.Info("target coldness changed", zap.Stringer("for", coldFor))
	t.coldFor = coldFor
	t.applyDrainState()
}
