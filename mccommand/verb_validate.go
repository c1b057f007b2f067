package mccommand

import (
	"errors"
	"io"
	"os"

	"marigoldcroft/mcconfig"
)

func validateVerb() Verb {
	return Verb{
		Name:    "validate",
		Summary: "check a file without a server",
		Example: "marigoldcroft validate -f teams.yaml",
		Run:     runValidate,
	}
}

func runValidate(arguments []string, stdout, stderr io.Writer) int {
	var file string
	c := newCall(validateVerb(), stdout, stderr)
	c.text(&file, "f", "file", "file with documents of kind template or team")
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	if file == "" {
		return c.usage(errors.New("flag --file is missing"))
	}
	changes, err := readFile(file)
	return c.done(err, "%s: %d documents are valid; whether the templates of teams exist is checked by apply", file, len(changes))
}

// readFile reads and checks an operator file.
func readFile(path string) ([]mcconfig.Change, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mcconfig.MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	return mcconfig.DecodeFile(path, text)
}
