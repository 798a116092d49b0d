package dfuoperator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/io/process/dfuoperator"
	"dragonflyusher/standin/dfustorestandin"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

// TestRacingOperators drains different nodes of one service concurrently while
// the store loses requests and replies. A drain that was reported as accepted
// must be in force, and one reported as rejected must not.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	const operators, rounds = 4, 8
	server, err := dfustorestandin.New("127.0.0.1:0", dfustorestandin.Switches{})
	is.NoErr(err)
	defer server.Close()
	run := func(stdout io.Writer, args ...string) dfuoperator.ExitStatus {
		id := func() dfuident.ChangeID { return dfuident.ChangeID(uuid.NewString()) }
		args = append([]string{"--store", string(server.Address())}, args...)
		return dfuoperator.New(stdout, io.Discard, id, openStore).Run(context.Background(), args)
	}
	is.Equal(run(io.Discard, "apply", "--create", "../../../deploy/pilzgarten/catalogue/lager.json"), dfuoperator.ExitOK)

	statuses := make([][rounds]dfuoperator.ExitStatus, operators)
	var wait sync.WaitGroup
	for o := range operators {
		wait.Go(func() {
			for r := range rounds {
				server.Switch(dfustorestandin.Switches{LoseRequests: r % 2, LoseReplies: r % 3})
				statuses[o][r] = run(io.Discard, "drain", node(o, r), "--service", "lager")
			}
		})
	}
	wait.Wait()

	server.Switch(dfustorestandin.Switches{})
	var text strings.Builder
	is.Equal(run(&text, "get", "lager"), dfuoperator.ExitOK)
	var entry dfucatalogue.Entry
	is.NoErr(json.Unmarshal([]byte(text.String()), &entry))
	for o := range operators {
		for r, status := range statuses[o] {
			inForce := slices.Contains(entry.Drain, dfuident.NodeID(node(o, r)))
			switch status {
			case dfuoperator.ExitOK:
				is.True(inForce) // accepted
			case dfuoperator.ExitConflict:
				is.True(!inForce) // rejected
			default:
				is.Equal(status, dfuoperator.ExitUnknown)
			}
		}
	}
}

func node(operator, round int) string {
	return fmt.Sprintf("lager-%d-%d", operator, round)
}
