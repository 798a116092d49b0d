// Command stand plays the scripts of the review: it starts the project's programs as
// separate processes and plays workers, clients and the platform beside them.
//
//	stand CASE ROOT FOLDER
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT FOLDER")
		os.Exit(2)
	}
	root, folder := os.Args[2], os.Args[3]
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if os.Getenv("KEEP") == "" {
		atEnd(func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println(dir)
	}
	rec := newRecord(filepath.Join(folder, "record.txt"))
	trouble := os.Getenv("TROUBLE") != "0"
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
			cannotRun("interrupted")
		case <-time.After(timeLimit):
			cannotRun("it takes longer than %v", timeLimit)
		}
	}()
	rec.printf("case %s, TROUBLE=%v", os.Args[1], trouble)
	d := newDeployment(root, dir, rec)
	held := false
	switch os.Args[1] {
	case "late-heartbeats":
		held = lateHeartbeats(d, trouble)
	case "long-request":
		held = longRequest(d, trouble)
	case "idle-connections":
		held = idleConnections(d, trouble)
	case "crashing-request":
		held = crashingRequest(d, trouble)
	case "large-uploads":
		held = largeUploads(d, trouble, 2, 64_000_000)
	default:
		cannotRun("no such case: %s", os.Args[1])
	}
	if held {
		rec.printf("the rule held")
		exit(0)
	}
	rec.printf("the rule was broken")
	exit(1)
}
