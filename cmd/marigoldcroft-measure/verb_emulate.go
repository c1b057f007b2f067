package main

import (
	"fmt"
	"io"
	"os"

	"marigoldcroft/mcemulate"
	"marigoldcroft/mcverb"
)

// emulateVerb compares scheduling policies on emulated engines in the experiment that a file
// describes.
func emulateVerb() mcverb.Verb {
	return mcverb.Verb{
		Name:    "emulate",
		Summary: "comparison of scheduling policies on emulated engines in simulated time",
		Example: program + " emulate --experiment examples/crest.yaml",
		Run:     runEmulate,
	}
}

func runEmulate(arguments []string, stdout, stderr io.Writer) int {
	file := "examples/crest.yaml"
	p := mcverb.NewParser(program, emulateVerb())
	p.String(&file, "e", "experiment", "experiment file")
	if err := p.ParseArgs(arguments); err != nil {
		fmt.Fprintf(stderr, "%s emulate: %v\n", program, err)
		return mcverb.ExitUsage
	}
	text, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintf(stderr, "%s emulate: %v\n", program, err)
		return mcverb.ExitUsage
	}
	experiment, err := mcemulate.Decode(text)
	if err != nil {
		fmt.Fprintf(stderr, "%s emulate: %v\n", program, err)
		return mcverb.ExitUsage
	}
	if err := experiment.Compare(stdout); err != nil {
		fmt.Fprintf(stderr, "%s emulate: %v\n", program, err)
		return mcverb.ExitFailed
	}
	return mcverb.ExitOK
}
