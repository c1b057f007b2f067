package mcjob_test

import (
	"context"
	"fmt"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcstore"
)

// compareRunner is a placeholder for the work of the program.
type compareRunner struct{}

func (compareRunner) RunJob(_ context.Context, status marigoldcroft.JobStatus, body []byte) (string, error) {
	return fmt.Sprintf("%s compared for %s", body, status.Team), nil
}

// A program that compares photo series runs durable jobs in its own process: a single
// instance without peers, over any object store.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	jobs := &mcjob.Jobs{
		Store:    mcstore.NewClient(mcstore.ClientConfig{Store: &mcstore.Memory{}, WritesPerSecond: 300}),
		Identity: marigoldcroft.NewIdentity("studio", "lima", "lima-1", "comparer-1", time.Now(), 0),
		Runner:   compareRunner{},
	}
	go jobs.Run(ctx)

	submission := marigoldcroft.JobSubmission{
		Team: "studio-7", Template: "compare", Key: "wedding-12",
		Deadline: time.Now().Add(time.Hour), Body: []byte("40 portraits"),
	}
	first, err := jobs.Submit(ctx, submission)
	if err != nil {
		fmt.Println("not accepted:", err)
		return
	}
	again, err := jobs.Submit(ctx, submission)
	fmt.Println(again.ID == first.ID, err)

	status, err := jobs.Job(ctx, first.ID)
	for err == nil && !status.State.Final() {
		time.Sleep(time.Millisecond)
		status, err = jobs.Job(ctx, first.ID)
	}
	fmt.Println(status.State, status.Answer, err)
	// Output:
	// true <nil>
	// done 40 portraits compared for studio-7 <nil>
}
