package mccommand

import (
	"fmt"
	"io"
	"runtime"
)

// productVersion is the released version.
const productVersion = "0.1.0"

func versionVerb() Verb {
	return Verb{
		Name:    "version",
		Summary: "print the version",
		Example: "marigoldcroft version",
		Run:     runVersion,
	}
}

func runVersion(arguments []string, stdout, stderr io.Writer) int {
	c := newCall(versionVerb(), stdout, stderr)
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	fmt.Fprintf(stdout, "marigoldcroft %s %s\n", productVersion, runtime.Version())
	return exitDone
}
