package dfuoperator_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/io/process/dfustore"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfuoperator"
	"dragonflyusher/platform"
	"dragonflyusher/standin/dfustorestandin"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "update the transcripts in testdata")

// TestSessions runs each script of testdata against its own store stand-in. The
// custom commands append their output to the file transcript, which the script
// compares with the expected one.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup:         setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"operator": runOperator,
			"switch":   setSwitches,
			"put":      putValue,
			"counts":   countCalls,
			"node":     startNode,
		},
	})
}

// commandTimeout is a generous limit that only a hanging command reaches.
const commandTimeout = time.Minute

type storeKey struct{}

func setup(env *testscript.Env) error {
	server, err := dfustorestandin.New("127.0.0.1:0", dfustorestandin.Switches{})
	if err != nil {
		return err
	}
	env.Defer(func() { _ = server.Close() })
	env.Values[storeKey{}] = server
	env.Setenv("STORE", string(server.Address()))
	deploy, err := filepath.Abs("../../../deploy")
	env.Setenv("DEPLOY", deploy)
	return err
}

func store(ts *testscript.TestScript) *dfustorestandin.Server {
	return ts.Value(storeKey{}).(*dfustorestandin.Server)
}

// runOperator runs the operators' client: "operator CHANGE-ID ARGUMENT...". In
// the transcript it replaces addresses by the names of their variables, and the
// paths of files by their base names.
func runOperator(ts *testscript.TestScript, _ bool, args []string) {
	var stdout, stderr strings.Builder
	id := func() dfuident.ChangeID { return dfuident.ChangeID(args[0]) }
	arguments := slices.Clone(args[1:])
	for i, a := range arguments {
		if strings.HasSuffix(a, ".json") {
			arguments[i] = ts.MkAbs(a)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	status := dfuoperator.New(&stdout, &stderr, id, openStore).Run(ctx, arguments)
	text := fmt.Sprintf("> dragonflyusher %s\n%s%s", strings.Join(args[1:], " "), stdout.String(), stderr.String())
	text = strings.ReplaceAll(text, ts.MkAbs(".")+"/", "")
	if status != dfuoperator.ExitOK {
		text += fmt.Sprintf("exit status %d\n", status)
	}
	for _, name := range []string{"STORE", "NODE1", "NODE2", "NODE3", "DEPLOY"} {
		if value := ts.Getenv(name); value != "" {
			text = strings.ReplaceAll(text, value, "$"+name)
		}
	}
	appendTranscript(ts, text)
}

func appendTranscript(ts *testscript.TestScript, text string) {
	file, err := os.OpenFile(ts.MkAbs("transcript"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	_, err = file.WriteString(text)
	ts.Check(err)
	ts.Check(file.Close())
}

// setSwitches sets the faults that the store injects: "switch JSON".
func setSwitches(ts *testscript.TestScript, _ bool, args []string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+ts.Getenv("STORE")+"/admin", strings.NewReader(args[0]))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	ts.Check(response.Body.Close())
	appendTranscript(ts, "store "+args[0]+"\n")
}

// putValue writes a value to the store without the operators' client: "put KEY
// VALUE".
func putValue(ts *testscript.TestScript, _ bool, args []string) {
	client := dfuplatform.NewStore(dfuplatform.StoreConfig{Address: store(ts).Address()})
	defer client.Close()
	record, err := client.Get(context.Background(), args[0])
	ts.Check(err)
	_, err = client.CompareAndSwap(context.Background(), args[0], record.Revision, []byte(args[1]), 0)
	ts.Check(err)
	appendTranscript(ts, "put "+strings.Join(args, " ")+"\n")
}

// countCalls records the number of calls that the store has received: "counts".
func countCalls(ts *testscript.TestScript, _ bool, _ []string) {
	c := store(ts).Counts()
	appendTranscript(ts, fmt.Sprintf("store calls: get %d, list %d, watch %d, compare-and-swap %d\n",
		c.Get, c.List, c.Watch, c.Commit))
}

// startNode serves the files of a directory as the status pages of a node and
// sets a variable to its address: "node VARIABLE DIRECTORY". Variables in the
// files are expanded.
func startNode(ts *testscript.TestScript, _ bool, args []string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := os.ReadFile(filepath.Join(ts.MkAbs(args[1]), filepath.Base(r.URL.Path)+".json"))
		if err != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprint(w, os.Expand(string(data), ts.Getenv))
	}))
	ts.Defer(server.Close)
	ts.Setenv(args[0], server.Listener.Addr().String())
}

func openStore(address dfuident.Address, timeout dfuclock.Duration) dfustore.Store {
	return dfuplatform.NewStore(dfuplatform.StoreConfig{Address: address, Timeout: timeout})
}
