// Command relaystandin simulates the network between the processes of a test.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"dragonflyusher/standin/dfurelaystandin"

	"github.com/jessevdk/go-flags"
)

func main() {
	var opts struct {
		Config string `long:"config" required:"true" description:"path of the JSON configuration"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts.Config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var cfg dfurelaystandin.Config
	if err := json.Unmarshal(data, &cfg); err != nil {
		return err
	}
	relay, err := dfurelaystandin.New(cfg)
	if err != nil {
		return err
	}
	return relay.Run()
}
