// Command marigoldcroft-standin runs a stand-in (simulator) of one external system: a model
// engine, a plain service, the object store or the instance list.
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

// verbs returns all verbs in the order of the help text.
func verbs() []mcverb.Verb {
	return []mcverb.Verb{engineVerb(), serviceVerb(), storeVerb(), instancesVerb()}
}
