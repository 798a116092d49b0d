package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"dragonflyusher/measure/dfureport"

	"github.com/cockroachdb/errors"
)

// reportCommand writes a table and plots to a directory.
type reportCommand struct {
	comparisonOptions
	Out string `long:"out" default:"target/report" description:"directory for report.md and the plots"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	scenarios, schedulers, outcomes, err := c.runSchedulers()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "create report directory")
	}
	var names, schedulerNames []string
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	for _, s := range schedulers {
		schedulerNames = append(schedulerNames, s.Name)
	}
	for _, name := range names {
		file := strings.ReplaceAll(name, " ", "-") + ".svg"
		if err := c.write(file, func(w io.Writer) error { return dfureport.PlotWindows(w, name, outcomes) }); err != nil {
			return err
		}
	}
	err = c.write("worth.svg", func(w io.Writer) error {
		return dfureport.PlotWorth(w, "worth by scheduler", names, schedulerNames, outcomes)
	})
	if err != nil {
		return err
	}
	return c.write("report.md", func(w io.Writer) error { return dfureport.WriteTable(w, outcomes) })
}

// write creates one file of the report.
func (c *reportCommand) write(name string, fill func(io.Writer) error) error {
	path := filepath.Join(c.Out, name)
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := fill(f); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	fmt.Println(path)
	return errors.Wrap(f.Close(), "write report")
}
