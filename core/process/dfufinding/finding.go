package dfufinding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one thing wrong with an input.
type Finding struct {
	// Place says where, as "file:line:col" or a JSON path such as
	// "limits.concurrency".
	Place string `json:"place"`
	// Message says what is wrong and what would be right.
	Message string `json:"message"`
}

// List holds findings in the order they were met. The zero value is empty and
// ready to use.
type List struct {
	findings []Finding
}

// Add records a finding at a place.
func (l *List) Add(place, format string, args ...any) {
	l.findings = append(l.findings, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Findings returns the findings sorted by place and message without repeats.
func (l *List) Findings() []Finding {
	sorted := slices.Clone(l.findings)
	slices.SortFunc(sorted, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(sorted)
}

// Err returns the list as an error, or nil if nothing was found.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings()}
}

// Error is a non-empty set of findings.
type Error struct {
	Findings []Finding
}

// Error returns one line for each finding.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.Place + ": " + f.Message
	}
	return strings.Join(lines, "\n")
}
