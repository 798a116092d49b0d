package dfurecord_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfurecord"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// versionOf returns N for the value "vN".
func versionOf(_ string, value []byte) dfurecord.Version {
	version, _ := strconv.ParseUint(strings.TrimPrefix(string(value), "v"), 10, 64)
	return dfurecord.Version(version)
}

// drawVersions returns records of one key with increasing versions, whose revisions become smaller
// some times. Some values are bad.
func drawVersions(t *rapid.T) []dfurecord.Record {
	var records []dfurecord.Record
	taken := make(map[dfuident.Revision]bool)
	for version := 1; version <= rapid.IntRange(1, 12).Draw(t, "versions"); version++ {
		r := dfurecord.Record{Key: "k", Value: fmt.Appendf(nil, "v%d", version)}
		if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
			r.Value = []byte("bad")
		}
		r.Revision = dfuident.Era(rapid.IntRange(0, 2).Draw(t, "era")).Revision(dfuident.Revision(rapid.IntRange(1, 30).Draw(t, "revision")))
		if !taken[r.Revision] {
			taken[r.Revision] = true
			records = append(records, r)
		}
	}
	return records
}

// A store that was restored may return an older value at a greater revision, or a newer one at a smaller
// revision. The version in force must never decrease, in whatever order the records arrive, and copies
// must converge to the greatest version.
func TestVersionNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawVersions(t)
		a, b := dfurecord.New(limitsFor(records), checkValue, versionOf), dfurecord.New(limitsFor(records), checkValue, versionOf)
		for _, set := range []*dfurecord.Set{a, b} {
			reached := dfurecord.Version(0)
			for _, r := range rapid.Permutation(records).Draw(t, "order")[:rapid.IntRange(0, len(records)).Draw(t, "merged")] {
				if rapid.Bool().Draw(t, "from a peer") {
					set.MergeFromPeer(r)
				} else {
					set.MergeFromStore(r, r.Revision)
				}
				version := set.Revisions("k").Version
				if version < reached {
					t.Fatalf("version %d follows version %d", version, reached)
				}
				reached = version
			}
		}
		greatest := max(a.Revisions("k").Version, b.Revisions("k").Version)
		wanted, newer := a.Compare(b.Buckets(), b.Summaries(a.Buckets()))
		fromB, fromA := b.Records(wanted, 1<<20, true), a.Records(newer, 1<<20, true)
		for _, r := range fromB {
			a.MergeFromPeer(r)
		}
		for _, r := range fromA {
			b.MergeFromPeer(r)
		}
		if a.Digest() != b.Digest() || a.Revisions("k").Version != greatest {
			t.Fatalf("copies differ: %v and %v, greatest version %d", a.Summaries(nil), b.Summaries(nil), greatest)
		}
	})
}

func TestContradictedBy(t *testing.T) {
	tests := []struct {
		name         string
		held         []string
		got          string
		listed       bool
		asOf         dfuident.Revision
		contradicted bool
	}{
		{"the record held", []string{"8 v3"}, "8 v3", true, 9, false},
		{"a newer record", []string{"8 v3"}, "9 v4", false, 9, false},
		{"an unknown key", nil, "9 v4", false, 9, false},
		{"a list that lags", []string{"8 v3"}, "6 v2", true, 7, false},
		{"a late answer of a watch", []string{"8 v3"}, "6 v2", false, 7, false},
		{"another value at the revision", []string{"8 v3"}, "8 v4", false, 8, true},
		{"a tombstone at the revision", []string{"8 v3"}, "8 -", false, 8, true},
		{"a newer version at a smaller revision", []string{"8 v3"}, "6 v4", false, 6, true},
		{"an older record although the list is as of later", []string{"8 v3"}, "6 v2", true, 8, true},
		{"an invalid value noted, and the one in force", []string{"6 v2", "8 bad"}, "6 v2", false, 6, false},
		{"an invalid value noted, and the one in force in a later list", []string{"6 v2", "8 bad"}, "6 v2", true, 8, true},
		{"another value at the revision of an invalid one", []string{"6 v2", "8 bad"}, "8 v3", false, 8, true},
		{"an older record of a deleted key in a later list", []string{"8 -"}, "6 v2", true, 9, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			set := dfurecord.New(limits, checkValue, versionOf)
			for _, r := range c.held {
				set.MergeFromPeer(record(t, append([]string{"k"}, strings.Fields(r)...)))
			}
			got := record(t, append([]string{"k"}, strings.Fields(c.got)...))
			is.Equal(set.ContradictedBy(got, c.listed, c.asOf), c.contradicted)
			got.Revision = dfuident.Era(1).Revision(got.Revision)
			is.Equal(set.ContradictedBy(got, c.listed, dfuident.Era(1).Revision(c.asOf)), false)
		})
	}
}
