package mcfollow_test

import (
	"context"
	"errors"
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

// storeFallbackAge is the age of an unconfirmed copy at which the followers of the tests ask the
// store. It leaves room for a test that a busy machine suspends for a few hundred
// milliseconds.
const storeFallbackAge = 1500 * time.Millisecond

// batchDelay is the time for which the followers of the tests gather changes.
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

// Guards against one call per record when many records are written one after another, and
// against a delay of the first change.
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

// Guards against missed changes, and against more than one watch every few seconds while
// nothing changes, as every call of the platform's store has a cost.
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

// Guards against retries without backoff while the store rejects every call at once; one
// instance made 170 calls per second that way.
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

// Guards against detecting seconds late that the store is available again: a watch of full
// length would be answered only at the next change or at its end.
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

// Guards against a follower that continues from a revision whose history is gone, and so
// misses records that were deleted meanwhile.
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

// Guards against a reported age that is less than the time since the copy was last known to
// be complete. The age decides for how long keys are still honoured.
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
func newConfirmedFollower(f *feed, kept *recordedCopy) *mcfollow.Follower[int] {
	return &mcfollow.Follower[int]{
		Name: "numbers", Feed: f, Apply: kept.apply, Logger: zerolog.Nop(), Hash: hashNumber,
		WatchTimeout:     func() time.Duration { return time.Minute },
		StoreFallbackAge: func() time.Duration { return storeFallbackAge },
	}
}

// Guards against store calls by every instance where one of them has already confirmed the
// content, and against a copy that counts as current although no peer confirms it any more.
func TestPeersConfirmTheCopy(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f, kept := &feed{revision: 1, records: map[string]int{"a": 1}}, &recordedCopy{}
	follower := newConfirmedFollower(f, kept)
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

// Guards against waiting for the end of a watch whose answer was lost: a peer's report of
// newer content with another digest must restart the watch earlier.
func TestNewerCopyOfAPeerShowsALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f, kept := &feed{revision: 1, records: map[string]int{"a": 1}}, &recordedCopy{}
		follower := newConfirmedFollower(f, kept)
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

// Guards against different digests of equal copies: the digest must not depend on the calls
// by which the records arrived.
func TestDigestDependsOnContentAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f, kept := &feed{revision: 1, records: map[string]int{"a": 1}}, &recordedCopy{}
		follower := newConfirmedFollower(f, kept)
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

// Guards against a copy that counts as current up to the end of a long watch. The store may
// end a watch early while this process is paused, so that an empty answer confirms only the
// beginning of the watch.
func TestLongWaitConfirmsOnlyItsBeginning(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f, kept := &feed{revision: 1, records: map[string]int{"a": 1}}, &recordedCopy{}
	follower := &mcfollow.Follower[int]{
		Name: "numbers", Feed: f, Apply: kept.apply, Logger: zerolog.Nop(),
		WatchTimeout: func() time.Duration { return mcfollow.DefaultWatchTimeout + 100*time.Millisecond },
	}
	began, done := mcclock.Now(), make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	require.Eventually(t, func() bool { return follower.Calls() == 3 }, 3*mcfollow.DefaultWatchTimeout, 10*time.Millisecond)
	require.Less(t, kept.last().CompleteAt-began, mcfollow.DefaultWatchTimeout/2)
	cancel()
	<-done
}
