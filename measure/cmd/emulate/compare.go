package main

// compareCommand prints a table that compares schedulers.
type compareCommand struct {
	comparisonOptions
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	_, _, outcomes, err := c.runSchedulers()
	if err != nil {
		return err
	}
	return printOutcomes(outcomes)
}
