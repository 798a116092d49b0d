package dfuoperator

import (
	"encoding/json"
	"strings"
	"text/tabwriter"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"

	"github.com/cockroachdb/errors"
)

// report is the output of a command that writes, for one entry.
type report struct {
	Service      dfuident.Service           `json:"service"`
	ChangeStatus dfucatalogue.ChangeStatus  `json:"verdict"`
	ChangeID     dfuident.ChangeID          `json:"change_id,omitempty"`
	MadeFrom     dfuident.Revision          `json:"made_from"`
	Revision     dfuident.Revision          `json:"revision,omitempty"`
	Changes      []dfucatalogue.FieldChange `json:"changes,omitempty"`
	Conflict     *conflictReport            `json:"conflict,omitempty"`
	// ReplacedBy is the current change of the entry if it has already replaced
	// this accepted one.
	ReplacedBy dfuident.ChangeID `json:"replaced_by,omitempty"`
	// Settle is the command line that determines the result of the change, set
	// if the status is unknown.
	Settle string `json:"settle,omitempty"`
}

// conflictReport compares a rejected version with the one in the store.
type conflictReport struct {
	ChangeID dfuident.ChangeID `json:"change_id"`
	Deleted  bool              `json:"deleted"`
	Fields   []fieldConflict   `json:"fields"`
}

// fieldConflict is a field whose values differ between two versions.
type fieldConflict struct {
	Path   string          `json:"path"`
	Yours  json.RawMessage `json:"yours"`
	Theirs json.RawMessage `json:"theirs"`
}

// newReport returns the report on the result of a change.
func (s *session) newReport(r result) report {
	out := report{
		Service:      r.change.service,
		ChangeStatus: r.status,
		ChangeID:     r.change.next.ChangeID,
		MadeFrom:     r.change.next.MadeFrom,
		Revision:     r.current.revision,
	}
	if r.change.base.live() && r.change.base.invalid == nil {
		out.Changes = dfucatalogue.Diff(r.change.base.stored.Entry, r.change.next.Entry)
	}
	switch r.status {
	case dfucatalogue.ChangeAccepted:
		if id := r.current.stored.ChangeID; id != out.ChangeID {
			out.ReplacedBy = id
		}
	case dfucatalogue.ChangeRejected:
		out.Conflict = newConflictReport(r.change.next.Entry, r.current)
	default:
		out.Settle = s.settleCommand(out.Service, r.change.id())
	}
	return out
}

func newConflictReport(yours dfucatalogue.Entry, theirs entryVersion) *conflictReport {
	c := &conflictReport{ChangeID: theirs.stored.ChangeID, Deleted: theirs.stored.Deleted, Fields: []fieldConflict{}}
	if !theirs.live() || theirs.invalid != nil {
		return c
	}
	for _, f := range dfucatalogue.Diff(theirs.stored.Entry, yours) {
		c.Fields = append(c.Fields, fieldConflict{Path: f.Path, Yours: f.After, Theirs: f.Before})
	}
	return c
}

// show prints reports as text or JSON.
func (s *session) show(reports []report) error {
	if s.json {
		return s.printJSON(reports)
	}
	for i := range reports {
		s.showText(&reports[i])
	}
	return nil
}

func (s *session) showText(r *report) {
	for _, c := range r.Changes {
		s.printf("%s: %s: %s -> %s", r.Service, c.Path, c.Before, c.After)
	}
	switch r.ChangeStatus {
	case dfucatalogue.ChangeAccepted:
		s.printf("%s: accepted, change %s made from revision %d", r.Service, r.ChangeID, r.MadeFrom)
		if r.ReplacedBy == "" {
			s.printf("%s: now at revision %d", r.Service, r.Revision)
		} else {
			s.printf("%s: since replaced at revision %d by change %s", r.Service, r.Revision, r.ReplacedBy)
		}
	case dfucatalogue.ChangeRejected:
		s.showConflict(r)
	default:
		s.printf("%s: unknown, the reply to change %s made from revision %d was lost", r.Service, r.ChangeID, r.MadeFrom)
		s.printf("settle it with: %s", r.Settle)
	}
}

func (s *session) showConflict(r *report) {
	s.printf("%s: rejected, change %s was made from revision %d", r.Service, r.ChangeID, r.MadeFrom)
	switch {
	case r.Revision == 0:
		s.printf("%s: the store holds no such entry", r.Service)
		return
	case r.Conflict.Deleted:
		s.printf("%s: the store has deleted it at revision %d%s", r.Service, r.Revision, byChange(r.Conflict.ChangeID))
		return
	}
	s.printf("%s: the store is at revision %d%s", r.Service, r.Revision, byChange(r.Conflict.ChangeID))
	rows := [][]string{{"  field", "yours", "theirs"}}
	for _, f := range r.Conflict.Fields {
		rows = append(rows, []string{"  " + f.Path, string(f.Yours), string(f.Theirs)})
	}
	if len(rows) > 1 {
		s.table(rows)
	}
}

// table prints rows with aligned columns.
func (s *session) table(rows [][]string) {
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		writeLine(w, "%s", strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// showResult prints the report on one change and returns the error of its
// result.
func (s *session) showResult(r result) error {
	return errors.CombineErrors(r.err(), s.show([]report{s.newReport(r)}))
}
