// Package mccommand holds the verbs of the command line, one file each.
package mccommand

import (
	"io"

	"marigoldcroft/mcverb"
)

// The exit codes of every verb.
const (
	exitDone     = mcverb.ExitDone
	exitFailed   = mcverb.ExitFailed
	exitUsage    = mcverb.ExitUsage
	exitConflict = mcverb.ExitConflict
	// exitNotInForce means accepted, but not yet in force everywhere.
	exitNotInForce = mcverb.ExitNotInForce
)

const program = "marigoldcroft"

// Verb is one entry of the lookup table.
type Verb = mcverb.Verb

// verbs is the lookup table, in the order of the help text.
func verbs() []Verb {
	return []Verb{
		serveVerb(), applyVerb(), deleteVerb(), rollbackVerb(), drainVerb(), endpointVerb(), jobVerb(), quarantineVerb(),
		getVerb(), historyVerb(), statusVerb(), explainVerb(), validateVerb(),
		settingsVerb(), completionVerb(), versionVerb(),
	}
}

// Main runs the verb that arguments name and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	return mcverb.Main(program, verbs(), arguments, stdout, stderr)
}
