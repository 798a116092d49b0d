package dfuhistogram

import (
	"cmp"
	"slices"
	"sync"

	"dragonflyusher/core/process/dfuclock"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxNames limits the number of histograms. Durations under further names
	// are not recorded.
	maxNames = 64
	// maxRecordable is the longest duration that is distinguished, 10 minutes
	// in milliseconds.
	maxRecordable = 600_000
	// significantDigits is the number of significant decimal digits kept.
	significantDigits = 1
)

// Set is a set of named histograms. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// Summary is the summary of a histogram shown to operators, in milliseconds.
type Summary struct {
	Name                string
	Count               int64
	P50, P90, P99, Most int64
}

// New returns an empty set.
func New() *Set {
	return &Set{byName: make(map[string]*hdrhistogram.Histogram)}
}

// Record records a duration under a name.
func (s *Set) Record(name string, d dfuclock.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byName[name]
	if h == nil {
		if len(s.byName) >= maxNames {
			return
		}
		h = hdrhistogram.New(1, maxRecordable, significantDigits)
		s.byName[name] = h
	}
	// Longer durations are recorded as maxRecordable.
	_ = h.RecordValue(min(max(int64(d), 0), maxRecordable))
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
