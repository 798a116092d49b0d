package dfuscenario

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// TroubleKind says what goes wrong, or what is planned.
type TroubleKind string

// The kinds of trouble.
const (
	// TroubleBurst brings Factor times the traffic.
	TroubleBurst TroubleKind = "burst"
	// TroubleShift moves a Share of the traffic to Zone.
	TroubleShift TroubleKind = "shift"
	// TroubleHammer lets a Share of the callers repeat Factor more times at once.
	TroubleHammer TroubleKind = "hammer"
	// TroubleLeave lets a Share of the callers leave within half their target latency.
	TroubleLeave TroubleKind = "leave"
	// TroubleSlow lets a Share of a service's targets take Factor times as long.
	TroubleSlow TroubleKind = "slow_targets"
	// TroubleFail lets a Share of a service's targets fail Factor of their requests.
	TroubleFail TroubleKind = "failing_targets"
	// TroubleLost lets a Share of a service's targets lose the answer of Factor of
	// the requests that they ran.
	TroubleLost TroubleKind = "lost_answers"
	// TroubleCrash takes a Share of a service's targets down.
	TroubleCrash TroubleKind = "target_crash"
	// TroubleReplace replaces a Share of a service's VMs, Factor at a time with Gap
	// between: the new one starts, the old one drains.
	TroubleReplace TroubleKind = "replace"
	// TroubleRemove drains a Share of a service's VMs and takes them away.
	TroubleRemove TroubleKind = "remove"
	// TroubleAdd starts a Share more VMs of a service.
	TroubleAdd TroubleKind = "add"
	// TroubleRestart stops and starts a Share of the nodes, one after another.
	TroubleRestart TroubleKind = "restart_nodes"
	// TroubleKill kills a Share of the nodes at once.
	TroubleKill TroubleKind = "kill_nodes"
	// TroublePower takes a Share of the VMs down, targets and all.
	TroublePower TroubleKind = "power"
)

// Trouble is one thing that goes wrong. What it leaves out, the day's seed picks.
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
