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

// programName is what usage texts call the program.
const programName = "dragonflyusher"

// Operator runs the commands of the operators' client.
type Operator struct {
	stdout      io.Writer
	stderr      io.Writer
	newChangeID func() dfuident.ChangeID
	openStore   OpenStore
}

// OpenStore returns the store at an address, whose calls take up to a time; zero
// stands for a usual one.
type OpenStore func(address dfuident.Address, timeout dfuclock.Duration) dfustore.Store

// New returns an Operator that names each change by newChangeID, whose results
// must never repeat.
func New(stdout, stderr io.Writer, newChangeID func() dfuident.ChangeID, openStore OpenStore) *Operator {
	return &Operator{stdout: stdout, stderr: stderr, newChangeID: newChangeID, openStore: openStore}
}

// options are the flags that all commands share.
type options struct {
	Store    dfuident.Address   `long:"store" value-name:"IP:PORT" description:"address of the key-value service"`
	Node     dfuident.Address   `long:"node" value-name:"IP:PORT" description:"HTTP address of any node"`
	Settings string             `long:"settings" value-name:"FILE" description:"JSON file with store, node and timeout_ms"`
	JSON     bool               `long:"json" description:"print JSON"`
	Timeout  *dfuclock.Duration `long:"timeout-ms" value-name:"MS" description:"time for each call, 2000 if not set"`
	Version  bool               `long:"version" description:"print the version"`
}

// command is one subcommand with its own flags.
type command interface {
	run(ctx context.Context, s *session) error
}

// commandInfo describes a subcommand.
type commandInfo struct {
	name    string
	summary string
	command command
}

func commands() []commandInfo {
	return []commandInfo{
		{"apply", "write entries from files", &applyCommand{}},
		{"get", "print an entry, or what became of a change", &getCommand{}},
		{"list", "list the entries", &listCommand{}},
		{"diff", "compare entries in files with the catalogue", &diffCommand{}},
		{"delete", "delete an entry", &deleteCommand{}},
		{"watch", "print changes as they are accepted", &watchCommand{}},
		{"validate", "check files without writing", &validateCommand{}},
		{"drain", "ask a node to drain its target", &drainCommand{}},
		{"status", "show nodes and which of them lag behind", &statusCommand{}},
		{"trace", "show the way of one request", &traceCommand{}},
		{"explain", "show what logs tell of one request", &explainCommand{}},
	}
}

// session is what a command works with.
type session struct {
	stdout      io.Writer
	stderr      io.Writer
	json        bool
	settings    settings
	newChangeID func() dfuident.ChangeID
	openStore   OpenStore
	client      dfustore.Store
}

// Run runs the command that the arguments name. It prints every error that
// the command has not reported itself.
func (o *Operator) Run(ctx context.Context, args []string) ExitStatus {
	err := o.run(ctx, args)
	var findings *dfufinding.Error
	var usage *flags.Error
	switch {
	case err == nil || reported(err):
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

// parse reads the arguments and returns the command they name, or nil.
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

// version returns the module's version with the commit it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	return info.Main.Version
}

// store returns the client of the store.
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

// printf writes a line of text.
func (s *session) printf(format string, args ...any) {
	writeLine(s.stdout, format, args...)
}

// notef writes a line of text that is not part of the result.
func (s *session) notef(format string, args ...any) {
	writeLine(s.stderr, format, args...)
}

// printJSON writes a result as one line of JSON.
func (s *session) printJSON(result any) error {
	return errors.Wrap(json.NewEncoder(s.stdout).Encode(result), "print the result")
}

// writeLine writes a line of text. A terminal that went away is no reason to
// stop a command half way.
func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
