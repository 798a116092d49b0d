package dfuoperator

import (
	"context"
	"encoding/json"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"

	"github.com/cockroachdb/errors"
)

// serviceArgument is the positional argument of commands for one service.
type serviceArgument struct {
	Service dfuident.Service `positional-arg-name:"SERVICE" required:"yes"`
}

// getCommand prints an entry, or the result of a change.
type getCommand struct {
	Change dfuident.ChangeID  `long:"change" value-name:"ID" description:"print the result of this change"`
	From   *dfuident.Revision `long:"from" value-name:"REV" description:"revision the change was made from"`
	Args   serviceArgument    `positional-args:"yes"`
}

func (c *getCommand) run(ctx context.Context, s *session) error {
	if c.Change != "" {
		return c.showChange(ctx, s)
	}
	v, err := s.readLive(ctx, c.Args.Service)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(struct {
			Revision dfuident.Revision `json:"revision"`
			dfucatalogue.Stored
		}{v.revision, v.stored})
	}
	s.notef("%s: revision %d, change %s made from revision %d", c.Args.Service, v.revision, v.stored.ChangeID, v.stored.MadeFrom)
	text, err := json.MarshalIndent(v.stored.Entry, "", "  ")
	if err != nil {
		return errors.Wrap(err, "print the entry")
	}
	s.printf("%s", text)
	return nil
}

// showChange prints the result of a change.
func (c *getCommand) showChange(ctx context.Context, s *session) error {
	v, err := s.read(ctx, c.Args.Service)
	if err != nil {
		return err
	}
	status := c.status(v)
	if s.json {
		err = s.printJSON(struct {
			Service      dfuident.Service          `json:"service"`
			ChangeID     dfuident.ChangeID         `json:"change_id"`
			ChangeStatus dfucatalogue.ChangeStatus `json:"verdict"`
			Revision     dfuident.Revision         `json:"revision"`
		}{c.Args.Service, c.Change, status, v.revision})
	} else {
		s.printf("%s: change %s: %s", c.Args.Service, c.Change, describeStatus(status, c.Change, v))
	}
	return errors.CombineErrors(result{status: status}.err(), err)
}

// status returns the status of the change. Without the revision it was made
// from, a change that isn't in the entry's history is reported as unknown, even
// if it was rejected.
func (c *getCommand) status(v entryVersion) dfucatalogue.ChangeStatus {
	if c.From != nil {
		return v.stored.StatusOf(dfucatalogue.Change{ChangeID: c.Change, MadeFrom: *c.From}, v.revision)
	}
	for _, accepted := range v.stored.History() {
		if accepted.ChangeID == c.Change {
			return dfucatalogue.ChangeAccepted
		}
	}
	return dfucatalogue.ChangeUnknown
}

// describeStatus returns the status of a change as text.
func describeStatus(status dfucatalogue.ChangeStatus, id dfuident.ChangeID, v entryVersion) string {
	switch status {
	case dfucatalogue.ChangeAccepted:
		if v.stored.ChangeID == id {
			return "accepted, and in force"
		}
		return "accepted, and since replaced" + byChange(v.stored.ChangeID)
	case dfucatalogue.ChangeRejected:
		return "rejected, another change was made from the same revision"
	case dfucatalogue.ChangePending:
		return "not accepted so far; a write on its way may still be, unless the entry changes first"
	default:
		return "unknown, it is not among the changes that the entry remembers"
	}
}
