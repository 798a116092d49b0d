package dfuinstance_test

import (
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuinstance"

	"github.com/matryer/is"
)

// announced returns an announcement of a ready target.
func announced(instance dfuident.Instance, born dfuinstance.UnixMs, sequence uint64) dfuinstance.Announcement {
	return dfuinstance.Announcement{Instance: instance, Born: born, Sequence: sequence}
}

// Two late announcements after a restart of the node reopened the gate to a target that had
// left: while announcements from before the restart can arrive, none takes effect without a
// check of the target. Later the first of a run does, and the second one that is received.
func TestLateAnnouncementsAreNotConfirmed(t *testing.T) {
	const started, early, late = dfuclock.Time(1000), dfuclock.Time(30_999), dfuclock.Time(31_000)
	draining := announced("a", 100, 7)
	draining.Draining = true
	type steps = []dfuinstance.Announcement
	for _, c := range []struct {
		name string
		// steps are applied before the last announcement, of which the results are given.
		steps               steps
		last                dfuinstance.Announcement
		wantEarly, wantLate bool
	}{
		{"first of a run", nil, announced("a", 100, 1), false, true},
		{"draining", nil, draining, true, true},
		{"no instance", nil, announced("", 0, 9), true, true},
		{"later one of an unknown run", nil, announced("a", 100, 7), false, false},
		{"repeated", steps{announced("a", 100, 7)}, announced("a", 100, 7), false, false},
		{"older than the pending one", steps{announced("a", 100, 7)}, announced("a", 100, 6), false, false},
		{"second", steps{announced("a", 100, 7)}, announced("a", 100, 8), false, true},
		{"third", steps{announced("a", 100, 7), announced("a", 100, 8)}, announced("a", 100, 9), false, true},
		{"another run in between", steps{announced("a", 100, 7), announced("b", 200, 4)}, announced("a", 100, 8), false, false},
		{"later run", steps{announced("a", 100, 7), announced("b", 200, 4)}, announced("b", 200, 5), false, true},
		{"new run of an instance", steps{announced("a", 100, 1)}, announced("a", 200, 3), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for now, want := range map[dfuclock.Time]bool{early: c.wantEarly, late: c.wantLate} {
				confirmer := dfuinstance.NewConfirmer(started)
				for _, a := range c.steps {
					confirmer.Check(now, a)
				}
				is.New(t).Equal(confirmer.Check(now, c.last), want)
			}
		})
	}
}

// A check of the target confirms only the run whose announcement caused it, and not after
// the instance has left. Later announcements of the run take effect without a check.
func TestConfirmAfterCheck(t *testing.T) {
	const now = dfuclock.Time(0)
	is := is.New(t)
	confirmer := dfuinstance.NewConfirmer(now)
	late, next := announced("a", 100, 7), announced("b", 200, 4)
	is.True(!confirmer.Check(now, late))
	is.True(!confirmer.Check(now, next))
	is.True(!confirmer.Confirm(late))
	is.True(!confirmer.Check(now, announced("b", 200, 5)))
	is.True(!confirmer.IsPending(next)) // a later announcement is checked in its place
	is.True(confirmer.Confirm(next))
	is.True(!confirmer.Confirm(next))
	is.True(confirmer.Check(now, announced("b", 200, 6)))
	is.True(!confirmer.Check(now, announced("c", 300, 2)))
	confirmer.MarkLeft("c")
	is.True(!confirmer.Confirm(announced("c", 300, 2)))
}
