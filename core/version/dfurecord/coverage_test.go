package dfurecord_test

import (
	"testing"

	"dragonflyusher/core/version/dfurecord"

	"github.com/matryer/is"
)

// A prefix whose watch has returned nothing must count as behind the store, unless all
// revisions since its last answer are known to be changes of other keys. Otherwise a lost
// answer stays unnoticed, or each write of another key costs a call.
func TestCoverageShowsUnansweredWatch(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(*dfurecord.Coverage)
		want   []string
	}{
		{"nothing watched", func(*dfurecord.Coverage) {}, nil},
		{"up to date", func(c *dfurecord.Coverage) { c.Cover("a/", 12) }, nil},
		{"behind", func(c *dfurecord.Coverage) { c.Cover("a/", 11) }, []string{"a/"}},
		{"own write", func(c *dfurecord.Coverage) {
			c.Cover("a/", 11)
			c.Changed("", 12)
		}, nil},
		{"own write after an unknown change", func(c *dfurecord.Coverage) {
			c.Cover("a/", 10)
			c.Changed("", 12)
		}, []string{"a/"}},
		{"change below the other prefix", func(c *dfurecord.Coverage) {
			c.Cover("a/", 10)
			c.Cover("b/", 10)
			c.Changed("a/", 11)
			c.Cover("a/", 11)
			c.Changed("a/", 12)
			c.Cover("a/", 12)
		}, nil},
		{"change below the other prefix after an unknown one", func(c *dfurecord.Coverage) {
			c.Cover("a/", 10)
			c.Cover("b/", 10)
			c.Changed("a/", 12)
			c.Cover("a/", 12)
		}, []string{"b/"}},
		{"the change of its own prefix covers nothing", func(c *dfurecord.Coverage) {
			c.Cover("a/", 11)
			c.Changed("a/", 12)
		}, []string{"a/"}},
		{"an older answer", func(c *dfurecord.Coverage) {
			c.Cover("a/", 12)
			c.Cover("a/", 9)
		}, nil},
		{"no longer watched", func(c *dfurecord.Coverage) {
			c.Cover("a/", 9)
			c.Drop("a/")
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var coverage dfurecord.Coverage
			c.events(&coverage)
			is.Equal(coverage.Behind(12), c.want)
		})
	}
}
