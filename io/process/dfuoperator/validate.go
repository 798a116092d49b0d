package dfuoperator

import (
	"context"
	"os"

	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfusettings"

	"github.com/cockroachdb/errors"
)

// validateCommand checks files locally, without connecting to the store or a
// node.
type validateCommand struct {
	Kind string     `long:"kind" choice:"entry" choice:"settings" choice:"routes" default:"entry" description:"contents of the files: catalogue entries, settings of nodes or tables of routes"`
	Args entryFiles `positional-args:"yes"`
}

func (c *validateCommand) run(_ context.Context, s *session) error {
	switch c.Kind {
	case "settings":
		return c.validateSettings(s)
	case "routes":
		return c.validateRoutes(s)
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

// checkedRoutes describes a table of routes of which every entry can be read.
type checkedRoutes struct {
	File       string           `json:"file"`
	Version    dfuroute.Version `json:"version"`
	Routes     int              `json:"routes"`
	Services   int              `json:"services"`
	Workspaces int              `json:"workspaces"`
}

// validateRoutes checks files with tables of routes. The error lists each entry that nodes of
// this version would leave out.
func (c *validateCommand) validateRoutes(s *session) error {
	var all dfufinding.List
	checked := make([]checkedRoutes, 0, len(c.Args.Files))
	for _, file := range c.Args.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			all.Add(file, "%s", errors.UnwrapAll(err))
			continue
		}
		table, err := dfuroute.ParseReadable(data)
		if addFindings(&all, file, err) {
			continue
		}
		for _, f := range table.Unreadable {
			all.Add(file, "%s: %s", f.Place, f.Message)
		}
		checked = append(checked, checkedRoutes{file, table.Version, len(table.Routes), len(table.Services), len(table.Workspaces)})
	}
	if err := all.Err(); err != nil {
		return err
	}
	if s.json {
		return s.printJSON(checked)
	}
	for _, r := range checked {
		s.printf("%s: valid version %d with %d routes", r.File, r.Version, r.Routes)
	}
	return nil
}
