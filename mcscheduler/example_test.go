package mcscheduler_test

import (
	"fmt"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// A program that runs requests itself can embed the scheduler without the daemon: it
// acts on the decisions of Submit and Poll, and reports first tokens and completions.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s, err := mcscheduler.New(mcscheduler.PolicyLengthAware, mcscheduler.Settings{KVCapacityTokens: 50_000})
	if err != nil {
		fmt.Println(err)
		return
	}
	s.SetEndpoints(now, []marigoldcroft.Endpoint{marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
		Name: "engine-1", Kind: marigoldcroft.EndpointEngine, Pool: "caption",
	})})
	show := func(d marigoldcroft.Decision) {
		switch d.Action {
		case marigoldcroft.ActionDispatch:
			fmt.Printf("%s: run on %s with priority %d\n", d.ID.Request(), d.Endpoint, d.Priority)
		case marigoldcroft.ActionWait:
			fmt.Printf("%s: wait as %s work\n", d.ID.Request(), d.Class)
		case marigoldcroft.ActionExpire, marigoldcroft.ActionRefuse:
			fmt.Printf("%s: not run, %s\n", d.ID.Request(), d.Reason)
		}
	}
	submit := func(name string, promptTokens int64) {
		show(s.Submit(now, marigoldcroft.Work{
			ID: marigoldcroft.NewStreamID(name, 1), Team: "studio", Model: "caption",
			Deadline: now.Add(time.Minute), PromptTokens: promptTokens, OutputTokens: 100,
		}))
	}
	submit("dossier", 40_000)
	submit("archive", 30_000)
	submit("caption", 500)
	submit("library", 60_000)

	now = now.Add(4 * time.Second)
	s.FirstToken(now, marigoldcroft.NewStreamID("dossier", 1))
	s.Finish(now, marigoldcroft.NewStreamID("dossier", 1), marigoldcroft.Completion{Succeeded: true})
	for _, d := range s.Poll(now, nil) {
		show(d)
	}
	// Output:
	// dossier: run on engine-1 with priority 2
	// archive: wait as long work
	// caption: run on engine-1 with priority 5
	// library: not run, tooLarge
	// archive: run on engine-1 with priority 2
}
