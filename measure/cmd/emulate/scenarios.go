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

// scenarioOptions selects the scenarios and seeds to run.
type scenarioOptions struct {
	Days  []string `long:"day" description:"day of a site file; may be repeated"`
	Seeds int      `long:"seeds" default:"5" description:"number of seeds, from 1"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"scenario (JSON), or site file (TOML) with --day"`
	} `positional-args:"yes"`
}

// load reads the scenarios and lists their unsupported disruptions on standard error.
func (s *scenarioOptions) load() ([]*dfuscenario.Scenario, error) {
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

func (s *scenarioOptions) loadFile(file string) ([]*dfuscenario.Scenario, error) {
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
		scenario, unsupported, err := dfuscenario.ReadDay(file, day)
		if err != nil {
			return nil, err
		}
		if len(unsupported) > 0 {
			fmt.Fprintf(os.Stderr, "%s: unsupported disruptions, left out: %s\n", scenario.Name, strings.Join(unsupported, ", "))
		}
		all = append(all, scenario)
	}
	return all, nil
}

// selectSchedulers returns the schedulers with the given names, or all if there are
// none.
func selectSchedulers(names []string) ([]dfuemulator.Scheduler, error) {
	all := dfuemulator.Schedulers()
	if len(names) == 0 {
		return all, nil
	}
	var selected []dfuemulator.Scheduler
	for _, name := range names {
		i := slices.IndexFunc(all, func(s dfuemulator.Scheduler) bool { return s.Name == name })
		if i < 0 {
			return nil, errors.Newf("no such scheduler: %q", name)
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

// comparisonOptions selects scenarios and schedulers.
type comparisonOptions struct {
	scenarioOptions
	Only []string `long:"only" description:"run only this scheduler; may be repeated"`
}

// runSchedulers runs the scenarios with the schedulers and returns all three.
func (c *comparisonOptions) runSchedulers() ([]*dfuscenario.Scenario, []dfuemulator.Scheduler, []dfuexperiment.Outcome, error) {
	scenarios, err := c.load()
	if err != nil {
		return nil, nil, nil, err
	}
	schedulers, err := selectSchedulers(c.Only)
	if err != nil {
		return nil, nil, nil, err
	}
	return scenarios, schedulers, dfuexperiment.Run(scenarios, schedulers, c.Seeds), nil
}

// printOutcomes prints the figures of outcomes and the mean worth of each scheduler.
func printOutcomes(outcomes []dfuexperiment.Outcome) error {
	if err := dfureport.WriteTable(os.Stdout, outcomes); err != nil {
		return err
	}
	fmt.Println()
	return dfureport.WriteMeans(os.Stdout, outcomes)
}
