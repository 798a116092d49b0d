// Command emulate runs scenarios on a virtual clock, compares schedulers and varies
// their parameters.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

// exitBadInput is the exit status for invalid arguments and files.
const exitBadInput = 2

func main() {
	parser := flags.NewParser(nil, flags.Default)
	for _, c := range []struct {
		name, short string
		command     flags.Commander
	}{
		{"compare", "run scenarios with several schedulers", &compareCommand{}},
		{"vary", "run scenarios with the current scheduler and several values of a parameter", &varyCommand{}},
		{"report", "write tables and plots of a comparison", &reportCommand{}},
		{"check", "check scenario files", &checkCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitBadInput)
	}
}
