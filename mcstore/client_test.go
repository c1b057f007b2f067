package mcstore_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcstandin"
	"marigoldcroft/mcstore"
)

// faultyStore is a store that injects a list of faults into its next calls and then works
// normally.
type faultyStore struct {
	*mcstore.Memory
	// puts and gets hold the faults of the next calls. "" means no fault.
	puts, gets []string
	// delayedPut applies a write whose request is still in transit.
	delayedPut func()
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	fault := nextFault(&s.puts)
	unknown := marigoldcroft.NewFailure("put", mcstore.KindOutcomeUnknown, nil)
	switch fault {
	case "lost after":
		_, _ = s.Memory.Put(ctx, key, value, expected, writeID)
		return "", unknown
	case "lost before":
		return "", unknown
	case "delayed":
		s.delayedPut = func() {
			_, _ = s.Memory.Put(context.Background(), key, value, expected, writeID)
		}
		return "", unknown
	case "replaced":
		version, _ := s.Memory.Put(ctx, key, value, expected, writeID)
		_, _ = s.Memory.Put(ctx, key, []byte("rival"), version, "rival")
		return "", unknown
	case "hang":
		<-ctx.Done()
		return "", unknown
	case "down":
		return "", marigoldcroft.NewFailure("put", mcstore.KindUnavailable, nil)
	}
	return s.Memory.Put(ctx, key, value, expected, writeID)
}

func (s *faultyStore) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	switch nextFault(&s.gets) {
	case "down":
		return marigoldcroft.Object{}, marigoldcroft.NewFailure("get", mcstore.KindUnavailable, nil)
	case "hang":
		<-ctx.Done()
		return marigoldcroft.Object{}, marigoldcroft.NewFailure("get", mcstore.KindUnavailable, ctx.Err())
	}
	return s.Memory.Get(ctx, key)
}

func nextFault(faults *[]string) string {
	if len(*faults) == 0 {
		return ""
	}
	fault := (*faults)[0]
	*faults = (*faults)[1:]
	return fault
}

func repeatFault(fault string, n int) []string {
	faults := make([]string, n)
	for i := range faults {
		faults[i] = fault
	}
	return faults
}

// Guards against a write with a lost response that is reported as failed although it took
// effect, is reported as successful although it did not, or takes effect twice.
func TestLostAnswerIsResolved(t *testing.T) {
	for _, c := range []struct {
		name       string
		puts, gets []string
		kind       mcstore.Kind
		value      string
		versions   int
	}{
		{"no fault", nil, nil, "", "v", 1},
		{"took effect", []string{"lost after"}, nil, "", "v", 1},
		{"took no effect", []string{"lost before"}, nil, "", "v", 1},
		{"arrives after the read-back", []string{"delayed"}, nil, "", "v", 1},
		{"lost twice", []string{"lost before", "lost after"}, nil, "", "v", 1},
		{"reads fail for a while", []string{"lost after"}, repeatFault("down", 3), "", "v", 1},
		{"replaced by another writer", []string{"replaced"}, nil, mcstore.KindOutcomeUnknown, "rival", 2},
		{"timed out", []string{"hang"}, nil, "", "v", 1},
		{"outage after the write", []string{"lost after"}, repeatFault("down", 5), mcstore.KindOutcomeUnknown, "v", 1},
		{"refused", []string{"down"}, nil, mcstore.KindUnavailable, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &faultyStore{Memory: &mcstore.Memory{}, puts: c.puts, gets: c.gets}
				client := mcstore.NewClient(mcstore.ClientConfig{Store: store})
				version, err := client.Put(t.Context(), "k", []byte("v"), "", "w")
				require.Equal(t, c.kind, marigoldcroft.FailureKind[mcstore.Kind](err))
				if store.delayedPut != nil {
					store.delayedPut()
				}
				object, _ := store.Memory.Get(t.Context(), "k")
				require.Equal(t, c.value, string(object.Value()))
				if c.kind == "" {
					require.Equal(t, object.Version(), version)
				}
				if c.versions > 0 {
					require.Equal(t, strconv.Itoa(c.versions), string(object.Version()))
				}
			})
		})
	}
}

// Guards against calls that never return, a breaker that never opens or never closes
// again, and more than one probe at a time.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Memory: &mcstore.Memory{}, puts: repeatFault("down", 5)}
		client := mcstore.NewClient(mcstore.ClientConfig{Store: store, CallTimeout: time.Second})
		put := func() mcstore.Kind {
			_, err := client.Put(t.Context(), "k", nil, "", "w")
			return marigoldcroft.FailureKind[mcstore.Kind](err)
		}
		for range 5 {
			require.Equal(t, mcstore.BreakerClosed, client.Breaker())
			require.Equal(t, mcstore.KindUnavailable, put())
		}
		require.Equal(t, mcstore.BreakerOpen, client.Breaker())
		require.Equal(t, mcstore.KindUnavailable, put())
		require.Equal(t, uint64(5), client.Counts().Put)

		time.Sleep(time.Second)
		store.gets = []string{"hang"}
		go func() { _, _ = client.Get(t.Context(), "k") }()
		synctest.Wait()
		require.Equal(t, mcstore.BreakerHalfOpen, client.Breaker())
		require.Equal(t, mcstore.KindUnavailable, put())
		require.Equal(t, uint64(5), client.Counts().Put)

		// The first probe times out. The next one succeeds.
		time.Sleep(1001 * time.Millisecond)
		require.Equal(t, mcstore.BreakerOpen, client.Breaker())
		time.Sleep(time.Second)
		require.Equal(t, mcstore.Kind(""), put())
		require.Equal(t, mcstore.BreakerClosed, client.Breaker())
	})
}

// heldStore is a store whose reads wait for their result.
type heldStore struct {
	*mcstore.Memory
	results chan error
}

func (s *heldStore) Get(ctx context.Context, _ string) (marigoldcroft.Object, error) {
	select {
	case err := <-s.results:
		return marigoldcroft.Object{}, err
	case <-ctx.Done():
		return marigoldcroft.Object{}, marigoldcroft.NewFailure("get", mcstore.KindUnavailable, ctx.Err())
	}
}

// A reset of all connections ends every call that is open at that moment. It must not open
// the breaker, because the store serves the next call. Calls that time out together show
// that the store is silent and must open it.
func TestBreakerAndCallsThatEndTogether(t *testing.T) {
	const calls = 20
	reset := marigoldcroft.NewFailure("get", mcstore.KindOutcomeUnknown, nil)
	newClient := func(t *testing.T) (*mcstore.Client, *heldStore, func()) {
		store := &heldStore{Memory: &mcstore.Memory{}, results: make(chan error)}
		client := mcstore.NewClient(mcstore.ClientConfig{Store: store, CallTimeout: time.Second})
		return client, store, func() {
			for range calls {
				go func() { _, _ = client.Get(t.Context(), "k") }()
			}
			synctest.Wait()
		}
	}
	for _, c := range []struct {
		name   string
		rounds int
		want   mcstore.BreakerState
	}{
		{"one reset", 1, mcstore.BreakerClosed},
		{"four resets", 4, mcstore.BreakerClosed},
		{"five resets without a success between them", 5, mcstore.BreakerOpen},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, store, start := newClient(t)
				for range c.rounds {
					start()
					time.Sleep(10 * time.Millisecond)
					for range calls {
						store.results <- reset
					}
					synctest.Wait()
				}
				require.Equal(t, c.want, client.Breaker())
			})
		})
	}
	t.Run("timeouts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			client, _, start := newClient(t)
			start()
			time.Sleep(1001 * time.Millisecond)
			require.Equal(t, mcstore.BreakerOpen, client.Breaker())
		})
	})
}

// A call that began before an outage may end while the breaker probes. Its result must
// neither close the breaker nor end the probe.
func TestOldCallIsNoProbe(t *testing.T) {
	for _, result := range []error{nil, marigoldcroft.NewFailure("get", mcstore.KindOutcomeUnknown, nil)} {
		synctest.Test(t, func(t *testing.T) {
			store := &heldStore{Memory: &mcstore.Memory{}, results: make(chan error)}
			client := mcstore.NewClient(mcstore.ClientConfig{Store: store, CallTimeout: time.Minute})
			get := func() { _, _ = client.Get(t.Context(), "k") }
			go get()
			synctest.Wait()
			for range 5 {
				go get()
				synctest.Wait()
				// Waiting calls get their results in order, so one call that began before
				// the breaker opened stays open.
				store.results <- marigoldcroft.NewFailure("get", mcstore.KindOutcomeUnknown, nil)
				synctest.Wait()
			}
			require.Equal(t, mcstore.BreakerOpen, client.Breaker())
			time.Sleep(time.Second)
			go get()
			synctest.Wait()
			require.Equal(t, mcstore.BreakerHalfOpen, client.Breaker())
			store.results <- result
			synctest.Wait()
			require.Equal(t, mcstore.BreakerHalfOpen, client.Breaker())
		})
	}
}

// Guards against an instance that exceeds its share of the store's call rates, and against
// a share that is not updated when the number of instances changes.
func TestBudgetIsShared(t *testing.T) {
	for _, c := range []struct {
		instances int
		want      uint64
	}{{1, 100}, {10, 10}, {100, 1}} {
		synctest.Test(t, func(t *testing.T) {
			client := mcstore.NewClient(mcstore.ClientConfig{
				Store: &mcstore.Memory{}, WritesPerSecond: 100, ReadsPerSecond: 100, CallTimeout: time.Millisecond,
			})
			client.SetInstances(c.instances)
			start := time.Now()
			for time.Since(start) < 10*time.Second {
				_, err := client.Get(t.Context(), "k")
				_, _ = client.Put(t.Context(), "k", nil, "never", "w")
				if marigoldcroft.FailureKind[mcstore.Kind](err) == mcstore.KindRateLimited {
					time.Sleep(time.Millisecond)
				}
			}
			counts := client.Counts()
			for _, calls := range []uint64{counts.Get, counts.Put} {
				require.LessOrEqual(t, calls, 11*c.want+1, "a burst of one second's share is allowed")
				require.GreaterOrEqual(t, calls, 9*c.want)
			}
		})
	}
}

// Guards against writes over HTTP that are lost or applied twice while half of the write
// responses are lost.
func TestLostResponsesOverHTTP(t *testing.T) {
	store, standin := newHTTPStore(t)
	standin.SetFaults(mcstandin.ObjectStoreFaults{LostResponses: 0.5})
	client := mcstore.NewClient(mcstore.ClientConfig{Store: store})
	version := marigoldcroft.Version("")
	const writes = 50
	for i := range writes {
		var err error
		version, err = client.Put(t.Context(), "k", []byte(strconv.Itoa(i)), version, "w"+strconv.Itoa(i))
		require.NoError(t, err)
	}
	require.Equal(t, strconv.Itoa(writes), string(version), "one version for each write")
	require.NotZero(t, standin.Counts()["lost"])
	require.Equal(t, client.Counts().Unknown, client.Counts().Resolved)
}
