package mccommand

import (
	"fmt"
	"io"
	"os"

	"marigoldcroft/mcconfig"
	"marigoldcroft/mcverb"
)

func validateVerb() Verb {
	return Verb{
		Name:    "validate",
		Summary: "check a file of templates and teams without a server",
		Example: "marigoldcroft validate -f examples/copo-andino.yaml",
		Run:     runValidate,
	}
}

func runValidate(arguments []string, stdout, stderr io.Writer) int {
	file := ""
	p := mcverb.NewParser(program, validateVerb())
	p.String(&file, "f", "file", "YAML file with templates and teams")
	if err := p.ParseArgs(arguments); err != nil || file == "" {
		fmt.Fprintln(stderr, "marigoldcroft validate: flag -f is missing or malformed")
		return exitUsage
	}
	text, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintf(stderr, "marigoldcroft validate: %v\n", err)
		return exitFailed
	}
	changes, err := mcconfig.DecodeFile(file, text)
	if err != nil {
		fmt.Fprintf(stderr, "marigoldcroft validate: %v\n", err)
		return exitUsage
	}
	fmt.Fprintf(stdout, "%s: %d objects are valid\n", file, len(changes))
	return exitOK
}
