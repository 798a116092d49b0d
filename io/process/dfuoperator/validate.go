package dfuoperator

import (
	"context"
	"os"

	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/io/process/dfusettings"

	"github.com/cockroachdb/errors"
)

// validateCommand checks files without writing or talking to anyone.
type validateCommand struct {
	Kind string     `long:"kind" choice:"entry" choice:"settings" default:"entry" description:"what the files hold: catalogue entries or settings of nodes"`
	Args entryFiles `positional-args:"yes"`
}

func (c *validateCommand) run(_ context.Context, s *session) error {
	if c.Kind == "settings" {
		return c.settings(s)
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

// settings checks settings of nodes and reports on all files together.
func (c *validateCommand) settings(s *session) error {
	var all dfufinding.List
	checked := make([]dfusettings.Settings, 0, len(c.Args.Files))
	for _, file := range c.Args.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			all.Add(file, "%s", errors.UnwrapAll(err))
			continue
		}
		one, err := dfusettings.Parse(file, data)
		addFindings(&all, file, err)
		checked = append(checked, one)
	}
	if err := all.Err(); err != nil {
		return err
	}
	if s.json {
		return s.printJSON(checked)
	}
	for i, one := range checked {
		s.printf("%s: valid settings of node %s", c.Args.Files[i], one.Node)
	}
	return nil
}
