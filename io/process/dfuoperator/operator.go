package dfuoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// programName is the name of the program in usage and error messages.
const programName = "dragonflyusher"

// Operator runs the commands of the operators' client.
type Operator struct {
	stdout      io.Writer
	stderr      io.Writer
	newChangeID func() dfuident.ChangeID
	openStore   OpenStore
}

// OpenStore returns a client of the store at an address. Timeout applies to each
// call; zero selects the client's default.
type OpenStore func(address dfuident.Address, timeout dfuclock.Duration) dfustore.Store

// New returns an Operator. It assigns each change an id from newChangeID, which
// must never return the same id twice.
func New(stdout, stderr io.Writer, newChangeID func() dfuident.ChangeID, openStore OpenStore) *Operator {
	return &Operator{stdout: stdout, stderr: stderr, newChangeID: newChangeID, openStore: openStore}
}

// options holds the flags shared by all commands.
type options struct {
	Store    dfuident.Address   `long:"store" value-name:"IP:PORT" description:"address of the key-value service"`
	Node     dfuident.Address   `long:"node" value-name:"IP:PORT" description:"HTTP address of any node"`
	Settings string             `long:"settings" value-name:"FILE" description:"JSON file with store, node and timeout_ms"`
	JSON     bool               `long:"json" description:"print JSON"`
	Timeout  *dfuclock.Duration `long:"timeout-ms" value-name:"MS" description:"time for each call, 2000 if not set"`
	Version  bool               `long:"version" description:"print the version"`
}

// command is a subcommand. Its exported fields define its flags.
type command interface {
	run(ctx context.Context, s *session) error
}

// commandInfo is a subcommand with its name and its summary in the help text.
type commandInfo struct {
	name    string
	summary string
	command command
}

func commands() []commandInfo {
	return []commandInfo{
		{"apply", "write entries from files", &applyCommand{}},
		{"get", "print an entry or the result of a change", &getCommand{}},
		{"list", "list the entries", &listCommand{}},
		{"diff", "compare entries in files with the catalogue", &diffCommand{}},
		{"delete", "delete an entry", &deleteCommand{}},
		{"watch", "print changes as they are accepted", &watchCommand{}},
		{"validate", "check files without writing", &validateCommand{}},
		{"drain", "drain the target of a node", &drainCommand{}},
		{"status", "show the nodes and which of them lag behind", &statusCommand{}},
		{"trace", "show the trace of a request", &traceCommand{}},
		{"route", "show where a request would go now, without sending it", &routeCommand{}},
		{"explain", "show the log lines of a request", &explainCommand{}},
	}
}

// session is the context in which a command runs.
type session struct {
	stdout      io.Writer
	stderr      io.Writer
	json        bool
	settings    settings
	newChangeID func() dfuident.ChangeID
	openStore   OpenStore
	client      dfustore.Store
}

// Run executes the command named by the arguments. It prints the returned error
// unless the command has already reported it.
func (o *Operator) Run(ctx context.Context, args []string) ExitStatus {
	err := o.run(ctx, args)
	var findings *dfufinding.Error
	var usage *flags.Error
	switch {
	case err == nil || isReported(err):
	case errors.As(err, &findings):
		writeLine(o.stderr, "%s", findings)
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		writeLine(o.stdout, "%s", usage.Message)
	default:
		writeLine(o.stderr, "%s: %s", programName, err)
	}
	return exitStatus(err)
}

func (o *Operator) run(ctx context.Context, args []string) error {
	var global options
	active, err := parse(&global, args)
	if err != nil {
		return err
	}
	if global.Version {
		writeLine(o.stdout, "%s %s", programName, version())
		return nil
	}
	if active == nil {
		return badInput("name a command; --help lists them")
	}
	loaded, err := loadSettings(&global)
	if err != nil {
		return err
	}
	s := &session{
		stdout:      o.stdout,
		stderr:      o.stderr,
		json:        global.JSON,
		settings:    loaded,
		newChangeID: o.newChangeID,
		openStore:   o.openStore,
	}
	defer s.close()
	return active.run(ctx, s)
}

// parse parses the arguments and returns the command they name, or nil if they
// name none.
func parse(global *options, args []string) (command, error) {
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Global options", "", global); err != nil {
		return nil, errors.Wrap(err, "define flags")
	}
	byName := make(map[string]command)
	for _, c := range commands() {
		byName[c.name] = c.command
		if _, err := parser.AddCommand(c.name, c.summary, "", c.command); err != nil {
			return nil, errors.Wrapf(err, "define command %s", c.name)
		}
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return nil, err
	}
	switch {
	case len(rest) > 0 && parser.Active == nil:
		return nil, badInput("no command %q; --help lists them", rest[0])
	case len(rest) > 0:
		return nil, badInput("unexpected %q", strings.Join(rest, " "))
	case parser.Active == nil:
		return nil, nil
	}
	return byName[parser.Active.Name], nil
}

// version returns the version of the main module, which includes the commit that
// it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	return info.Main.Version
}

// store returns the client of the store, which it opens on the first call.
func (s *session) store() (dfustore.Store, error) {
	if s.settings.Store == "" {
		return nil, badInput("set --store, or store in the settings file")
	}
	if s.client == nil {
		s.client = s.openStore(s.settings.Store, s.settings.Timeout)
	}
	return s.client, nil
}

func (s *session) close() {
	if s.client != nil {
		s.client.Close()
	}
}

// printf writes a line to standard output.
func (s *session) printf(format string, args ...any) {
	writeLine(s.stdout, format, args...)
}

// notef writes a line that isn't part of the result to standard error.
func (s *session) notef(format string, args ...any) {
	writeLine(s.stderr, format, args...)
}

// printJSON writes a result to standard output as one line of JSON.
func (s *session) printJSON(result any) error {
	return errors.Wrap(json.NewEncoder(s.stdout).Encode(result), "print the result")
}

// writeLine writes a line of text. It ignores write errors, so that a closed
// terminal doesn't abort a command halfway.
func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
