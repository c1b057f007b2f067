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
		Name:        "version",
		Summary:     "print the version",
		Example:     "marigoldcroft version",
		NoArguments: true,
		Run:         runVersion,
	}
}

func runVersion(_ []string, stdout, _ io.Writer) int {
	fmt.Fprintf(stdout, "marigoldcroft %s %s\n", productVersion, runtime.Version())
	return exitOK
}
