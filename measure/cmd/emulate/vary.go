package main

import (
	"fmt"

	"dragonflyusher/measure/dfuemulator"
	"dragonflyusher/measure/dfuexperiment"

	"github.com/cockroachdb/errors"
)

// varyCommand prints a table of the results for several values of one parameter.
type varyCommand struct {
	scenarioOptions
	Vary string `long:"vary" description:"NAME=VALUE,VALUE"`
	List bool   `long:"list" description:"list the parameters and end"`
}

// Execute implements flags.Commander.
func (c *varyCommand) Execute([]string) error {
	if c.List {
		for _, p := range dfuexperiment.Parameters() {
			fmt.Printf("%-16s %s\n", p.Name, p.Help)
		}
		return nil
	}
	if c.Vary == "" {
		return errors.New("--vary or --list is required")
	}
	scenarios, err := c.load()
	if err != nil {
		return err
	}
	schedulers, err := dfuexperiment.Vary(dfuemulator.Current(), c.Vary)
	if err != nil {
		return err
	}
	return printOutcomes(dfuexperiment.Run(scenarios, schedulers, c.Seeds))
}
