// Command storestandin serves a stand-in for the platform's key-value service.
//
// When it is ready, it prints the address that it listens on as one JSON line.
package main

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/standin/dfustorestandin"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

func main() {
	var options struct {
		Listen string `long:"listen" default:"127.0.0.1:0" description:"IP address and port to listen on"`
		Delay  int64  `long:"delay-ms" description:"delay of each call, in ms"`
	}
	if _, err := flags.Parse(&options); err != nil {
		os.Exit(2)
	}
	if err := run(options.Listen, dfuclock.Duration(options.Delay)); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

// run serves until SIGINT or SIGTERM.
func run(listen string, delay dfuclock.Duration) error {
	server, err := dfustorestandin.New(listen, dfustorestandin.Switches{Delay: delay})
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	err = json.NewEncoder(os.Stdout).Encode(struct {
		Listening dfuident.Address `json:"listening"`
	}{server.Address()})
	if err != nil {
		return errors.CombineErrors(err, server.Close())
	}
	<-stop
	return server.Close()
}
