package mcjob_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcstore"
)

// countingStore counts the calls of a store.
type countingStore struct {
	mcstore.Memory
	reads, lists, writes int
}

func (s *countingStore) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	s.reads++
	return s.Memory.Get(ctx, key)
}

func (s *countingStore) List(ctx context.Context, prefix, after string, limit int) ([]marigoldcroft.ObjectEntry, error) {
	s.lists++
	return s.Memory.List(ctx, prefix, after, limit)
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	s.writes++
	return s.Memory.Put(ctx, key, value, expected, writeID)
}

// BenchmarkJob reports the store calls of one job with a prompt of one chunk, from
// its submission to its result, without the list calls of the sweeper.
func BenchmarkJob(b *testing.B) {
	store := &countingStore{}
	jobs := &mcjob.Jobs{
		Store: store, Members: &members{gone: map[string]bool{}}, WritesPerSecond: 1e6,
		Identity: marigoldcroft.NewIdentity("d", "r", "z", "a", time.Now(), 1),
	}
	done := make(chan struct{})
	jobs.Runner = runnerFunc(func(context.Context, marigoldcroft.JobStatus, []byte) (string, error) {
		defer close(done)
		return "answer", nil
	})
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = jobs.Run(ctx)
	}()
	_, err := jobs.Submit(ctx, marigoldcroft.JobSubmission{
		Team: "t", Template: "x", Body: []byte("body"), Deadline: time.Now().Add(time.Minute),
	})
	require.NoError(b, err)
	<-done
	for jobs.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	b.ReportMetric(float64(store.writes), "writesPerJob")
	b.ReportMetric(float64(store.reads), "readsPerJob")
}
