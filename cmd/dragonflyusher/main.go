// Command dragonflyusher is the operators' client. It changes and shows
// catalogue entries and shows the state of nodes and requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfuoperator"

	"github.com/google/uuid"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	operator := dfuoperator.New(os.Stdout, os.Stderr, newChangeID)
	status := operator.Run(ctx, os.Args[1:])
	stop()
	os.Exit(int(status))
}

// newChangeID returns an id that no other change has.
func newChangeID() dfuident.ChangeID {
	return dfuident.ChangeID(uuid.NewString())
}
