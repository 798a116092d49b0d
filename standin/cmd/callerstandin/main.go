// Command callerstandin makes calls to nodes or targets and prints a
// summary for each service, one JSON line each.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"dragonflyusher/standin/dfucallerstandin"

	"github.com/jessevdk/go-flags"
)

func main() {
	var opts struct {
		Nodes       []string `long:"node" required:"true" description:"HTTP address of a node, repeatable"`
		Services    []string `long:"service" required:"true" description:"service to call, repeatable"`
		Calls       int      `long:"calls" default:"100" description:"calls to each service"`
		Concurrency int      `long:"concurrency" default:"4" description:"concurrent calls"`
		DeadlineMS  int      `long:"deadline-ms" default:"2000" description:"deadline of a call in ms"`
		URI         string   `long:"uri" default:"/work" description:"path and query of a call"`
		BodyBytes   int      `long:"body-bytes" default:"0" description:"size of the request body in bytes"`
		PauseUS     int      `long:"pause-us" default:"0" description:"pause between two calls of a worker in microseconds"`
		Direct      bool     `long:"direct" description:"the addresses are targets, not nodes"`
		WaitMS      int      `long:"wait-ms" default:"0" description:"first wait until each node answers a call to each service, up to this time in ms"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	cfg := dfucallerstandin.Config{
		Nodes:       opts.Nodes,
		Services:    opts.Services,
		Calls:       opts.Calls,
		Concurrency: opts.Concurrency,
		DeadlineMS:  opts.DeadlineMS,
		URI:         opts.URI,
		Body:        make([]byte, opts.BodyBytes),
		Pause:       time.Duration(opts.PauseUS) * time.Microsecond,
		Direct:      opts.Direct,
	}
	if opts.WaitMS > 0 {
		if err := dfucallerstandin.Wait(cfg, time.Duration(opts.WaitMS)*time.Millisecond); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	encoder := json.NewEncoder(os.Stdout)
	for _, summary := range dfucallerstandin.Run(cfg) {
		if err := encoder.Encode(summary); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
