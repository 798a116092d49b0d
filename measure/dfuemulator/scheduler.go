package dfuemulator

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/request/dfugate"
)

// Scheduler is one way to decide where requests go, who waits and who is refused.
type Scheduler struct {
	Name string
	// Choice and Gate are the settings of the nodes' machines.
	Choice dfuchoice.Settings
	Gate   dfugate.Config
	// RetryAfterShare is the part of a target latency after which refused callers
	// are asked to come back; zero for the daemon's own.
	RetryAfterShare float64
	// Clairvoyant has one scheduler for all nodes in their place, which sees all.
	Clairvoyant bool
}

// Current returns the scheduler of the daemon.
func Current() Scheduler {
	return Scheduler{Name: "current", Choice: dfuchoice.PacedSettings(), Gate: dfugate.DefaultConfig()}
}

// Schedulers returns the current one and what it is compared with: simple policies of
// the field, and the current one without one of its parts.
func Schedulers() []Scheduler {
	plain := func(name string, policy dfuchoice.Policy) Scheduler {
		s := Current()
		s.Name, s.Choice.Policy = name, policy
		s.Gate.AllSlots, s.Gate.IgnorePace = true, true
		return s
	}
	allSlots := Current()
	allSlots.Name, allSlots.Gate.AllSlots = "all_slots", true
	ignoresPace := Current()
	ignoresPace.Name, ignoresPace.Gate.IgnorePace = "ignores_pace", true
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
		allSlots, ignoresPace, median, free,
		{Name: "clairvoyant", Clairvoyant: true},
	}
}
