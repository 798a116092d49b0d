// Command dragonflyusherd is the node that runs beside each target.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfulog"
	"dragonflyusher/io/process/dfunode"
	"dragonflyusher/io/process/dfusettings"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
)

// version is the version of the program.
const version = "0.1.0"

// The exit statuses of the program.
const (
	exitFailed   = 1
	exitBadInput = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	var opts struct {
		Settings string `long:"settings" description:"path of the JSON settings"`
		Check    bool   `long:"check" description:"check the settings and exit"`
		Version  bool   `long:"version" description:"print the version and exit"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitBadInput
	}
	if opts.Version {
		fmt.Println("dragonflyusherd " + version)
		return 0
	}
	settings, err := dfusettings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	if opts.Check {
		return 0
	}
	return serve(settings)
}

// serve runs the node until SIGTERM or SIGINT, which drain it first.
func serve(settings dfusettings.Settings) int {
	log, level, err := dfulog.New(settings.Log.Level, zap.String("node", string(settings.Node)))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := dfunode.New(ctx, settings, log, level)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailed
	}
	if err := announce(node); err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailed
	}
	if err := node.Run(ctx); err != nil {
		log.Error("stopped with an error", zap.Error(err))
		return exitFailed
	}
	return 0
}

// announce prints where the node listens, as one JSON line.
func announce(node *dfunode.Node) error {
	callers, peers := node.Addresses()
	return json.NewEncoder(os.Stdout).Encode(struct {
		HTTP dfuident.Address `json:"http"`
		Peer dfuident.Address `json:"peer"`
	}{callers, peers})
}
