// Package mccommand holds the verbs of the command line, one file each.
package mccommand

import (
	"fmt"
	"io"
)

// The exit codes of every verb.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitConflict
	// exitNotInForce means accepted, but not yet in force everywhere.
	exitNotInForce
)

// Verb is one entry of the lookup table.
type Verb struct {
	// Name is what the user types.
	Name string
	// Summary is one line for the list of verbs.
	Summary string
	// Example is a command line that works.
	Example string
	// Run parses the arguments after the name and returns the exit code.
	Run func(arguments []string, stdout, stderr io.Writer) int
}

// verbs is the lookup table, in the order of the help text.
func verbs() []Verb {
	return []Verb{
		applyVerb(),
		validateVerb(),
		getVerb(),
		historyVerb(),
		deleteVerb(),
		rollbackVerb(),
		statusVerb(),
		drainVerb(),
		endpointVerb(),
		explainVerb(),
		jobVerb(),
		quarantineVerb(),
		completionVerb(),
		versionVerb(),
	}
}

// Main runs the verb that arguments name and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) == 0 || arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help" {
		printVerbs(stdout)
		return exitDone
	}
	for _, verb := range verbs() {
		if verb.Name == arguments[0] {
			return verb.Run(arguments[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "marigoldcroft: unknown verb %q; see marigoldcroft --help\n", arguments[0])
	return exitUsage
}

func printVerbs(w io.Writer) {
	fmt.Fprintln(w, "Usage: marigoldcroft VERB [arguments]")
	fmt.Fprintln(w)
	for _, verb := range verbs() {
		fmt.Fprintf(w, "  %-12s %s\n", verb.Name, verb.Summary)
	}
}
