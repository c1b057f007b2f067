package mcfollow_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfollow"
)

// storeFallbackAge is the Follower.StoreFallbackAge in the tests. It allows for pauses of a few
// hundred milliseconds on a busy machine.
const storeFallbackAge = 1500 * time.Millisecond

// batchDelay is the Follower.BatchDelay in the tests.
const batchDelay = 300 * time.Millisecond

// historyGoneError is the error of a feed that no longer has the history after the revision.
type historyGoneError struct{}

func (historyGoneError) Error() string     { return "gone" }
func (historyGoneError) HistoryGone() bool { return true }

// feed is a fake feed of numbers whose answers and errors the test sets.
type feed struct {
	mu       sync.Mutex
	revision int64
	records  map[string]int
	pending  []marigoldcroft.Record[int]
	err      error
	lists    int
	watches  int
}

func (f *feed) List(context.Context) ([]marigoldcroft.Record[int], int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.err != nil && !marigoldcroft.IsHistoryGone(f.err) {
		return nil, 0, f.err
	}
	f.err = nil
	var records []marigoldcroft.Record[int]
	for name, value := range f.records {
		records = append(records, marigoldcroft.Record[int]{Name: name, Value: &value})
	}
	return records, f.revision, nil
}

func (f *feed) Changes(ctx context.Context, revision int64, wait time.Duration) ([]marigoldcroft.Record[int], int64, error) {
	for end := time.Now().Add(wait); ; {
		f.mu.Lock()
		if f.err != nil {
			defer f.mu.Unlock()
			f.watches++
			return nil, 0, f.err
		}
		if len(f.pending) > 0 || !time.Now().Before(end) {
			defer f.mu.Unlock()
			f.watches++
			records := f.pending
			f.pending = nil
			return records, max(revision, f.revision), nil
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *feed) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// recordedCopy records the changes that a follower applied and the copy that they result in.
type recordedCopy struct {
	mu      sync.Mutex
	values  map[string]int
	changes []mcfollow.Change[int]
}

func (c *recordedCopy) apply(change mcfollow.Change[int]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change)
	if change.Snapshot {
		c.values = make(map[string]int)
	}
	for _, r := range change.Records {
		if r.Deleted {
			delete(c.values, r.Name)
		} else {
			c.values[r.Name] = *r.Value
		}
	}
}

// all returns the changes that were applied.
func (c *recordedCopy) all() []mcfollow.Change[int] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.changes)
}

func (c *recordedCopy) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.values)
}

func (c *recordedCopy) last() mcfollow.Change[int] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes[len(c.changes)-1]
}

// runFollower runs a follower of f in a synctest bubble and calls body.
func runFollower(t *testing.T, f *feed, body func(follower *mcfollow.Follower[int], held *recordedCopy)) {
	synctest.Test(t, func(t *testing.T) {
		held := &recordedCopy{}
		follower := &mcfollow.Follower[int]{
			Name: "numbers", Feed: f, BatchDelay: func() time.Duration { return batchDelay }, Apply: held.apply, Logger: zerolog.Nop(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			follower.Run(ctx)
			close(done)
		}()
		synctest.Wait()
		body(follower, held)
		cancel()
		<-done
	})
}

// When many records are written one after another, the follower must gather them instead of
// making one call per record. The first change must still be applied without delay.
func TestBatchDelayGathersChanges(t *testing.T) {
	f := &feed{revision: 5}
	runFollower(t, f, func(follower *mcfollow.Follower[int], held *recordedCopy) {
		before := follower.Calls()
		for i := range 60 {
			f.update(func() {
				f.pending = append(f.pending, marigoldcroft.Record[int]{Name: strconv.Itoa(i), Value: &i})
			})
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
			require.NotZero(t, held.size(), "the first change was delayed")
		}
		time.Sleep(batchDelay)
		synctest.Wait()
		require.Equal(t, 60, held.size())
		require.LessOrEqual(t, follower.Calls()-before, int64(5), "calls for 60 changes in 1.2 s")
	})
}

// The follower must apply every change, but may not make more than one call every two seconds
// while nothing changes, as each call costs the platform's store.
func TestFollowsChanges(t *testing.T) {
	f := &feed{revision: 5, records: map[string]int{"a": 1}}
	runFollower(t, f, func(follower *mcfollow.Follower[int], held *recordedCopy) {
		require.Equal(t, map[string]int{"a": 1}, held.values)
		two := 2
		f.update(func() { f.pending = []marigoldcroft.Record[int]{{Name: "b", Value: &two}, {Name: "a", Deleted: true}} })
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, map[string]int{"b": 2}, held.values)
		before := follower.Calls()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, follower.Calls()-before, int64(31), "calls in a minute without changes")
		require.Equal(t, 1, f.lists)
	})
}

// Calls that the store rejects at once must be retried with backoff. Without it, one instance
// made 170 calls per second.
func TestRejectedCallsAreRetriedWithBackoff(t *testing.T) {
	f := &feed{err: errors.New("refused")}
	runFollower(t, f, func(follower *mcfollow.Follower[int], held *recordedCopy) {
		time.Sleep(time.Minute)
		require.LessOrEqual(t, follower.Calls(), int64(160), "calls in a minute of refusals")
		require.Empty(t, held.changes)
		f.update(func() { f.err = nil })
		time.Sleep(time.Second)
		synctest.Wait()
		require.True(t, held.last().Snapshot, "the first answer after a failed start is a listing")
		require.Greater(t, held.changes[0].OutageDuration, 50*time.Second)
	})
}

// After an outage, a watch of full length would be answered only at the next change or at its
// end, seconds after the store is available again. The follower must use a short one.
func TestStoreRecoveryIsDetectedAtOnce(t *testing.T) {
	f := &feed{revision: 5, records: map[string]int{"a": 1}}
	runFollower(t, f, func(_ *mcfollow.Follower[int], held *recordedCopy) {
		f.update(func() { f.err = errors.New("refused") })
		time.Sleep(10 * time.Second)
		f.update(func() { f.err = nil })
		time.Sleep(time.Second)
		synctest.Wait()
		require.Greater(t, held.last().OutageDuration, 5*time.Second, "no answer was applied within a second after the store was back")
	})
}

// A follower that continued from a revision whose history is gone would miss the records
// deleted since. It must list again.
func TestHistoryGoneListsAgain(t *testing.T) {
	f := &feed{revision: 5, records: map[string]int{"a": 1, "b": 2}}
	runFollower(t, f, func(_ *mcfollow.Follower[int], held *recordedCopy) {
		f.update(func() {
			delete(f.records, "a")
			f.err = historyGoneError{}
		})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]int{"b": 2}, held.values)
		require.Equal(t, 2, f.lists)
	})
}

// During an outage the age of the copy must go on growing: API keys are honoured only up to a
// certain age of the copy, and would stay valid for too long if the age were reported too low.
func TestAgeGrowsDuringOutage(t *testing.T) {
	f := &feed{revision: 5}
	runFollower(t, f, func(_ *mcfollow.Follower[int], held *recordedCopy) {
		require.NotZero(t, held.last().CompleteAt)
		age := func() time.Duration { return mcclock.Now() - held.last().CompleteAt }
		f.update(func() { f.err = errors.New("refused") })
		time.Sleep(4 * time.Second)
		lost := age()
		time.Sleep(time.Second)
		later := age()
		require.GreaterOrEqual(t, later, lost, "the age grows while the store refuses")
	})
}

// hashNumber returns the hash of a record's content.
func hashNumber(n *int) uint64 { return uint64(*n)*2654435761 + 1 }

// newConfirmedFollower returns a follower whose watch waits for a minute, unless no peer
// confirms its copy within storeFallbackAge.
func newConfirmedFollower(f *feed, held *recordedCopy) *mcfollow.Follower[int] {
	return &mcfollow.Follower[int]{
		Name: "numbers", Feed: f, Apply: held.apply, Logger: zerolog.Nop(), Hash: hashNumber,
		WatchTimeout:     func() time.Duration { return time.Minute },
		StoreFallbackAge: func() time.Duration { return storeFallbackAge },
	}
}

// While peers confirm the copy, the waiting watch must be the follower's only call of the store.
// Once no peer confirms it any more, the follower must ask the store, as the copy may be stale.
func TestPeersConfirmTheCopy(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f, held := &feed{revision: 1, records: map[string]int{"a": 1}}, &recordedCopy{}
	follower := newConfirmedFollower(f, held)
	var confirmed atomic.Int64
	follower.OnConfirmed = func(time.Duration) { confirmed.Add(1) }
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	require.Never(t, func() bool {
		if digest, _, known := follower.CopyStatus(); known {
			follower.ObservePeerCopy(digest, mcclock.Now())
		}
		return follower.Calls() > 2
	}, 3*storeFallbackAge, storeFallbackAge/50, "more than a list and one watch that waits")
	require.Positive(t, confirmed.Load())
	require.Eventually(t, func() bool { return follower.Calls() >= 4 }, 5*storeFallbackAge, storeFallbackAge/20, "the store must be asked when no peer confirms the copy")
	cancel()
	<-done
}

// If the answer of a watch was lost, the follower would miss the change until the watch ends. A
// peer's report of newer content with another digest must restart the watch before that. A lead
// of less than a second must not, as the change may still be on its way.
func TestNewerCopyOfAPeerShowsALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f, held := &feed{revision: 1, records: map[string]int{"a": 1}}, &recordedCopy{}
		follower := newConfirmedFollower(f, held)
		follower.StoreFallbackAge = func() time.Duration { return time.Hour }
		go follower.Run(ctx)
		synctest.Wait()
		digest, complete, _ := follower.CopyStatus()
		follower.ObservePeerCopy(digest+1, complete+300*time.Millisecond)
		synctest.Wait()
		require.Equal(t, int64(2), follower.Calls(), "the change may still be on its way")
		follower.ObservePeerCopy(digest+1, complete+2*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.GreaterOrEqual(t, follower.Calls(), int64(3))
		cancel()
	})
}

// Equal copies must have equal digests, whether their records came from a listing or from
// changes; otherwise peers could not confirm each other's copies.
func TestDigestDependsOnContentAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f, held := &feed{revision: 1, records: map[string]int{"a": 1}}, &recordedCopy{}
		follower := newConfirmedFollower(f, held)
		go follower.Run(ctx)
		synctest.Wait()
		two := 2
		f.update(func() {
			f.pending = []marigoldcroft.Record[int]{{Name: "b", Value: &two}, {Name: "a", Deleted: true}, {Name: "c", Deleted: true}}
		})
		time.Sleep(100 * time.Millisecond)
		followed, _, _ := follower.CopyStatus()
		listed := newConfirmedFollower(&feed{revision: 9, records: map[string]int{"b": 2}}, &recordedCopy{})
		go listed.Run(ctx)
		synctest.Wait()
		fresh, _, _ := listed.CopyStatus()
		require.Equal(t, fresh, followed)
		cancel()
	})
}

// An empty answer to a long watch confirms the copy only up to the beginning of the watch: the
// store may have ended the watch early while this process was paused.
func TestLongWaitConfirmsOnlyItsBeginning(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f, held := &feed{revision: 1, records: map[string]int{"a": 1}}, &recordedCopy{}
	follower := &mcfollow.Follower[int]{
		Name: "numbers", Feed: f, Apply: held.apply, Logger: zerolog.Nop(),
		WatchTimeout: func() time.Duration { return mcfollow.DefaultWatchTimeout + 100*time.Millisecond },
	}
	began, done := mcclock.Now(), make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	require.Eventually(t, func() bool { return follower.Calls() == 3 }, 3*mcfollow.DefaultWatchTimeout, 10*time.Millisecond)
	require.Less(t, held.last().CompleteAt-began, mcfollow.DefaultWatchTimeout/2)
	cancel()
	<-done
}

// Several kinds of records are followed in one store. During an outage, retries of each of them
// would multiply the calls that the store has to refuse. One must probe for all, and all must
// notice within a second that the store is back, even one whose own records cannot be read.
func TestOneFollowerProbesDuringAnOutage(t *testing.T) {
	const outage = 10 * time.Second
	for _, c := range []struct {
		name   string
		shared bool
		atMost int
	}{
		// A follower alone backs off to one call in 0.4 to 0.8 s.
		{"separate", false, 3 * 30},
		{"shared", true, 30 + 2*6},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				gate := &mcfollow.Gate{}
				var feeds []*feed
				var copies []*recordedCopy
				for _, name := range []string{"a", "b", "c"} {
					f, held := &feed{revision: 1, records: map[string]int{"x": 1}}, &recordedCopy{}
					follower := &mcfollow.Follower[int]{Name: name, Feed: f, Apply: held.apply, Logger: zerolog.Nop()}
					if c.shared {
						follower.Gate = gate
					}
					feeds, copies = append(feeds, f), append(copies, held)
					go follower.Run(ctx)
				}
				synctest.Wait()
				calls := func() int {
					n := 0
					for _, f := range feeds {
						f.update(func() { n += f.lists + f.watches })
					}
					return n
				}
				setError := func(err error) {
					for _, f := range feeds {
						f.update(func() { f.err = err })
					}
				}
				before := calls()
				setError(errors.New("unavailable"))
				time.Sleep(outage)
				require.LessOrEqual(t, calls()-before, c.atMost)
				setError(nil)
				for _, f := range feeds {
					f.update(func() { f.pending = append(f.pending, marigoldcroft.Record[int]{Name: "y", Value: new(int)}) })
				}
				time.Sleep(time.Second)
				for i, held := range copies {
					require.Equal(t, 2, held.size(), "follower %d", i)
				}

				// Only the records of the first follower cannot be read: the others go on.
				feeds[0].update(func() { feeds[0].err = errors.New("too large") })
				time.Sleep(3 * time.Second)
				for _, f := range feeds[1:] {
					f.update(func() { f.pending = append(f.pending, marigoldcroft.Record[int]{Name: "z", Value: new(int)}) })
				}
				time.Sleep(time.Second)
				require.Equal(t, 3, copies[1].size())
				require.Equal(t, 3, copies[2].size())
			})
		})
	}
}
