package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"dragonflyusher/measure/dfuemulator"
	"dragonflyusher/measure/dfuexperiment"
	"dragonflyusher/measure/dfureport"
	"dragonflyusher/measure/dfuscenario"

	"github.com/cockroachdb/errors"
)

// source says which scenarios to play.
type source struct {
	Days  []string `long:"day" description:"day of a site file; may be repeated"`
	Seeds int      `long:"seeds" default:"5" description:"number of seeds, from 1"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"scenario (JSON), or site file (TOML) with --day"`
	} `positional-args:"yes"`
}

// load reads the scenarios and says on standard error what isn't played.
func (s *source) load() ([]*dfuscenario.Scenario, error) {
	var all []*dfuscenario.Scenario
	if s.Seeds < 1 {
		return nil, errors.New("--seeds must be at least 1")
	}
	for _, file := range s.Args.Files {
		loaded, err := s.loadFile(file)
		if err != nil {
			return nil, err
		}
		all = append(all, loaded...)
	}
	return all, nil
}

func (s *source) loadFile(file string) ([]*dfuscenario.Scenario, error) {
	if !strings.HasSuffix(file, ".toml") {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read scenario")
		}
		scenario, err := dfuscenario.Parse(file, data)
		return []*dfuscenario.Scenario{scenario}, err
	}
	if len(s.Days) == 0 {
		return nil, errors.Newf("%s: a site file needs --day", file)
	}
	var all []*dfuscenario.Scenario
	for _, day := range s.Days {
		scenario, left, err := dfuscenario.ReadDay(file, day)
		if err != nil {
			return nil, err
		}
		if len(left) > 0 {
			fmt.Fprintf(os.Stderr, "%s: not played: %s\n", scenario.Name, strings.Join(left, ", "))
		}
		all = append(all, scenario)
	}
	return all, nil
}

// pickSchedulers returns the schedulers with the names, or all if there are none.
func pickSchedulers(names []string) ([]dfuemulator.Scheduler, error) {
	all := dfuemulator.Schedulers()
	if len(names) == 0 {
		return all, nil
	}
	var picked []dfuemulator.Scheduler
	for _, name := range names {
		i := slices.IndexFunc(all, func(s dfuemulator.Scheduler) bool { return s.Name == name })
		if i < 0 {
			return nil, errors.Newf("no such scheduler: %q", name)
		}
		picked = append(picked, all[i])
	}
	return picked, nil
}

// comparison is a source with the schedulers to compare.
type comparison struct {
	source
	Only []string `long:"only" description:"play this scheduler only; may be repeated"`
}

// play plays the scenarios with the schedulers, and returns both.
func (c *comparison) play() ([]*dfuscenario.Scenario, []dfuemulator.Scheduler, []dfuexperiment.Outcome, error) {
	scenarios, err := c.load()
	if err != nil {
		return nil, nil, nil, err
	}
	schedulers, err := pickSchedulers(c.Only)
	if err != nil {
		return nil, nil, nil, err
	}
	return scenarios, schedulers, dfuexperiment.Run(scenarios, schedulers, c.Seeds), nil
}

// show prints the figures of outcomes and the mean worth of each scheduler.
func show(outcomes []dfuexperiment.Outcome) error {
	if err := dfureport.Table(os.Stdout, outcomes); err != nil {
		return err
	}
	fmt.Println()
	return dfureport.Means(os.Stdout, outcomes)
}
