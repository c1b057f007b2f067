package mccommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"marigoldcroft/mcentry"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcverb"
)

func serveVerb() Verb {
	return Verb{
		Name:    "serve",
		Summary: "run an entry instance",
		Example: "marigoldcroft serve --config entry.yaml",
		Run:     runServe,
	}
}

func runServe(arguments []string, stdout, stderr io.Writer) int {
	file := "entry.yaml"
	p := mcverb.NewParser(program, serveVerb())
	p.String(&file, "c", "config", "settings file")
	if err := p.ParseArgs(arguments); err != nil {
		fmt.Fprintf(stderr, "marigoldcroft serve: %v\n", err)
		return exitUsage
	}
	settings, err := mcsetting.Load(file)
	if err != nil {
		fmt.Fprintf(stderr, "marigoldcroft serve: %v\n", err)
		return exitUsage
	}
	ctx, abort := stopSignals()
	run := (&mcentry.Entry{Settings: settings, Output: stdout, Abort: abort}).Run
	if settings.Forward.Address != "" {
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		run = (&mcentry.Forwarding{Settings: settings, Output: stdout, Abort: abort, SettingsFile: file, Hangup: hangup}).Run
	}
	if err := run(ctx); err != nil {
		fmt.Fprintf(stderr, "marigoldcroft serve: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// stopSignals returns a context that the first SIGINT or SIGTERM cancels, to begin a planned
// stop, and a channel that the second one closes, to abort it.
func stopSignals() (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	abort := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		<-signals
		close(abort)
	}()
	return ctx, abort
}
