package dfuoperator

import (
	"context"
	"strconv"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
)

// listCommand lists the entries of the catalogue.
type listCommand struct{}

// listedEntry is one entry of the list.
type listedEntry struct {
	Revision dfuident.Revision  `json:"revision"`
	ChangeID dfuident.ChangeID  `json:"change_id"`
	Entry    dfucatalogue.Entry `json:"entry"`
}

func (c *listCommand) run(ctx context.Context, s *session) error {
	store, err := s.store()
	if err != nil {
		return err
	}
	records, _, err := store.List(ctx, dfustore.CataloguePrefix)
	if err != nil {
		return errors.Wrap(err, "list the catalogue")
	}
	listed := []listedEntry{}
	var failure error
	for _, record := range records {
		v := versionOf(record)
		switch {
		case v.invalid != nil:
			s.notef("%s: the store holds an invalid entry at revision %d:\n%s", serviceOf(record), v.revision, v.invalid)
			failure = errFailed
		case v.live():
			listed = append(listed, listedEntry{Revision: v.revision, ChangeID: v.stored.ChangeID, Entry: v.stored.Entry})
		}
	}
	return errors.CombineErrors(failure, s.showList(listed))
}

func (s *session) showList(listed []listedEntry) error {
	if s.json {
		return s.printJSON(listed)
	}
	rows := [][]string{{"SERVICE", "OWNER", "CLASS", "NON-IDEMPOTENT", "REVISION", "DRAINING"}}
	for _, l := range listed {
		rows = append(rows, []string{
			string(l.Entry.Service), string(l.Entry.Owner), string(l.Entry.Class),
			yesNo(l.Entry.NonIdempotent), strconv.FormatUint(uint64(l.Revision), 10), strconv.Itoa(len(l.Entry.Drain)),
		})
	}
	s.table(rows)
	return nil
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
