package main

import (
	"fmt"
	"io"

	"marigoldcroft/mcstandin"
	"marigoldcroft/mcverb"
)

func serviceVerb() mcverb.Verb {
	return mcverb.Verb{
		Name:    "service",
		Summary: "run a stand-in of a plain service",
		Example: program + " service --address 127.0.0.1:8201 --name orders-1",
		Run:     runService,
	}
}

func runService(arguments []string, stdout, stderr io.Writer) int {
	address, name, seed := "127.0.0.1:8201", "orders-1", uint64(1)
	p := mcverb.NewParser(program, serviceVerb())
	p.String(&address, "a", "address", "IP and port to listen on")
	p.String(&name, "n", "name", "name in load reports")
	p.UInt64(&seed, "s", "seed", "random seed of the injected faults")
	if err := p.ParseArgs(arguments); err != nil {
		fmt.Fprintf(stderr, "%s service: %v\n", program, err)
		return mcverb.ExitUsage
	}
	return serve(address, mcstandin.NewService(name, seed), noBackgroundWork, stdout, stderr)
}
