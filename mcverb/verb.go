// Package mcverb looks up a program's verbs (its subcommands), runs them and parses their flags.
package mcverb

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes that all verbs share.
const (
	ExitOK = iota
	ExitFailed
	ExitUsage
	ExitConflict
	// ExitNotInForce: the change is stored, but not yet in force on all instances.
	ExitNotInForce
)

// Verb describes a subcommand of a program.
type Verb struct {
	// Name is the word that selects the verb on the command line.
	Name string
	// Summary is the line that the program's help shows for the verb.
	Summary string
	// Example is a complete command line, shown in the verb's help.
	Example string
	// NoArguments marks a verb that takes no arguments: Main prints its help on request and
	// rejects anything else.
	NoArguments bool
	// Run parses the arguments after the name and returns the exit code.
	Run func(arguments []string, stdout, stderr io.Writer) int
}

// Main runs the verb named by the first argument and returns the exit code.
// Without arguments it prints the list of verbs.
func Main(program string, verbs []Verb, arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) == 0 || arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help" {
		printVerbs(program, verbs, stdout)
		return ExitOK
	}
	for _, verb := range verbs {
		if verb.Name != arguments[0] {
			continue
		}
		if verb.NoArguments && len(arguments) > 1 {
			return handleUnexpectedArgument(program, verb, arguments[1], stdout, stderr)
		}
		return verb.Run(arguments[1:], stdout, stderr)
	}
	fmt.Fprintf(stderr, "%s: unknown verb %q; see %s --help\n", program, arguments[0], program)
	return ExitUsage
}

// handleUnexpectedArgument prints the help of a verb that takes no arguments if flag asks for it,
// and reports a usage error otherwise.
func handleUnexpectedArgument(program string, verb Verb, flag string, stdout, stderr io.Writer) int {
	if flag != "--help" && flag != "-h" {
		fmt.Fprintf(stderr, "%s %s: takes no arguments, got %q\n", program, verb.Name, flag)
		return ExitUsage
	}
	fmt.Fprintf(stdout, "%s %s - %s\n\nExample: %s\n", program, verb.Name, verb.Summary, verb.Example)
	return ExitOK
}

func printVerbs(program string, verbs []Verb, w io.Writer) {
	fmt.Fprintf(w, "Usage: %s VERB [arguments]\n\n", program)
	for _, verb := range verbs {
		fmt.Fprintf(w, "  %-12s %s\n", verb.Name, verb.Summary)
	}
}

// NewParser returns a parser for the verb's flags, with its example in the help text.
func NewParser(program string, verb Verb) *flaggy.Parser {
	p := flaggy.NewParser(program + " " + verb.Name)
	p.Description = verb.Summary
	p.AdditionalHelpAppend = "\nExample: " + verb.Example
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	return p
}

// SignalContext returns a context that the first SIGINT or SIGTERM cancels.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
