package dfuhistogram

import (
	"cmp"
	"slices"
	"sync"

	"dragonflyusher/core/process/dfuclock"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxNames bounds the histograms; a time under another name is not recorded.
	maxNames = 64
	// longest is the longest time that is told apart, 10 minutes in ms.
	longest = 600_000
	// digits is how many significant digits of a time are kept.
	digits = 1
)

// Set holds histograms by name. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// Summary is what operators are shown of one histogram, in ms.
type Summary struct {
	Name                string
	Count               int64
	P50, P90, P99, Most int64
}

// New returns an empty set.
func New() *Set {
	return &Set{byName: make(map[string]*hdrhistogram.Histogram)}
}

// Record adds a time under a name.
func (s *Set) Record(name string, d dfuclock.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byName[name]
	if h == nil {
		if len(s.byName) >= maxNames {
			return
		}
		h = hdrhistogram.New(1, longest, digits)
		s.byName[name] = h
	}
	// A time beyond the longest counts as the longest.
	_ = h.RecordValue(min(max(int64(d), 0), longest))
}

// Summaries returns a summary of each histogram, sorted by name.
func (s *Set) Summaries() []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	summaries := make([]Summary, 0, len(s.byName))
	for name, h := range s.byName {
		summaries = append(summaries, Summary{
			Name: name, Count: h.TotalCount(),
			P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Most: h.Max(),
		})
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(a.Name, b.Name) })
	return summaries
}
