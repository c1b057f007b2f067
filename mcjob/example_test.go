package mcjob_test

import (
	"context"
	"fmt"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcstore"
)

// alone is the membership of a process without peers.
type alone struct{}

func (alone) Gone(string) bool   { return false }
func (alone) OwnsShard(int) bool { return true }

// counter runs a job by counting the bytes of its body.
type counter struct{ done chan struct{} }

func (c counter) RunJob(_ context.Context, status marigoldcroft.JobStatus, body []byte) (string, error) {
	defer close(c.done)
	return fmt.Sprintf("%s read %d bytes", status.Template, len(body)), nil
}

// Durable jobs are used without the daemon, over any object store.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runner := counter{done: make(chan struct{})}
	jobs := &mcjob.Jobs{
		Store: &mcstore.Memory{}, Members: alone{}, Runner: runner,
		Identity: marigoldcroft.NewIdentity("example", "region", "zone", "one", time.Now(), 0),
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = jobs.Run(ctx)
	}()
	job, err := jobs.Submit(ctx, marigoldcroft.JobSubmission{
		Team: "brunnholzer", Template: "dossier", Body: []byte("compare"), Deadline: time.Now().Add(time.Minute),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	<-runner.done
	cancel()
	<-stopped
	job, err = jobs.Job(context.Background(), job.ID)
	fmt.Println(job.State, job.Answer, err)
	// Output: done dossier read 7 bytes <nil>
}
