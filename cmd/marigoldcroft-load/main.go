// Command marigoldcroft-load sends a mix of short and long requests to entry instances and
// reports the time to first token, refusals and outcomes.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"marigoldcroft/mcload"
	"marigoldcroft/mcverb"
)

const program = "marigoldcroft-load"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// options are the values of the command-line flags.
type options struct {
	targets, key, template, longTemplate string
	rate, swing, longShare               float64
	duration                             time.Duration
	seed                                 uint64
	retryNow, json                       bool
}

func run(arguments []string, stdout, stderr io.Writer) int {
	o := options{
		targets: "http://127.0.0.1:7001", key: "copo-key", template: "caption", longTemplate: "comparison",
		rate: 20, longShare: 0.02, duration: 10 * time.Second, seed: 1,
	}
	if err := parse(&o, arguments); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return mcverb.ExitUsage
	}
	ctx, cancel := mcverb.SignalContext()
	defer cancel()
	report := mcload.Run(ctx, o.settings())
	write := report.WriteTable
	if o.json {
		write = report.WriteJSON
	}
	if err := write(stdout); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return mcverb.ExitFailed
	}
	return mcverb.ExitOK
}

func parse(o *options, arguments []string) error {
	p := flaggy.NewParser(program)
	p.Description = "send a mixed load and report time to first token, refusals and outcomes"
	p.AdditionalHelpAppend = "\nExample: " + program + " --targets http://127.0.0.1:7001 --key copo-key --rate 50 --swing 5 --retry-now"
	p.DisableShowVersionWithVersion()
	p.String(&o.targets, "t", "targets", "base URLs of entry instances, separated by commas")
	p.String(&o.key, "k", "key", "bearer key of the team")
	p.String(&o.template, "s", "template", "template for short prompts")
	p.String(&o.longTemplate, "l", "long-template", "template for long prompts")
	p.Float64(&o.rate, "r", "rate", "request arrivals per second")
	p.Float64(&o.longShare, "", "long-share", "share of requests with prompts of at least 100,000 tokens")
	p.Float64(&o.swing, "w", "swing", "factor on the arrival rate in the middle third of the run; 0: constant rate")
	p.Duration(&o.duration, "d", "duration", "time in which requests arrive")
	p.UInt64(&o.seed, "", "seed", "random seed of prompt lengths and arrival times")
	p.Bool(&o.retryNow, "", "retry-now", "retry refused requests without a delay, as partners' software does")
	p.Bool(&o.json, "j", "json", "print JSON instead of a table")
	return p.ParseArgs(arguments)
}

func (o *options) settings() mcload.Settings {
	return mcload.Settings{
		Targets: strings.Split(o.targets, ","), Key: o.key, Seed: o.seed, Rate: o.rate, Duration: o.duration, RetryRefusals: o.retryNow,
		RateRise: mcload.RateRise{Start: o.duration / 3, Ramp: 2 * time.Second, Length: o.duration / 3, Factor: o.swing},
		Classes: []mcload.Class{
			{Name: "short", Template: o.template, Weight: 1 - o.longShare, MinTokens: 1000, MaxTokens: 4000, OutputTokens: 20, Deadline: 10 * time.Second},
			{Name: "long", Template: o.longTemplate, Weight: o.longShare, MinTokens: 100_000, MaxTokens: 1_000_000, OutputTokens: 20, Deadline: 2 * time.Minute},
		},
	}
}
