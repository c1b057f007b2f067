package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcstandin"
	"marigoldcroft/mcverb"
)

func instancesVerb() mcverb.Verb {
	return mcverb.Verb{
		Name:    "instances",
		Summary: "run a stand-in of the platform's instance list",
		Example: program + " instances --address 127.0.0.1:8002 --listing listing.json",
		Run:     runInstances,
	}
}

func runInstances(arguments []string, stdout, stderr io.Writer) int {
	address, file, lag := "127.0.0.1:8002", "", time.Second
	p := mcverb.NewParser(program, instancesVerb())
	p.String(&address, "a", "address", "IP and port to listen on")
	p.String(&file, "f", "listing", "JSON file with the initial instances and endpoints")
	p.Duration(&lag, "l", "lag", "delay until a change is visible")
	if err := p.ParseArgs(arguments); err != nil {
		fmt.Fprintf(stderr, "%s instances: %v\n", program, err)
		return mcverb.ExitUsage
	}
	list := &mcstandin.InstanceList{Lag: lag}
	if file != "" {
		listing, err := readListing(file)
		if err != nil {
			fmt.Fprintf(stderr, "%s instances: %v\n", program, err)
			return mcverb.ExitFailed
		}
		list.Show(listing)
	}
	return serve(address, list.Handler(), noBackgroundWork, stdout, stderr)
}

func readListing(file string) (marigoldcroft.InstanceListing, error) {
	var listing marigoldcroft.InstanceListing
	text, err := os.ReadFile(file)
	if err != nil {
		return listing, err
	}
	return listing, json.Unmarshal(text, &listing)
}
