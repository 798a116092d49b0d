package dfuroute

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Kind determines how often the requests of a route may run.
//
//sumtype:decl
type Kind interface {
	// String returns the name of the kind in a table.
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

// Download requests have large answers and may run any number of times.
type Download struct{}

func (Idempotent) isKind()    {}
func (NonIdempotent) isKind() {}
func (Upload) isKind()        {}
func (Download) isKind()      {}

// String returns "idempotent".
func (Idempotent) String() string { return "idempotent" }

// String returns "non_idempotent".
func (NonIdempotent) String() string { return "non_idempotent" }

// String returns "upload".
func (Upload) String() string { return "upload" }

// String returns "download".
func (Download) String() string { return "download" }

// parseKind returns the kind with the given name, or nil.
func parseKind(name string) Kind {
	for _, k := range []Kind{Idempotent{}, NonIdempotent{}, Upload{}, Download{}} {
		if k.String() == name {
			return k
		}
	}
	return nil
}

// IsRepeatable reports whether requests of a kind may run more than once.
func IsRepeatable(k Kind) bool {
	switch k.(type) {
	case Idempotent, Download:
		return true
	default:
		return false
	}
}

// kindField is the JSON representation of a Kind.
type kindField struct {
	name string
	kind Kind
}

// MarshalJSON implements json.Marshaler with the name of the kind.
func (f kindField) MarshalJSON() ([]byte, error) {
	return json.Marshal(f.name)
}

// UnmarshalJSON implements json.Unmarshaler. An unknown name leaves the kind
// nil, so that the checker reports it with the route's path.
func (f *kindField) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, &f.name); err != nil {
		return errors.Wrap(err, "kind")
	}
	f.kind = parseKind(f.name)
	return nil
}
