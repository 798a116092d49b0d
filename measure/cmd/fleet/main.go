// Command fleet measures running nodes from outside and prints one JSON line.
// The script measure/fleet.sh starts the nodes and this program.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	var none struct{}
	parser := flags.NewParser(&none, flags.Default)
	for _, c := range []struct {
		name, does string
		command    flags.Commander
	}{
		{"rest", "measure nodes without requests, then changes of the catalogue", &restCommand{}},
		{"return", "measure the return of the nodes of a zone", &returnCommand{}},
		{"core", "measure views and choosers of a size without processes", &coreCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.does, c.does, c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
