package dfuoperator

import (
	"context"
	"os"

	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/io/process/dfusettings"

	"github.com/cockroachdb/errors"
)

// validateCommand checks files locally, without connecting to the store or a
// node.
type validateCommand struct {
	Kind string     `long:"kind" choice:"entry" choice:"settings" default:"entry" description:"contents of the files: catalogue entries or settings of nodes"`
	Args entryFiles `positional-args:"yes"`
}

func (c *validateCommand) run(_ context.Context, s *session) error {
	if c.Kind == "settings" {
		return c.validateSettings(s)
	}
	entries, err := c.Args.parse()
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(entries)
	}
	for i, entry := range entries {
		s.printf("%s: valid entry of service %s", c.Args.Files[i], entry.Service)
	}
	return nil
}

// validateSettings checks files with the settings of nodes. The error contains
// the findings of all files.
func (c *validateCommand) validateSettings(s *session) error {
	var all dfufinding.List
	checked := make([]dfusettings.Settings, 0, len(c.Args.Files))
	for _, file := range c.Args.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			all.Add(file, "%s", errors.UnwrapAll(err))
			continue
		}
		parsed, err := dfusettings.Parse(file, data)
		addFindings(&all, file, err)
		checked = append(checked, parsed)
	}
	if err := all.Err(); err != nil {
		return err
	}
	if s.json {
		return s.printJSON(checked)
	}
	for i, parsed := range checked {
		s.printf("%s: valid settings of node %s", c.Args.Files[i], parsed.Node)
	}
	return nil
}
