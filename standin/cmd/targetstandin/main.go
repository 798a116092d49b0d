// Command targetstandin runs one stand-in for a target, for tests and
// demonstrations.
//
// When it is ready, it prints the address that it listens on as one JSON line. On
// SIGTERM or SIGINT it drains and exits.
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
		Service string `long:"service" required:"true" description:"service that the target serves"`
		Node    string `long:"node" required:"true" description:"HTTP address of the local node"`
		Listen  string `long:"listen" default:"127.0.0.1:0" description:"IP address and port to listen on"`
		Slots   int    `long:"slots" default:"12" description:"maximum number of concurrent requests"`
		WorkMS  int    `long:"work-ms" default:"2" description:"time that a request runs, in ms"`
		ColdMS  int    `long:"cold-ms" default:"0" description:"time after the start in which requests take ten times as long, in ms"`
		Effects string `long:"effects" description:"path of the effect log; no log if empty"`
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
