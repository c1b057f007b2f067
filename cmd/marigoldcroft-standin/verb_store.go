package main

import (
	"fmt"
	"io"

	"marigoldcroft/mcstandin"
	"marigoldcroft/mcverb"
)

func storeVerb() mcverb.Verb {
	return mcverb.Verb{
		Name:    "store",
		Summary: "run a stand-in of the platform's object store",
		Example: program + " store --address 127.0.0.1:8001",
		Run:     runStore,
	}
}

func runStore(arguments []string, stdout, stderr io.Writer) int {
	address, seed := "127.0.0.1:8001", uint64(1)
	p := mcverb.NewParser(program, storeVerb())
	p.String(&address, "a", "address", "IP and port to listen on")
	p.UInt64(&seed, "s", "seed", "random seed of the injected faults")
	if err := p.ParseArgs(arguments); err != nil {
		fmt.Fprintf(stderr, "%s store: %v\n", program, err)
		return mcverb.ExitUsage
	}
	return serve(address, mcstandin.NewObjectStore(seed), noBackgroundWork, stdout, stderr)
}
