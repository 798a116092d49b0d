package dfuinstance_test

import (
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuinstance"

	"github.com/matryer/is"
)

// announced returns an announcement of a ready target.
func announced(instance dfuident.Instance, born dfuinstance.UnixMs, sequence uint64) dfuinstance.Announcement {
	return dfuinstance.Announcement{Instance: instance, Born: born, Sequence: sequence}
}

// The first announcement that a node receives of a run that has announced itself before
// takes effect only after a check of the target, or with the next one.
func TestConfirmer(t *testing.T) {
	draining := announced("a", 100, 7)
	draining.Draining = true
	for _, c := range []struct {
		name string
		// steps are applied before the last announcement, of which want is the result.
		steps []dfuinstance.Announcement
		last  dfuinstance.Announcement
		want  bool
	}{
		{"first of a run", nil, announced("a", 100, 1), true},
		{"draining", nil, draining, true},
		{"no instance", nil, announced("", 0, 9), true},
		{"later one of an unknown run", nil, announced("a", 100, 7), false},
		{"repeated", []dfuinstance.Announcement{announced("a", 100, 7)}, announced("a", 100, 7), false},
		{"older than the pending one", []dfuinstance.Announcement{announced("a", 100, 7)}, announced("a", 100, 6), false},
		{"second", []dfuinstance.Announcement{announced("a", 100, 7)}, announced("a", 100, 8), true},
		{"third", []dfuinstance.Announcement{announced("a", 100, 7), announced("a", 100, 8)}, announced("a", 100, 9), true},
		{"another run in between", []dfuinstance.Announcement{announced("a", 100, 7), announced("b", 200, 4)}, announced("a", 100, 8), false},
		{"later run", []dfuinstance.Announcement{announced("a", 100, 7), announced("b", 200, 4)}, announced("b", 200, 5), true},
		{"new run of a confirmed instance", []dfuinstance.Announcement{announced("a", 100, 1)}, announced("a", 200, 3), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var confirmer dfuinstance.Confirmer
			for _, a := range c.steps {
				confirmer.Check(a)
			}
			is.New(t).Equal(confirmer.Check(c.last), c.want)
		})
	}
}

// A check of the target confirms only the announcement that caused it, and not after the
// instance has left.
func TestConfirmAfterCheck(t *testing.T) {
	is := is.New(t)
	var confirmer dfuinstance.Confirmer
	late, next := announced("a", 100, 7), announced("b", 200, 4)
	is.True(!confirmer.Check(late))
	is.True(!confirmer.Check(next))
	is.True(!confirmer.Confirm(late))
	is.True(confirmer.Confirm(next))
	is.True(!confirmer.Confirm(next))
	is.True(!confirmer.Check(announced("c", 300, 2)))
	confirmer.MarkLeft("c")
	is.True(!confirmer.Confirm(announced("c", 300, 2)))
}
