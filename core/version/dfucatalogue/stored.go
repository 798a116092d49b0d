package dfucatalogue

import (
	"encoding/json"

	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// MaxRecentChanges is the maximum number of earlier changes kept in a stored
// entry.
const MaxRecentChanges = 8

// Stored is the value that the store holds for an entry.
type Stored struct {
	// ChangeID identifies the change that wrote this version.
	ChangeID dfuident.ChangeID `json:"change_id"`
	// MadeFrom is the revision that the change replaced, or zero for a key that
	// was never written.
	MadeFrom dfuident.Revision `json:"made_from"`
	// Recent holds earlier changes, newest first. A writer that lost the reply
	// uses it to find out whether its change was accepted, even if a later
	// change has replaced it.
	Recent []Change `json:"recent,omitempty"`
	// Deleted marks a tombstone. A deletion writes a tombstone instead of
	// removing the key, so that it has a change id and a revision like any
	// other change.
	Deleted bool `json:"deleted,omitempty"`
	// Entry is the entry, or in a tombstone the last entry before the deletion.
	Entry Entry `json:"entry"`
}

// Change identifies one change of an entry.
type Change struct {
	ChangeID dfuident.ChangeID `json:"change_id"`
	MadeFrom dfuident.Revision `json:"made_from"`
}

// ChangeStatus is the outcome of a change.
type ChangeStatus string

const (
	// ChangeAccepted means that the store accepted the change, even if a later
	// one has replaced it.
	ChangeAccepted ChangeStatus = "accepted"
	// ChangeRejected means that another change was made from the same
	// revision, so the store has rejected this one or will reject it.
	ChangeRejected ChangeStatus = "rejected"
	// ChangePending means that the store had not accepted the change when the
	// entry was read. A write in flight may still be accepted.
	ChangePending ChangeStatus = "pending"
	// ChangeUnknown means that the outcome cannot be determined: the change is
	// older than the changes kept in the entry.
	ChangeUnknown ChangeStatus = "unknown"
)

// Next returns the stored value after a change of s to e.
func (s Stored) Next(change Change, e Entry) Stored {
	next := Stored{ChangeID: change.ChangeID, MadeFrom: change.MadeFrom, Entry: e}
	if next.Entry.Drain == nil {
		next.Entry.Drain = []dfuident.NodeID{}
	}
	if s.ChangeID != "" {
		next.Recent = s.History()
		next.Recent = next.Recent[:min(len(next.Recent), MaxRecentChanges)]
	}
	return next
}

// History returns the change that wrote s and the earlier ones kept in s,
// newest first.
func (s Stored) History() []Change {
	return append([]Change{{ChangeID: s.ChangeID, MadeFrom: s.MadeFrom}}, s.Recent...)
}

// StatusOf returns the outcome of a change, given that s was read at revision
// at. It relies on compare-and-swap: the store accepts at most one of the
// changes made from the same revision.
func (s Stored) StatusOf(change Change, at dfuident.Revision) ChangeStatus {
	history := s.History()
	for _, c := range history {
		if c.ChangeID == change.ChangeID {
			return ChangeAccepted
		}
	}
	for _, c := range history {
		if c.MadeFrom == change.MadeFrom {
			return ChangeRejected
		}
	}
	if at <= change.MadeFrom {
		return ChangePending
	}
	return ChangeUnknown
}

// EncodeStored returns the JSON value to be stored.
func EncodeStored(s Stored) ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode stored entry")
}

// DecodeStored parses a value from the store. Unknown fields are ignored, since
// a later version of the software may have written them, but the values of the
// entry are validated.
func DecodeStored(data []byte) (Stored, error) {
	s := Stored{Entry: Defaults()}
	if err := json.Unmarshal(data, &s); err != nil {
		return Stored{}, errors.Wrap(err, "decode stored entry")
	}
	var findings dfufinding.List
	if s.ChangeID == "" {
		findings.Add("change_id", "must not be empty")
	}
	if len(s.Recent) > MaxRecentChanges {
		findings.Add("recent", "must hold at most %d changes, got %d", MaxRecentChanges, len(s.Recent))
	}
	if err := errors.CombineErrors(findings.Err(), s.Entry.Check()); err != nil {
		return Stored{}, err
	}
	return s, nil
}
