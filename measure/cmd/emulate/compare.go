package main

// compareCommand prints a table of schedulers.
type compareCommand struct {
	comparison
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	_, _, outcomes, err := c.play()
	if err != nil {
		return err
	}
	return show(outcomes)
}
