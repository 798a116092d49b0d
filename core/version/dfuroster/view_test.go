package dfuroster_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroster"

	"pgregory.net/rapid"
)

// TestViewMatchesItsNodes applies random changes and checks that the lists by
// service hold exactly the nodes of the view, and that Apply does not modify
// the previous version.
func TestViewMatchesItsNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := dfuroster.New()
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			before := describe(view)
			next := view.Apply(drawChange(t))
			if after := describe(view); after != before {
				t.Fatalf("Apply modified the previous version: before %s, after %s", before, after)
			}
			view = next
			checkServices(t, view)
		}
	})
}

func drawChange(t *rapid.T) dfuroster.Change {
	var c dfuroster.Change
	for range rapid.IntRange(0, 4).Draw(t, "nodes") {
		n := dfuroster.Node{State: dfuroster.Alive}
		n.Member.Node = drawNodeID(t)
		n.Slots = rapid.IntRange(0, 9).Draw(t, "slots")
		n.Service = dfuident.Service(rapid.SampledFrom([]string{"", "lager", "kasse"}).Draw(t, "service"))
		c.Nodes = append(c.Nodes, n)
	}
	for range rapid.IntRange(0, 2).Draw(t, "forgotten") {
		c.Forgotten = append(c.Forgotten, drawNodeID(t))
	}
	return c
}

func drawNodeID(t *rapid.T) dfuident.NodeID {
	return dfuident.NodeID(fmt.Sprintf("vm-%d", rapid.IntRange(0, 5).Draw(t, "id")))
}

func checkServices(t *rapid.T, view *dfuroster.View) {
	for _, s := range []dfuident.Service{"lager", "kasse"} {
		var want []dfuroster.Node
		for _, n := range view.Nodes() {
			if n.Service == s {
				want = append(want, n)
			}
		}
		if got := view.Service(s); !slices.Equal(got, want) {
			t.Fatalf("%s: got %v, want %v", s, got, want)
		}
	}
}

func describe(view *dfuroster.View) string {
	return fmt.Sprint(view.Version(), view.Nodes(), view.Service("lager"), view.Service("kasse"))
}
