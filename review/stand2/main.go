// Command stand2 plays the cases of the second review that are scripts. It starts the
// project's programs as separate processes, together with stand-ins of workers, clients, the
// network and the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// longestCase is the time after which a case ends whatever it has seen.
const longestCase = 115 * time.Second

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(ctx context.Context, r *record, root string, trouble bool) (broken bool, err error){
	"backlog": playBacklog,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return exitCannotRun
	}
	dir, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	r, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), longestCase)
	defer cancel()
	root := filepath.Dir(filepath.Dir(dir))
	broken, err := cases[os.Args[1]](ctx, r, root, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitCannotRun
	case broken:
		r.say("the rule was broken")
		return exitBroken
	default:
		r.say("the rule held")
		return exitHeld
	}
}
