package mccommand

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

func completionVerb() Verb {
	return Verb{
		Name:    "completion",
		Summary: "print the shell's completion script (bash, zsh or fish)",
		Example: "marigoldcroft completion bash > /etc/bash_completion.d/marigoldcroft",
		Run:     runCompletion,
	}
}

func runCompletion(arguments []string, stdout, stderr io.Writer) int {
	var shell string
	c := newCall(completionVerb(), stdout, stderr)
	c.positional(&shell, "SHELL", true)
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	parser := flaggy.NewParser("marigoldcroft")
	for _, verb := range verbs() {
		sub := flaggy.NewSubcommand(verb.Name)
		sub.Description = verb.Summary
		parser.AttachSubcommand(sub, 1)
	}
	switch shell {
	case "bash":
		fmt.Fprint(stdout, flaggy.GenerateBashCompletion(parser))
	case "zsh":
		fmt.Fprint(stdout, flaggy.GenerateZshCompletion(parser))
	case "fish":
		fmt.Fprint(stdout, flaggy.GenerateFishCompletion(parser))
	default:
		return c.usage(fmt.Errorf("%q is none of bash, zsh, fish", shell))
	}
	return exitDone
}
