package dfuroute

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Kind says how often a request of a route may run.
//
//sumtype:decl
type Kind interface {
	// String returns the kind's name in a table.
	String() string
	isKind()
}

// Idempotent requests may run any number of times.
type Idempotent struct{}

// NonIdempotent requests run at most once for each attempt of their caller.
type NonIdempotent struct{}

// Upload requests have large bodies and run at most once for each attempt of
// their caller.
type Upload struct{}

func (Idempotent) isKind()    {}
func (NonIdempotent) isKind() {}
func (Upload) isKind()        {}

// String returns "idempotent".
func (Idempotent) String() string { return "idempotent" }

// String returns "non_idempotent".
func (NonIdempotent) String() string { return "non_idempotent" }

// String returns "upload".
func (Upload) String() string { return "upload" }

// parseKind returns the kind with a name, or nil.
func parseKind(name string) Kind {
	for _, k := range []Kind{Idempotent{}, NonIdempotent{}, Upload{}} {
		if k.String() == name {
			return k
		}
	}
	return nil
}

// Repeats reports whether requests of a kind may run more than once.
func Repeats(k Kind) bool {
	_, ok := k.(Idempotent)
	return ok
}

// kindField is a Kind in JSON.
type kindField struct {
	name string
	kind Kind
}

// MarshalJSON writes the kind's name.
func (f kindField) MarshalJSON() ([]byte, error) {
	return json.Marshal(f.name)
}

// UnmarshalJSON reads a kind's name; an unknown one leaves the kind nil.
func (f *kindField) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, &f.name); err != nil {
		return errors.Wrap(err, "kind")
	}
	f.kind = parseKind(f.name)
	return nil
}
