package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/mcverb"
)

// crashExitCode is the exit code after an injected crash, which a prompt triggers.
const crashExitCode = 70

func engineVerb() mcverb.Verb {
	return mcverb.Verb{
		Name:    "engine",
		Summary: "run a stand-in of a model engine",
		Example: program + " engine --address 127.0.0.1:8101 --name engine-1 --model caption",
		Run:     runEngine,
	}
}

func runEngine(arguments []string, stdout, stderr io.Writer) int {
	address, prefillRate := "127.0.0.1:8101", 200000
	settings := mcstandin.EngineSettings{
		Name: "engine-1", Model: "caption", TokenTime: 5 * time.Millisecond,
		KVCapacity: 450000, CacheCapacity: 200000, ReportLag: time.Second,
	}
	p := mcverb.NewParser(program, engineVerb())
	p.String(&address, "a", "address", "IP and port to listen on")
	p.String(&settings.Name, "n", "name", "name in load reports")
	p.String(&settings.Model, "m", "model", "name of the model that the engine serves")
	p.Int(&prefillRate, "p", "prefill-rate", "prefill speed in prompt tokens per second")
	p.Duration(&settings.TokenTime, "t", "token-time", "time between two output tokens of a stream")
	p.Int64(&settings.KVCapacity, "k", "kv-capacity", "KV memory in tokens")
	p.Duration(&settings.ReportLag, "l", "report-lag", "delay of the load reports")
	p.Bool(&settings.ChecksFencing, "f", "checks-fencing", "refuse orders with a stale fencing token")
	if err := p.ParseArgs(arguments); err != nil {
		fmt.Fprintf(stderr, "%s engine: %v\n", program, err)
		return mcverb.ExitUsage
	}
	settings.PrefillRate = float64(prefillRate)
	engine := &mcstandin.Engine{Settings: settings, Crash: func() { os.Exit(crashExitCode) }}
	return serve(address, engine.Handler(), engine.Run, stdout, stderr)
}
