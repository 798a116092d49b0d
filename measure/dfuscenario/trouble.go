package dfuscenario

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// TroubleKind is a kind of fault, change of traffic or planned maintenance.
type TroubleKind string

// The kinds of disruptions.
const (
	// TroubleBurst multiplies the traffic by Factor.
	TroubleBurst TroubleKind = "burst"
	// TroubleShift moves a Share of the traffic to Zone.
	TroubleShift TroubleKind = "shift"
	// TroubleHammer makes a Share of the callers send each request Factor more
	// times at once.
	TroubleHammer TroubleKind = "hammer"
	// TroubleLeave makes a Share of the callers give up within half their target
	// latency.
	TroubleLeave TroubleKind = "leave"
	// TroubleSlow makes a Share of a service's targets take Factor times as long.
	TroubleSlow TroubleKind = "slow_targets"
	// TroubleFail makes a Share of a service's targets fail Factor of their
	// requests.
	TroubleFail TroubleKind = "failing_targets"
	// TroubleLost makes a Share of a service's targets lose the answers to Factor
	// of the requests that they ran.
	TroubleLost TroubleKind = "lost_answers"
	// TroubleCrash crashes a Share of a service's targets.
	TroubleCrash TroubleKind = "target_crash"
	// TroubleReplace replaces a Share of a service's VMs in batches of Factor, Gap
	// apart: the new VMs start while the old ones drain.
	TroubleReplace TroubleKind = "replace"
	// TroubleRemove drains and removes a Share of a service's VMs.
	TroubleRemove TroubleKind = "remove"
	// TroubleAdd adds VMs to a service, a Share of its present number.
	TroubleAdd TroubleKind = "add"
	// TroubleRestart restarts a Share of the nodes in batches of Factor, Gap
	// apart.
	TroubleRestart TroubleKind = "restart_nodes"
	// TroubleKill kills a Share of the nodes at once.
	TroubleKill TroubleKind = "kill_nodes"
	// TroublePower powers off a Share of the VMs with their nodes and targets.
	TroublePower TroubleKind = "power"
)

// Trouble is one disruption. If Service is empty, the seed picks one. If Zone is empty,
// a burst affects all zones, and a shift moves traffic to the first.
type Trouble struct {
	Kind    TroubleKind       `json:"kind"`
	At      dfuclock.Duration `json:"at_ms"`
	For     dfuclock.Duration `json:"for_ms"`
	Gap     dfuclock.Duration `json:"gap_ms"`
	Share   float64           `json:"share"`
	Factor  float64           `json:"factor"`
	Service dfuident.Service  `json:"service"`
	Zone    dfuident.Zone     `json:"zone"`
}
