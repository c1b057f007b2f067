package mcjob

import (
	"context"
	"sync/atomic"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

type (
	// JobCost is the number of store calls of one job, from its submission to its
	// result, without the list calls of the sweeper.
	JobCost struct{ Reads, Writes int64 }

	// countingStore counts the calls of a store in memory.
	countingStore struct {
		mcstore.Memory
		reads, writes atomic.Int64
	}

	// single is the membership of a process without peers.
	single struct{}

	// runnerFunc is a runner that is a function.
	runnerFunc func()
)

func (s *countingStore) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	s.reads.Add(1)
	return s.Memory.Get(ctx, key)
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	s.writes.Add(1)
	return s.Memory.Put(ctx, key, value, expected, writeID)
}

func (single) Gone(string) bool   { return false }
func (single) OwnsShard(int) bool { return true }

func (f runnerFunc) RunJob(context.Context, marigoldcroft.JobStatus, []byte) (string, error) {
	f()
	return "answer", nil
}

// MeasureJob runs one job with the body and returns its store calls.
func MeasureJob(ctx context.Context, body []byte) (JobCost, error) {
	store, ran := &countingStore{}, make(chan struct{})
	jobs := &Jobs{
		Store: store, Members: single{}, Runner: runnerFunc(func() { close(ran) }),
		Identity: marigoldcroft.NewIdentity("measure", "r", "z", "a", time.Now(), 1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = jobs.Run(ctx)
	}()
	_, err := jobs.Submit(ctx, marigoldcroft.JobSubmission{
		Team: "t", Template: "x", Body: body, Deadline: time.Now().Add(time.Minute),
	})
	if err != nil {
		return JobCost{}, err
	}
	<-ran
	cancel()
	<-ended
	return JobCost{Reads: store.reads.Load(), Writes: store.writes.Load()}, nil
}
