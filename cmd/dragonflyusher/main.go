// Command dragonflyusher is the command-line client for operators. It changes and
// shows catalogue entries and shows the state of nodes and requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfuoperator"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/platform"

	"github.com/google/uuid"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	operator := dfuoperator.New(os.Stdout, os.Stderr, newChangeID, openStore)
	status := operator.Run(ctx, os.Args[1:])
	stop()
	os.Exit(int(status))
}

// newChangeID returns a random UUID, which identifies one change.
func newChangeID() dfuident.ChangeID {
	return dfuident.ChangeID(uuid.NewString())
}

// openStore returns a client of the platform's key-value service at the address.
func openStore(address dfuident.Address, timeout dfuclock.Duration) dfustore.Store {
	return dfuplatform.NewStore(dfuplatform.StoreConfig{Address: address, Timeout: timeout})
}
