// Command marigoldcroft-measure reproduces the figures of docs/measurements.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"marigoldcroft/mcmeasure"
	"marigoldcroft/mcverb"
)

const program = "marigoldcroft-measure"

func main() { os.Exit(mcverb.Main(program, verbs(), os.Args[1:], os.Stdout, os.Stderr)) }

// verbs is the lookup table, in the order of the help text.
func verbs() []mcverb.Verb {
	return []mcverb.Verb{
		measureVerb("overhead", "what an entry instance adds to a streamed short request", mcmeasure.Overhead),
		measureVerb("headofline", "short requests with and without long jobs", mcmeasure.HeadOfLine),
		measureVerb("crest", "urgent short requests at the crest of a swing", mcmeasure.Crest),
		measureVerb("goodput", "whole answers at half to three times the capacity", mcmeasure.Goodput),
	}
}

func measureVerb(name, summary string, measure func(context.Context, io.Writer) error) mcverb.Verb {
	return mcverb.Verb{
		Name: name, Summary: summary, Example: program + " " + name,
		Run: func(_ []string, stdout, stderr io.Writer) int {
			ctx, cancel := mcverb.UntilSignal()
			defer cancel()
			if err := measure(ctx, stdout); err != nil {
				fmt.Fprintf(stderr, "%s %s: %v\n", program, name, err)
				return mcverb.ExitFailed
			}
			return mcverb.ExitDone
		},
	}
}
