// Program driver plays the cases of this review: it starts entry instances with the command of the
// deploy file, stand-ins of the platform and callers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"marigoldcroft/review/harness"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	programPath = "target/marigoldcroft"
	// longestRun limits the time of a case.
	longestRun = 110 * time.Second
)

// cases maps the name of a case to its function, which reports whether the rule held. trouble is
// false if the disruption is to be left out.
var cases = map[string]func(c *harness.Cluster, trouble bool) (held bool, err error){
	"truncated": playTruncated,
	"lastkey":   playLastKey,
	"openroute": playOpenRoute,
	"pause":     playPause,
	"foreign":   playForeign,
	"restored":  playRestored,
	"grace":     playGrace,
	"deadly":    playDeadly,
	"companion": playCompanion,
	"endless":   playEndless,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays the case and writes record.txt into the folder.
func run(name, folder string, trouble bool) int {
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return notRun(err)
	}
	defer os.RemoveAll(temporary)
	record, err := harness.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun(err)
	}
	defer record.Close()
	record.Printf("case %s, trouble %v", name, trouble)
	c, err := harness.NewCluster(programPath, temporary, record)
	if err != nil {
		return notRun(err)
	}
	closeOnce := sync.OnceFunc(c.Close)
	defer closeOnce()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		closeOnce()
		_ = os.RemoveAll(temporary)
		os.Exit(exitNotRun)
	}()
	held, err := cases[name](c, trouble)
	if err != nil {
		record.Printf("the case could not run: %v", err)
		return notRun(err)
	}
	if !held {
		record.Printf("result: the rule was broken")
		return exitBroken
	}
	record.Printf("result: the rule held")
	return exitHeld
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}
