package request_test

import (
	"math/rand/v2"
	"testing"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"

	"github.com/matryer/is"
)

// newMachineWithOneTarget returns the machine of an entry node whose only target is at node a.
func newMachineWithOneTarget(cfg dfuattempt.Config) *dfuattempt.Machine {
	place := dfuident.Place{Region: "r1", Zone: "z1"}
	chooser := dfuchoice.New(dfuchoice.MinLossSettings(), rand.New(rand.NewPCG(1, 1)))
	chooser.SetTargets(0, "lager", []dfuchoice.Target{{Member: member("a"), Place: place, Slots: 4}})
	return dfuattempt.New(cfg, member("entry"), place, chooser, &attemptSession{tokens: 100})
}

// A request was sent once more to a target that had refused it, after the target's gate
// had refused it as busy.
func TestTargetThatRefusedIsNotChosenAgain(t *testing.T) {
	is := is.New(t)
	machine := newMachineWithOneTarget(dfuattempt.DefaultConfig())
	actions := machine.Step(0, dfuattempt.Arrived{Request: 1, Service: "lager", Remaining: dfuclock.Second, Targets: 3, Allowance: 3})
	for _, reason := range []dfuoutcome.Reason{dfuoutcome.ReasonQueueFull, dfuoutcome.ReasonTargetRefused} {
		is.Equal(len(actions), 1)
		send, ok := actions[0].(dfuattempt.Send)
		is.True(ok) // the only target is chosen, the second time to wait in its queue
		actions = machine.Step(1, dfuattempt.Replied{ID: send.ID, Outcome: dfuoutcome.NotRun, Reason: reason})
	}
	is.Equal(len(actions), 1)
	finish, ok := actions[0].(dfuattempt.Finish)
	is.True(ok)
	is.Equal(finish.Outcome, dfuoutcome.NotRun)
	is.Equal(finish.Reason, dfuoutcome.ReasonTargetRefused)
}

// The same held for an idempotent request that a target had failed, or may have run.
func TestTargetThatFailedIsNotChosenAgain(t *testing.T) {
	for name, reply := range map[string]dfuattempt.Replied{
		"error answer": {Outcome: dfuoutcome.Answered, TargetError: true},
		"no answer":    {Outcome: dfuoutcome.Unknown, Reason: dfuoutcome.ReasonTargetDied},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := dfuattempt.DefaultConfig()
			cfg.RetryErrors = true
			machine := newMachineWithOneTarget(cfg)
			actions := machine.Step(0, dfuattempt.Arrived{
				Request: 1, Service: "lager", Idempotent: true, Remaining: dfuclock.Second, Targets: 3, Allowance: 3,
			})
			for _, next := range []dfuattempt.Replied{{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonQueueFull}, reply} {
				is.Equal(len(actions), 1)
				send, ok := actions[0].(dfuattempt.Send)
				is.True(ok)
				next.ID = send.ID
				actions = machine.Step(1, next)
			}
			is.Equal(len(actions), 1)
			_, ok := actions[0].(dfuattempt.Finish)
			is.True(ok)
		})
	}
}

// A request that is repeated waited for a target although the only one had refused it.
func TestRepetitionWithoutOtherTargetIsFinal(t *testing.T) {
	is := is.New(t)
	machine := newMachineWithOneTarget(dfuattempt.DefaultConfig())
	actions := machine.Step(0, dfuattempt.Arrived{
		Request: 1, Service: "lager", Remaining: dfuclock.Second, Targets: 3, RefusedBy: []dfuident.NodeID{member("a").Node},
	})
	is.Equal(len(actions), 1)
	finish, ok := actions[0].(dfuattempt.Finish)
	is.True(ok)
	is.Equal(finish.Outcome, dfuoutcome.NotRun)
	is.Equal(finish.Reason, dfuoutcome.ReasonTargetRefused)
	var backoff dfuattempt.RepeatBackoff
	_, repeats := backoff.After(finish.Outcome, finish.Reason, dfuclock.Second)
	is.True(!repeats)
}
