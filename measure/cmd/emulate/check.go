package main

import (
	"fmt"
	"os"

	"dragonflyusher/measure/dfuscenario"

	"github.com/cockroachdb/errors"
)

// checkCommand validates scenario files.
type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	for _, file := range c.Args.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read scenario")
		}
		if _, err := dfuscenario.Parse(file, data); err != nil {
			return err
		}
		fmt.Printf("%s: valid\n", file)
	}
	return nil
}
