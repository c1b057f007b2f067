// Package mcverb runs a program's verbs from a lookup table.
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

// The exit codes of every verb.
const (
	ExitDone = iota
	ExitFailed
	ExitUsage
	ExitConflict
	// ExitNotInForce means accepted, but not yet in force everywhere.
	ExitNotInForce
)

// Verb is one entry of the lookup table.
type Verb struct {
	// Name is what the user types.
	Name string
	// Summary is one line for the list of verbs.
	Summary string
	// Example is a command line that works.
	Example string
	// Plain is true for a verb that takes no flags; its help is printed for it.
	Plain bool
	// Run parses the arguments after the name and returns the exit code.
	Run func(arguments []string, stdout, stderr io.Writer) int
}

// Main runs the verb that arguments name and returns the exit code.
func Main(program string, verbs []Verb, arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) == 0 || arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help" {
		printVerbs(program, verbs, stdout)
		return ExitDone
	}
	for _, verb := range verbs {
		if verb.Name != arguments[0] {
			continue
		}
		if verb.Plain && len(arguments) > 1 {
			return printPlainHelp(program, verb, arguments[1], stdout, stderr)
		}
		return verb.Run(arguments[1:], stdout, stderr)
	}
	fmt.Fprintf(stderr, "%s: unknown verb %q; see %s --help\n", program, arguments[0], program)
	return ExitUsage
}

// printPlainHelp answers a flag of a verb that takes none but help.
func printPlainHelp(program string, verb Verb, flag string, stdout, stderr io.Writer) int {
	if flag != "--help" && flag != "-h" {
		fmt.Fprintf(stderr, "%s %s: takes no arguments, got %q\n", program, verb.Name, flag)
		return ExitUsage
	}
	fmt.Fprintf(stdout, "%s %s - %s\n\nExample: %s\n", program, verb.Name, verb.Summary, verb.Example)
	return ExitDone
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

// UntilSignal returns a context that ends at the first SIGINT or SIGTERM.
func UntilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
