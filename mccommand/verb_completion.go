package mccommand

import (
	"fmt"
	"io"
	"strings"
)

func completionVerb() Verb {
	return Verb{
		Name:        "completion",
		Summary:     "print a completion script for bash",
		Example:     "marigoldcroft completion > /etc/bash_completion.d/marigoldcroft",
		NoArguments: true,
		Run:         runCompletion,
	}
}

func runCompletion(_ []string, stdout, _ io.Writer) int {
	var names []string
	for _, verb := range verbs() {
		names = append(names, verb.Name)
	}
	fmt.Fprintf(stdout, `_marigoldcroft() {
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "${COMP_WORDS[1]}"))
  else
    COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}"))
  fi
}
complete -F _marigoldcroft marigoldcroft
`, strings.Join(names, " "))
	return exitOK
}
