// Command marigoldcroft runs an entry instance and holds the operators' verbs.
package main

import (
	"os"

	"marigoldcroft/mccommand"
)

func main() {
	os.Exit(mccommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
