package policy_test

import (
	"slices"
	"testing"

	"dragonflyusher/measure/policy"

	"github.com/matryer/is"
)

// TestRunRepeats checks that a seed decides a run, and that the cost of
// measuring stays within a tenth of what reports cost.
func TestRunRepeats(t *testing.T) {
	is := is.New(t)
	deployment := policy.Deployments()[1]
	scenario := policy.Scenario{Load: 1.1, Fault: policy.FaultShortJumps}
	run := func(name string) policy.Summary {
		list := policy.Contenders()
		i := slices.IndexFunc(list, func(c policy.Contender) bool { return c.Name == name })
		return policy.Run(deployment, scenario, list[i], 1).Summary()
	}
	ours, reports := run("late_binding"), run("two_on_reports")
	is.Equal(ours, run("late_binding"))
	is.True(ours.Measuring > 0)
	is.True(ours.Measuring <= reports.Measuring/10)
}
