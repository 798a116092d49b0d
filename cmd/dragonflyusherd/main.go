// Command dragonflyusherd is the daemon that runs a node next to each target.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/process/dfulog"
	"dragonflyusher/io/process/dfunode"
	"dragonflyusher/io/process/dfusettings"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/platform"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
)

const version = "0.1.0"

// runtimeMemoryPercent is the memory limit of the Go runtime in percent of
// limits.memory_mb. The rest is headroom for memory that the runtime does not count,
// such as kernel buffers and the program's binary.
const runtimeMemoryPercent = 70

// The exit statuses for failures.
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
	return serve(opts.Settings, settings)
}

// serve runs the node until SIGTERM or SIGINT, then drains it, and returns the exit
// status. It reloads the settings when the file at path changes, at once on SIGHUP.
func serve(path string, settings dfusettings.Settings) int {
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.Limits.MemoryMB) << 20 * runtimeMemoryPercent / 100)
	}
	out := os.Stderr
	if settings.Log.Output == dfusettings.OutputStdout {
		out = os.Stdout
	}
	log, err := dfulog.New(dfulog.Config{
		Level: settings.Log.Level, LinesPerSecond: settings.Log.LinesPerS, Out: out,
	}, zap.String("node", string(settings.Node)))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := dfunode.New(ctx, settings, adapters(settings), log)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailed
	}
	if err := printAddresses(node); err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailed
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go node.WatchSettings(ctx, path, hangup)
	if err := node.Run(ctx); err != nil {
		log.Error("stopped with an error", zap.Error(err))
		return exitFailed
	}
	return 0
}

// adapters returns the adapters to the store, the callers and the target for the
// protocol in the settings.
func adapters(settings dfusettings.Settings) dfunode.Adapters {
	a := dfunode.Adapters{
		Store: func(count func(call, result string)) dfustore.Store {
			return dfuplatform.NewStore(dfuplatform.StoreConfig{
				Address: settings.Store.Address, Timeout: settings.Store.Timeout,
				Count: func(call dfuplatform.StoreCall, result string) { count(string(call), result) },
			})
		},
		Callers: dfufront.Native{},
		Targets: dfutarget.Native{},
	}
	if settings.Protocol == dfusettings.ProtocolPlatform {
		a.Callers = dfuplatform.Callers{}
		a.Targets = dfuplatform.Targets{}
		a.Routed = true
	}
	return a
}

// printAddresses prints the addresses that the node listens on as one JSON line.
func printAddresses(node *dfunode.Node) error {
	callers, peers := node.Addresses()
	return json.NewEncoder(os.Stdout).Encode(struct {
		HTTP dfuident.Address `json:"http"`
		Peer dfuident.Address `json:"peer"`
	}{callers, peers})
}
