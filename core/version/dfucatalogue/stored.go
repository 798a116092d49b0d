package dfucatalogue

import (
	"encoding/json"

	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// MaxRecentChanges is how many earlier changes a stored entry remembers.
const MaxRecentChanges = 8

// Stored is the form in which the store holds an entry.
type Stored struct {
	// ChangeID names the change that wrote this version.
	ChangeID dfuident.ChangeID `json:"change_id"`
	// MadeFrom is the revision that the change replaced, zero for a key that
	// was never written.
	MadeFrom dfuident.Revision `json:"made_from"`
	// Recent holds earlier changes, newest first, so that a writer whose reply
	// was lost recognizes its change after it was replaced by a later one.
	Recent []Change `json:"recent,omitempty"`
	// Deleted marks a tombstone. A delete writes one in place of removing the
	// key, so that it carries a change id and a revision as any change does.
	Deleted bool `json:"deleted,omitempty"`
	// Entry is the entry; in a tombstone it is the last one before the delete.
	Entry Entry `json:"entry"`
}

// Change is one accepted change of an entry.
type Change struct {
	ChangeID dfuident.ChangeID `json:"change_id"`
	MadeFrom dfuident.Revision `json:"made_from"`
}

// Verdict says what became of a change.
type Verdict string

const (
	// VerdictAccepted means that the store took the change, whether or not a
	// later one has replaced it since.
	VerdictAccepted Verdict = "accepted"
	// VerdictRejected means that another change was made from the same
	// revision, so that the store has refused this one or will.
	VerdictRejected Verdict = "rejected"
	// VerdictPending means that the store had not taken the change when the
	// entry was read. A write that is still on its way may yet be taken.
	VerdictPending Verdict = "pending"
	// VerdictUnknown means that the entry no longer remembers so far back.
	VerdictUnknown Verdict = "unknown"
)

// Next returns the version that a change makes from s.
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

// History returns the remembered changes, newest first, s included.
func (s Stored) History() []Change {
	return append([]Change{{ChangeID: s.ChangeID, MadeFrom: s.MadeFrom}}, s.Recent...)
}

// Judge returns what became of a change, given that s was read at revision
// at. It relies on compare-and-swap: of all changes made from one revision the
// store takes one at most.
func (s Stored) Judge(change Change, at dfuident.Revision) Verdict {
	history := s.History()
	for _, c := range history {
		if c.ChangeID == change.ChangeID {
			return VerdictAccepted
		}
	}
	for _, c := range history {
		if c.MadeFrom == change.MadeFrom {
			return VerdictRejected
		}
	}
	if at <= change.MadeFrom {
		return VerdictPending
	}
	return VerdictUnknown
}

// EncodeStored returns the value that the store holds.
func EncodeStored(s Stored) ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode stored entry")
}

// DecodeStored reads a value of the store. Fields that this version does not
// know are ignored, since a later version may have written them, but the
// values of the entry are checked.
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
