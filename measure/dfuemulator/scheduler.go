package dfuemulator

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/request/dfugate"
)

// Scheduler is a policy that routes, queues and refuses requests.
type Scheduler struct {
	Name string
	// Choice and Gate configure the nodes.
	Choice dfuchoice.Settings
	Gate   dfugate.Config
	// RetryAfterShare is the Retry-After delay as a share of the latency target;
	// zero selects the daemon's value.
	RetryAfterShare float64
	// Clairvoyant replaces the nodes' decisions by one central scheduler with full
	// knowledge.
	Clairvoyant bool
}

// Current returns the daemon's scheduler.
func Current() Scheduler {
	return Scheduler{Name: "current", Choice: dfuchoice.MinLossSettings(), Gate: dfugate.DefaultConfig()}
}

// Schedulers returns the current scheduler and its baselines: common load balancing
// policies, and the current one with one of its parts disabled.
func Schedulers() []Scheduler {
	plain := func(name string, policy dfuchoice.Policy) Scheduler {
		s := Current()
		s.Name, s.Choice.Policy = name, policy
		s.Gate.IgnoreSaturation, s.Gate.IgnoreSlowdown = true, true
		return s
	}
	ignoresSaturation := Current()
	ignoresSaturation.Name, ignoresSaturation.Gate.IgnoreSaturation = "all_slots", true
	ignoresSlowdown := Current()
	ignoresSlowdown.Name, ignoresSlowdown.Gate.IgnoreSlowdown = "ignores_pace", true
	median := Current()
	median.Name, median.Gate.AdmitQuantile = "admits_by_median", 0.5
	free := Current()
	free.Name, free.Choice.LinkLossPerKilobyte, free.Choice.ZoneLossPerKilobyte = "bytes_free", 0, 0
	return []Scheduler{
		Current(),
		plain("random", dfuchoice.Random{}),
		plain("round_robin_in_region", dfuchoice.RoundRobin{Regional: true}),
		plain("two_choices", dfuchoice.TwoChoices{}),
		plain("late_binding", dfuchoice.LateBinding{Draws: 3}),
		ignoresSaturation, ignoresSlowdown, median, free,
		{Name: "clairvoyant", Clairvoyant: true},
	}
}
