package policy_test

import (
	"slices"
	"testing"

	"dragonflyusher/measure/policy"

	"github.com/matryer/is"
)

// TestRunRepeats checks that a run depends only on its seed, and that late binding
// spends at most a tenth of the bytes that load reports take.
func TestRunRepeats(t *testing.T) {
	is := is.New(t)
	deployment := policy.Deployments()[1]
	scenario := policy.Scenario{Load: 1.1, Fault: policy.FaultShortSlowdowns}
	run := func(name string) policy.Summary {
		list := policy.Contenders()
		i := slices.IndexFunc(list, func(c policy.Contender) bool { return c.Name == name })
		return policy.Run(deployment, scenario, list[i], 1).Summary()
	}
	current, reports := run("late_binding"), run("two_on_reports")
	is.Equal(current, run("late_binding"))
	is.True(current.Measuring > 0)
	is.True(current.Measuring <= reports.Measuring/10)
}
