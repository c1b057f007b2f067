package mccommand

import (
	"fmt"
	"io"

	"marigoldcroft/mcsetting"
)

func settingsVerb() Verb {
	return Verb{
		Name:        "settings",
		Summary:     "print the reference of all settings in Markdown",
		Example:     "marigoldcroft settings",
		NoArguments: true,
		Run:         runSettings,
	}
}

func runSettings(_ []string, stdout, stderr io.Writer) int {
	if err := mcsetting.WriteReference(stdout); err != nil {
		fmt.Fprintf(stderr, "marigoldcroft settings: %v\n", err)
		return exitFailed
	}
	return exitOK
}
