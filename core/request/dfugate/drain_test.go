package dfugate_test

import (
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"

	"pgregory.net/rapid"
)

// Checks with random events that a gate hands no request to its target while it drains, no ID
// more than once, and no ID that it has reported as not run.
func TestClosedGateHandsNothingOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := dfugate.New(dfugate.DefaultConfig(), dfuident.Member{Node: "gate", Incarnation: 1})
		now := dfuclock.Time(0)
		draining := false
		dispatched, refused := map[dfuident.RequestID]bool{}, map[dfuident.RequestID]bool{}
		step := func(e dfugate.Event) {
			for _, a := range m.Step(now, e) {
				switch a := a.(type) {
				case dfugate.RunOnTarget:
					if draining {
						t.Fatalf("%v was handed to the target while draining", a.ID)
					}
					if dispatched[a.ID] || refused[a.ID] {
						t.Fatalf("%v was handed to the target twice, or after it was refused", a.ID)
					}
					dispatched[a.ID] = true
				case dfugate.Refuse:
					refused[a.ID] = true
				case dfugate.SealAnswer:
					refused[a.ID] = refused[a.ID] || a.State == dfugate.SealNever || a.State == dfugate.SealWithdrawn
				default:
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(dfuclock.Duration(rapid.IntRange(0, 60).Draw(t, "passed")))
			event := drawEvent(t)
			switch event.(type) {
			case dfugate.DrainRequested:
				draining = true
			case dfugate.DrainCanceled:
				draining = false
			default:
			}
			step(event)
		}
	})
}

// drawEvent draws a random event.
func drawEvent(t *rapid.T) dfugate.Event {
	id := dfuident.RequestID{
		Entry:    dfuident.Member{Node: "entry", Incarnation: dfuident.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))},
		Sequence: uint64(rapid.IntRange(1, 12).Draw(t, "sequence")),
	}
	flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
	switch rapid.IntRange(0, 14).Draw(t, "event") {
	case 0:
		return dfugate.DrainRequested{}
	case 1:
		return dfugate.DrainCanceled{}
	case 2:
		return dfugate.TargetAnnounced{Service: "lager", Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Cold: flag("cold")}
	case 3:
		return dfugate.TargetWithdrawn{}
	case 4:
		return dfugate.TargetCrashed{}
	case 5:
		return dfugate.TargetLoadReported{Load: dfugate.TargetLoad{Slots: 4, Slowdown: rapid.SampledFrom([]int{0, 100, 200, 500}).Draw(t, "slowdown")}}
	case 6:
		return dfugate.TargetLoadUnavailable{}
	case 7:
		return dfugate.TargetDone{ID: id, Failed: flag("failed")}
	case 8:
		return dfugate.TargetFailed{ID: id, Died: flag("died"), Refused: flag("refused")}
	case 9:
		return dfugate.Seal{ID: id}
	case 10:
		return dfugate.Cancel{ID: id}
	case 11:
		return dfugate.Tick{}
	default:
		return dfugate.Offer{
			ID: id, Service: "lager", Remaining: dfuclock.Duration(rapid.IntRange(1, 400).Draw(t, "remaining")),
			Objective: dfuclock.Duration(rapid.IntRange(0, 300).Draw(t, "objective")), Idempotent: flag("idempotent"),
			NoClaim: true, NoWait: flag("no_wait"), Nested: flag("nested"), BodyLater: flag("body_later"), Bytes: 1000,
		}
	}
}
