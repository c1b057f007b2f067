// Package mccommand implements the verbs (subcommands) of the marigoldcroft program, one file each.
package mccommand

import (
	"io"

	"marigoldcroft/mcverb"
)

// Exit codes, as in mcverb.
const (
	exitOK       = mcverb.ExitOK
	exitFailed   = mcverb.ExitFailed
	exitUsage    = mcverb.ExitUsage
	exitConflict = mcverb.ExitConflict
	// exitNotInForce: the change is stored, but not yet in force on all instances.
	exitNotInForce = mcverb.ExitNotInForce
)

const program = "marigoldcroft"

// Verb describes a subcommand.
type Verb = mcverb.Verb

// verbs returns all verbs in the order of the help text.
func verbs() []Verb {
	return []Verb{
		serveVerb(), applyVerb(), deleteVerb(), rollbackVerb(), drainVerb(), evacuateVerb(), restoreVerb(), evacuationsVerb(), endpointVerb(), jobVerb(), quarantineVerb(),
		getVerb(), historyVerb(), statusVerb(), explainVerb(), validateVerb(),
		settingsVerb(), completionVerb(), versionVerb(),
	}
}

// Main runs the verb named by the first argument and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	return mcverb.Main(program, verbs(), arguments, stdout, stderr)
}
