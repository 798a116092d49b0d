// Command fleet measures running nodes from outside and prints one JSON line. The
// script measure/fleet.sh starts the nodes and this program.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	var options struct{}
	parser := flags.NewParser(&options, flags.Default)
	for _, c := range []struct {
		name, description string
		command           flags.Commander
	}{
		{"rest", "measure idle nodes, then catalogue changes", &restCommand{}},
		{"return", "measure the loss and return of the nodes of a zone", &returnCommand{}},
		{"core", "measure views and choosers for a fleet size, without running nodes", &coreCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.description, c.description, c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
