// Command targetstandin runs one stand-in target for tests and demonstrations.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dragonflyusher/standin/dfutargetstandin"

	"github.com/jessevdk/go-flags"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	var opts struct {
		Name    string `long:"name" required:"true" description:"name of the target"`
		Service string `long:"service" required:"true" description:"service that it serves"`
		Node    string `long:"node" required:"true" description:"HTTP address of the node beside it"`
		Listen  string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
		Slots   int    `long:"slots" default:"12" description:"requests that run at one time"`
		WorkMS  int    `long:"work-ms" default:"2" description:"time that a request runs"`
		ColdMS  int    `long:"cold-ms" default:"0" description:"time at a tenth of the speed after start"`
		Effects string `long:"effects" description:"path of the effect log"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", opts.Listen)
	if err != nil {
		return err
	}
	target, err := dfutargetstandin.New(dfutargetstandin.Config{
		Name:    opts.Name,
		Service: opts.Service,
		Node:    opts.Node,
		Slots:   opts.Slots,
		Work:    time.Duration(opts.WorkMS) * time.Millisecond,
		Cold:    time.Duration(opts.ColdMS) * time.Millisecond,
		Effects: opts.Effects,
	}, listener)
	if err != nil {
		return err
	}
	ready := struct {
		Listening string `json:"listening"`
	}{listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(ready); err != nil {
		return err
	}
	return target.Run(ctx)
}
