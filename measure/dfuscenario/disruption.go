package dfuscenario

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// DisruptionKind is a kind of fault, change of traffic or planned maintenance.
type DisruptionKind string

// The kinds of disruptions.
const (
	// DisruptionBurst multiplies the traffic by Factor.
	DisruptionBurst DisruptionKind = "burst"
	// DisruptionShift moves a Share of the traffic to Zone.
	DisruptionShift DisruptionKind = "shift"
	// DisruptionDuplicate makes a Share of the callers send each request Factor
	// more times at once.
	DisruptionDuplicate DisruptionKind = "hammer"
	// DisruptionGiveUp makes a Share of the callers give up within half their
	// target latency.
	DisruptionGiveUp DisruptionKind = "leave"
	// DisruptionSlow makes a Share of a service's targets take Factor times as
	// long.
	DisruptionSlow DisruptionKind = "slow_targets"
	// DisruptionFail makes a Share of a service's targets fail Factor of their
	// requests.
	DisruptionFail DisruptionKind = "failing_targets"
	// DisruptionLost makes a Share of a service's targets lose the answers to
	// Factor of the requests that they ran.
	DisruptionLost DisruptionKind = "lost_answers"
	// DisruptionCrash crashes a Share of a service's targets.
	DisruptionCrash DisruptionKind = "target_crash"
	// DisruptionReplace replaces a Share of a service's VMs in batches of Factor,
	// Gap apart: the new VMs start while the old ones drain.
	DisruptionReplace DisruptionKind = "replace"
	// DisruptionRemove drains and removes a Share of a service's VMs.
	DisruptionRemove DisruptionKind = "remove"
	// DisruptionAdd adds VMs to a service, a Share of its present number.
	DisruptionAdd DisruptionKind = "add"
	// DisruptionRestart restarts a Share of the nodes in batches of Factor, Gap
	// apart.
	DisruptionRestart DisruptionKind = "restart_nodes"
	// DisruptionKill kills a Share of the nodes at once.
	DisruptionKill DisruptionKind = "kill_nodes"
	// DisruptionPower powers off a Share of the VMs with their nodes and targets.
	DisruptionPower DisruptionKind = "power"
)

// Disruption is one disruption. If Service is empty, a disruption of targets affects
// those of a random service. If Zone is empty, a burst affects all zones, and a shift
// moves traffic to the first.
type Disruption struct {
	Kind    DisruptionKind    `json:"kind"`
	At      dfuclock.Duration `json:"at_ms"`
	For     dfuclock.Duration `json:"for_ms"`
	Gap     dfuclock.Duration `json:"gap_ms"`
	Share   float64           `json:"share"`
	Factor  float64           `json:"factor"`
	Service dfuident.Service  `json:"service"`
	Zone    dfuident.Zone     `json:"zone"`
}
