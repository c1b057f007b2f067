package mcfollow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
)

// silentWatchFeed is a feed whose watches get no answer while it is silent. Its lists are answered.
type silentWatchFeed struct {
	*feed
	silent bool
}

// Changes returns the error of a call that had no answer in time.
func (f *silentWatchFeed) Changes(ctx context.Context, revision int64, wait time.Duration) ([]marigoldcroft.Record[int], int64, error) {
	var silent bool
	f.update(func() { silent = f.silent })
	if !silent {
		return f.feed.Changes(ctx, revision, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// start runs the follower in a synctest bubble until it waits, and returns the function that ends it.
func start(t *testing.T, follower *mcfollow.Follower[int]) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	synctest.Wait()
	return func() {
		cancel()
		<-done
	}
}

// Guards against a change that a watch has passed over, such as the leaving of an endpoint: each later
// watch goes on from a revision after it, so that only a list shows it.
func TestChangeThatAWatchPassedOverIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, held := &feed{revision: 1, records: map[string]int{"a": 1, "b": 1}}, &recordedCopy{}
		follower := newConfirmedFollower(f, held)
		follower.StoreFallbackAge = nil
		stop := start(t, follower)
		require.Equal(t, 2, held.size())
		f.update(func() { delete(f.records, "b") })
		digest, complete, _ := follower.CopyStatus()
		follower.ObservePeerCopy(digest+1, complete+2*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, held.size())
		require.True(t, held.last().Snapshot)
		stop()
	})
}

// Guards against records that an instance does not learn of, such as the leaving of an endpoint, for
// as long as the store's watches are silent, although the store answers lists.
func TestSilentWatchIsReplacedByAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &silentWatchFeed{feed: &feed{revision: 1, records: map[string]int{"a": 1, "b": 1}}}
		held := &recordedCopy{}
		follower := newConfirmedFollower(f.feed, held)
		follower.Feed, follower.StoreFallbackAge = f, nil
		stop := start(t, follower)
		require.Equal(t, 2, held.size())
		f.update(func() {
			f.silent = true
			delete(f.records, "b")
		})
		digest, complete, _ := follower.CopyStatus()
		follower.ObservePeerCopy(digest+1, complete+2*time.Second)
		// The watch that replaces the waiting one has no answer within its second; the list has.
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, 1, held.size())
		stop()
	})
}
