// Command marigoldcroft-standin runs one stand-in of an outside system.
package main

import (
	"io"
	"os"

	"marigoldcroft/mcverb"
)

const program = "marigoldcroft-standin"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(arguments []string, stdout, stderr io.Writer) int {
	return mcverb.Main(program, verbs(), arguments, stdout, stderr)
}

// verbs is the lookup table, in the order of the help text.
func verbs() []mcverb.Verb {
	return []mcverb.Verb{engineVerb(), serviceVerb(), storeVerb(), instancesVerb()}
}
