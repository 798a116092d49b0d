package dfufinding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in an input.
type Finding struct {
	// Place is the location of the error, as "file:line:col" or a JSON path
	// such as "limits.concurrency".
	Place string `json:"place"`
	// Message describes the error and what is expected instead.
	Message string `json:"message"`
}

// List is a list of findings in the order in which they were added. The zero
// value is an empty list ready to use.
type List struct {
	findings []Finding
}

// Add adds a finding at a place. Its message is formatted as by fmt.Sprintf.
func (l *List) Add(place, format string, args ...any) {
	l.findings = append(l.findings, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Findings returns the findings sorted by place and message, without
// duplicates.
func (l *List) Findings() []Finding {
	sorted := slices.Clone(l.findings)
	slices.SortFunc(sorted, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(sorted)
}

// Err returns the findings as an *Error, or nil if there are none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings()}
}

// Error is a non-empty list of findings.
type Error struct {
	Findings []Finding
}

// Error returns one line per finding.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.Place + ": " + f.Message
	}
	return strings.Join(lines, "\n")
}
