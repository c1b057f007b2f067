// Command marigoldcroft runs an entry instance and has the operators' commands for the
// configuration, status and planned stops.
package main

import (
	"os"

	"marigoldcroft/mccommand"
)

func main() {
	os.Exit(mccommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
