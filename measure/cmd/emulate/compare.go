package main

import (
	"fmt"
	"os"

	"dragonflyusher/measure/dfuexperiment"
	"dragonflyusher/measure/dfureport"
)

// compareCommand prints a table of schedulers.
type compareCommand struct {
	source
	Only []string `long:"only" description:"play this scheduler only; may be repeated"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	scenarios, err := c.load()
	if err != nil {
		return err
	}
	schedulers, err := pickSchedulers(c.Only)
	if err != nil {
		return err
	}
	outcomes := dfuexperiment.Run(scenarios, schedulers, c.Seeds)
	if err := dfureport.Table(os.Stdout, outcomes); err != nil {
		return err
	}
	fmt.Println()
	return dfureport.Means(os.Stdout, outcomes)
}
