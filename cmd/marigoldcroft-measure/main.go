// Command marigoldcroft-measure runs the measurements whose results are in
// docs/measurements.md and docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"marigoldcroft/mcmeasure"
	"marigoldcroft/mcverb"
)

const program = "marigoldcroft-measure"

func main() { os.Exit(mcverb.Main(program, verbs(), os.Args[1:], os.Stdout, os.Stderr)) }

// verbs returns all verbs in the order of the help text.
func verbs() []mcverb.Verb {
	return []mcverb.Verb{
		measureVerb("overhead", "time to first token that an entry instance adds to a short streamed request", mcmeasure.Overhead),
		measureVerb("headofline", "time to first token of short requests with and without long jobs", mcmeasure.HeadOfLine),
		measureVerb("crest", "time to first token and outcomes of urgent short requests at the peak of a load swing", mcmeasure.LoadPeak),
		measureVerb("control", "cost of membership, time to remove a failed instance, keys moved", mcmeasure.Control),
		measureVerb("actions", "store writes per at-most-once action", mcmeasure.Actions),
		measureVerb("capacity", "all measurements of docs/CAPACITY.md, printed as that page", mcmeasure.Capacity),
		emulateVerb(),
		measureVerb("goodput", "complete responses at 0.5 to 3 times the capacity", mcmeasure.Goodput),
	}
}

func measureVerb(name, summary string, measure func(context.Context, io.Writer, mcmeasure.Options) error) mcverb.Verb {
	verb := mcverb.Verb{Name: name, Summary: summary, Example: program + " " + name}
	verb.Run = func(arguments []string, stdout, stderr io.Writer) int {
		options := mcmeasure.DefaultOptions()
		policies := strings.Join(options.Policies, ",")
		p := mcverb.NewParser(program, verb)
		p.String(&policies, "p", "policies", "scheduling policies to compare, separated by commas")
		p.Int(&options.LongJobs, "l", "long-jobs", "number of callers that each keep a long prompt running")
		if err := p.ParseArgs(arguments); err != nil {
			fmt.Fprintf(stderr, "%s %s: %v\n", program, name, err)
			return mcverb.ExitUsage
		}
		options.Policies = strings.Split(policies, ",")
		ctx, cancel := mcverb.SignalContext()
		defer cancel()
		if err := measure(ctx, stdout, options); err != nil {
			fmt.Fprintf(stderr, "%s %s: %v\n", program, name, err)
			return mcverb.ExitFailed
		}
		return mcverb.ExitOK
	}
	return verb
}
