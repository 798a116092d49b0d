package dfuchoice

import (
	"math"

	"dragonflyusher/core/process/dfuclock"
)

// Parameters of the slowdown model. Other VMs on the same host slow a target
// down intermittently. This is modeled as a two-state Markov process with slow
// and normal periods, so that a reported slowdown loses weight with age.
const (
	// slowPercent is the slowdown from which a target counts as slow.
	slowPercent = 200
	// normalPercent is the slowdown of a target in a normal period.
	normalPercent = 100
	// meanSlowPeriod is the mean length of a slow period, in milliseconds.
	meanSlowPeriod = 150.0
	// slowShare is the share of time that a target is assumed to be slow if
	// nothing has been reported.
	slowShare = 0.3
	// slowdownRelaxation is the time constant of the process in milliseconds:
	// after this time, the influence of a reported state has decayed to 1/e. It
	// is the inverse of the sum of the two transition rates, 1/meanSlowPeriod
	// and 1/meanNormalPeriod.
	slowdownRelaxation = meanSlowPeriod * (1 - slowShare)
	// meanNormalPeriod is the mean time between two slow periods, in
	// milliseconds.
	meanNormalPeriod = meanSlowPeriod * (1 - slowShare) / slowShare
)

// slowdownState holds the slowdown last reported by a target's node.
type slowdownState struct {
	known    bool
	slowdown float64
	at       dfuclock.Time
	// slowSince is the time of the first in the latest run of reports with the
	// target slow, or zero if the last report had it at normal speed.
	slowSince dfuclock.Time
}

// record records a reported slowdown in percent. Zero means unknown and is
// ignored. Two reports with the target slow belong to one period if they are at
// most maxGap apart.
func (s *slowdownState) record(now dfuclock.Time, slowdown uint16, maxGap dfuclock.Duration) {
	if slowdown == 0 {
		return
	}
	wasSlow := s.known && s.slowdown >= slowPercent && now.Sub(s.at) <= maxGap
	s.known, s.slowdown, s.at = true, float64(slowdown), now
	if s.slowdown < slowPercent {
		s.slowSince = 0
	} else if !wasSlow {
		s.slowSince = now
	}
}

// expectedDelay returns by how many milliseconds slowdown is expected to extend
// processing that takes work milliseconds at normal speed.
func (s *slowdownState) expectedDelay(now dfuclock.Time, work float64) float64 {
	if !s.known {
		return 0
	}
	age := float64(now.Sub(s.at))
	if s.slowdown < slowPercent {
		slowChance := slowShare * (1 - math.Exp(-age/slowdownRelaxation))
		return slowChance * slowPeriodDelay(defaultSlowdown, meanSlowPeriod, work)
	}
	// The longer a slow period has lasted, the longer it is expected to
	// continue.
	slowPeriod := max(meanSlowPeriod, float64(s.at.Sub(s.slowSince)))
	slowChance := slowShare + (1-slowShare)*math.Exp(-age/slowPeriod)
	return slowChance * slowPeriodDelay(s.slowdown/normalPercent, slowPeriod, work)
}

// slackExceededChance returns the probability that slowdown extends processing
// by more than slack. Work is the processing time at normal speed; both are in
// milliseconds.
func (s *slowdownState) slackExceededChance(now dfuclock.Time, work, slack float64) float64 {
	if slack <= 0 {
		return 1
	}
	startChance := 1 - math.Exp(-work/meanNormalPeriod)
	priorSlowChance := slowShare + (1-slowShare)*startChance
	if !s.known {
		return priorSlowChance * slowPeriodExceedsSlack(defaultSlowdown, meanSlowPeriod, work, slack)
	}
	age := float64(now.Sub(s.at))
	if s.slowdown < slowPercent {
		slowChance := slowShare * (1 - math.Exp(-age/slowdownRelaxation))
		slowChance += (1 - slowChance) * startChance
		return slowChance * slowPeriodExceedsSlack(defaultSlowdown, meanSlowPeriod, work, slack)
	}
	slowPeriod := max(meanSlowPeriod, float64(s.at.Sub(s.slowSince)))
	slowChance := slowShare + (1-slowShare)*math.Exp(-age/slowPeriod)
	return slowChance * slowPeriodExceedsSlack(s.slowdown/normalPercent, slowPeriod, work, slack)
}

// slowPeriodExceedsSlack returns the probability that processing that starts in
// a slow period is delayed by more than slack. Factor is the slowdown in the
// period and slowPeriod its mean length; times are in milliseconds.
func slowPeriodExceedsSlack(factor, slowPeriod, work, slack float64) float64 {
	if slack >= (factor-1)*work {
		return 0
	}
	return math.Exp(-slack / (slowPeriod * (1 - 1/factor)))
}

// defaultSlowdown is the slowdown factor assumed for a slow period if none has
// been reported.
const defaultSlowdown = 5.0

// slowPeriodDelay returns the expected delay in milliseconds of processing that
// starts in a slow period. Factor is the slowdown in the period and slowPeriod
// its mean length.
func slowPeriodDelay(factor, slowPeriod, work float64) float64 {
	return slowPeriod * (1 - 1/factor) * (1 - math.Exp(-factor*work/slowPeriod))
}

// unknownDelay returns the expected delay of a target that has reported nothing: that of one
// whose last report is old.
func unknownDelay(work float64) float64 {
	return slowShare * slowPeriodDelay(defaultSlowdown, meanSlowPeriod, work)
}
