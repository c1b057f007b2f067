package mcfollow_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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

type (
	// sharedStore is a fake of one kind of records in a store that many followers read.
	sharedStore struct {
		mu       sync.Mutex
		era      int64
		revision int64
		history  []marigoldcroft.Record[int]
		changed  chan struct{}
		lists    int
		// ended and expired count the watches that ended with and without a change.
		ended, expired int
	}

	// storeFeed is the feed of one follower of a sharedStore.
	storeFeed struct {
		store *sharedStore
		mu    sync.Mutex
		// cut makes all calls of this follower fail.
		cut bool
		era int64
	}
)

func newSharedStore() *sharedStore { return &sharedStore{era: 1, changed: make(chan struct{})} }

// put writes a record.
func (s *sharedStore) put(name string, value int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(marigoldcroft.Record[int]{Name: name, Value: &value})
}

// remove deletes a record.
func (s *sharedStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(marigoldcroft.Record[int]{Name: name, Deleted: true})
}

func (s *sharedStore) write(r marigoldcroft.Record[int]) {
	s.history = append(s.history, r)
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore drops the last changes and begins a new era.
func (s *sharedStore) restore(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.era = s.history[:len(s.history)-changes], s.era+1
	s.revision = int64(len(s.history))
	close(s.changed)
	s.changed = make(chan struct{})
}

// latest returns the values by name.
func (s *sharedStore) latest() map[string]int {
	latest := make(map[string]int)
	for _, r := range s.history {
		if r.Deleted {
			delete(latest, r.Name)
		} else {
			latest[r.Name] = *r.Value
		}
	}
	return latest
}

func (s *sharedStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists + s.ended + s.expired
}

func (f *storeFeed) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *storeFeed) isCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

func (f *storeFeed) Era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

func (f *storeFeed) List(context.Context) ([]marigoldcroft.Record[int], int64, error) {
	s := f.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if f.isCut() {
		return nil, 0, fmt.Errorf("cut off")
	}
	f.mu.Lock()
	f.era = s.era
	f.mu.Unlock()
	var records []marigoldcroft.Record[int]
	for name, value := range s.latest() {
		records = append(records, marigoldcroft.Record[int]{Name: name, Value: &value})
	}
	return records, s.revision, nil
}

func (f *storeFeed) Changes(ctx context.Context, revision int64, wait time.Duration) ([]marigoldcroft.Record[int], int64, error) {
	s, end := f.store, time.NewTimer(wait)
	defer end.Stop()
	for expired := false; ; {
		s.mu.Lock()
		switch {
		case f.isCut():
			s.expired++
			s.mu.Unlock()
			return nil, 0, fmt.Errorf("cut off")
		case s.era != f.Era():
			s.ended++
			s.mu.Unlock()
			return nil, 0, historyGoneError{}
		case s.revision > revision:
			s.ended++
			records := append([]marigoldcroft.Record[int]{}, s.history[revision:]...)
			defer s.mu.Unlock()
			return records, s.revision, nil
		case expired:
			s.expired++
			defer s.mu.Unlock()
			return nil, s.revision, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			s.mu.Lock()
			s.expired++
			s.mu.Unlock()
			return nil, 0, ctx.Err()
		case <-changed:
		case <-end.C:
			expired = true
		}
	}
}

// instance is one of several instances that copy the records from each other.
type instance struct {
	*mcfollow.Follower[int]
	feed *storeFeed
	held *recordedCopy
	// taken counts the records of copies that were fetched from peers.
	taken atomic.Int64

	mu sync.Mutex
	// silent instances exchange nothing.
	silent bool
}

func (i *instance) setSilent(silent bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.silent = silent
}

func (i *instance) isSilent() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.silent
}

// hear handles what an exchange with the peer tells of its copy.
func (i *instance) hear(peer *instance) {
	if i.isSilent() || peer.isSilent() {
		return
	}
	digest, complete, known := peer.CopyStatus()
	switch {
	case !known:
	case i.IsBehind(peer.Changed()):
		i.TakeFrom(func(since mcfollow.Position) (mcfollow.PeerCopy[int], bool) {
			c, ok := peer.Copy(since)
			i.taken.Add(int64(len(c.Records)))
			return c, ok
		})
	default:
		i.ObservePeerCopy(digest, complete)
	}
}

// newGroup returns n instances of which the first ones hold watches.
func newGroup(store *sharedStore, n, watching int, delay time.Duration) []*instance {
	var group []*instance
	for rank := range n {
		i := &instance{feed: &storeFeed{store: store}, held: &recordedCopy{}}
		i.Follower = &mcfollow.Follower[int]{
			Name: "numbers", Feed: i.feed, Apply: i.held.apply, Logger: zerolog.Nop(), Hash: hashNumber,
			BatchDelay: func() time.Duration { return delay },
			WatchTimeout: func() time.Duration {
				if rank == 0 {
					return 1200 * time.Millisecond
				}
				return 25 * time.Second
			},
			StoreFallbackAge: func() time.Duration { return min(1500+time.Duration(rank)*300, 2700) * time.Millisecond },
			PeerFed:          func() bool { return rank >= watching },
		}
		group = append(group, i)
	}
	return group
}

// run runs the instances and their exchanges with three others every 300 ms until ctx ends.
func run(ctx context.Context, group []*instance) *sync.WaitGroup {
	var running sync.WaitGroup
	for n, i := range group {
		running.Go(func() { i.Run(ctx) })
		random := rand.New(rand.NewPCG(uint64(n), 1))
		running.Go(func() {
			mcclock.Sleep(ctx, time.Duration(random.IntN(300))*time.Millisecond)
			for mcclock.Sleep(ctx, 300*time.Millisecond) {
				for range 3 {
					i.hear(group[random.IntN(len(group))])
				}
			}
		})
	}
	return &running
}

// Counts the calls of 82 instances for one kind of records, with and without peers that feed them, in
// 48 s with 70 changes in the first 14 s and then none. Guards against instances that make calls of
// their own for each change.
func TestStoreCallsOfManyInstances(t *testing.T) {
	for _, c := range []struct {
		name            string
		watching        int
		delay           time.Duration
		atLeast, atMost int
	}{
		{"each holds a watch", 82, 800 * time.Millisecond, 1000, 2000},
		{"three hold watches", 3, 200 * time.Millisecond, 82, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := newSharedStore()
				group := newGroup(store, 82, c.watching, c.delay)
				running := run(ctx, group)
				for n := range 70 {
					time.Sleep(200 * time.Millisecond)
					store.put(fmt.Sprint(n), n)
				}
				slowest := time.Duration(0)
				for began := time.Now(); time.Since(began) < 34*time.Second; time.Sleep(20 * time.Millisecond) {
					for _, i := range group {
						if i.held.size() < 70 {
							slowest = time.Since(began)
						}
					}
				}
				taken := int64(0)
				for _, i := range group {
					taken += i.taken.Load()
				}
				t.Logf("%d records were fetched from peers", taken)
				require.LessOrEqual(t, taken, int64(82*70*4), "records fetched for 70 changes")
				t.Logf("%s: %d calls, of which %d lists, %d watches ended by a change, %d without one; the last change was everywhere after %v",
					c.name, store.calls(), store.lists, store.ended, store.expired, slowest)
				require.GreaterOrEqual(t, store.calls(), c.atLeast)
				require.LessOrEqual(t, store.calls(), c.atMost)
				require.Less(t, slowest, 2500*time.Millisecond)
				cancel()
				running.Wait()
			})
		})
	}
}

// Guards against an instance without a watch that keeps an old copy for longer than its store fallback
// age, whatever happens to those that feed it: it asks the store itself, and gets changes again once
// they are back.
func TestPeerFedInstanceAsksTheStore(t *testing.T) {
	for name, fail := range map[string]func(feeding *instance, failed bool){
		"died, cut off from peers, or suspended": func(feeding *instance, failed bool) { feeding.setSilent(failed) },
		"cut off from the store":                 func(feeding *instance, failed bool) { feeding.feed.setCut(failed) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			store := newSharedStore()
			store.put("a", 1)
			group := newGroup(store, 4, 1, 0)
			running := run(ctx, group)
			has := func(name string) func() bool {
				return func() bool {
					for _, i := range group[1:] {
						i.held.mu.Lock()
						_, ok := i.held.values[name]
						i.held.mu.Unlock()
						if !ok {
							return false
						}
					}
					return true
				}
			}
			require.Eventually(t, has("a"), 5*time.Second, 10*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			before := group[1].Calls() + group[2].Calls() + group[3].Calls()
			require.LessOrEqual(t, before, int64(9), "calls of instances that peers feed")
			fail(group[0], true)
			store.put("b", 2)
			require.Eventually(t, has("b"), 5*time.Second, 10*time.Millisecond, "the change must be read from the store")
			fail(group[0], false)
			time.Sleep(2 * time.Second)
			store.put("c", 3)
			require.Eventually(t, has("c"), 5*time.Second, 10*time.Millisecond)
			cancel()
			running.Wait()
		})
	}
}

// Guards against an older copy of a peer that takes the place of a newer one, and against a copy that
// stays when the store was restored from an older one.
func TestPeersCopyIsTakenOnlyIfItIsNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newSharedStore()
		store.put("a", 1)
		store.put("b", 2)
		group := newGroup(store, 2, 1, 0)
		fed, feeding := group[1], group[0]
		go fed.Run(ctx)
		go feeding.Run(ctx)
		synctest.Wait()
		one, three := 1, 3
		older := mcfollow.PeerCopy[int]{
			Records: []marigoldcroft.Record[int]{{Name: "a", Value: &one}}, Changed: mcfollow.Position{Era: 1, Revision: 1}, Complete: mcclock.Now(),
		}
		require.False(t, fed.IsBehind(older.Changed))
		fed.TakeFrom(func(mcfollow.Position) (mcfollow.PeerCopy[int], bool) { return older, true })
		synctest.Wait()
		require.Equal(t, map[string]int{"a": 1, "b": 2}, fed.held.values)

		newer := mcfollow.PeerCopy[int]{
			Records: []marigoldcroft.Record[int]{{Name: "a", Value: &three}}, Changed: mcfollow.Position{Era: 1, Revision: 5}, Complete: mcclock.Now(),
		}
		require.True(t, fed.IsBehind(newer.Changed))
		fed.TakeFrom(func(mcfollow.Position) (mcfollow.PeerCopy[int], bool) { return newer, true })
		synctest.Wait()
		require.Equal(t, map[string]int{"a": 3}, fed.held.values)
		require.Equal(t, 2, len(fed.held.last().Records), "one changed, one deleted")

		// Revisions go back in a new era.
		store.restore(1)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, mcfollow.Position{Era: 2, Revision: 1}, feeding.Changed())
		require.True(t, fed.IsBehind(feeding.Changed()))
		fed.TakeFrom(feeding.Copy)
		synctest.Wait()
		require.Equal(t, map[string]int{"a": 1}, fed.held.values)
		cancel()
		synctest.Wait()
	})
}

// Guards against the removal of endpoints whose records expired in an outage of the store that only the
// feeding instance saw: the outage is passed on with its copy.
func TestPeersCopyTellsOfItsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newSharedStore()
		store.put("a", 1)
		group := newGroup(store, 2, 1, 0)
		go group[0].Run(ctx)
		go group[1].Run(ctx)
		synctest.Wait()
		group[0].feed.setCut(true)
		time.Sleep(4 * time.Second)
		store.put("b", 2)
		group[0].feed.setCut(false)
		time.Sleep(2 * time.Second)
		require.True(t, group[1].IsBehind(group[0].Changed()))
		group[1].TakeFrom(group[0].Copy)
		synctest.Wait()
		require.Greater(t, group[1].held.last().OutageDuration, time.Second)
		require.False(t, group[1].held.last().OutageEndedAt.IsZero())
		cancel()
		synctest.Wait()
	})
}

// convergeSeeds is the number of random sequences of TestCopiesConverge.
const convergeSeeds = 100

// Guards against a change, a deletion or a restore of the store that some instance misses, whatever the
// order in which copies are passed on while instances are cut off from each other or from the store.
func TestCopiesConverge(t *testing.T) {
	for seed := range uint64(convergeSeeds) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			random := rand.New(rand.NewPCG(seed, 7))
			store := newSharedStore()
			group := newGroup(store, 8, 2, 50*time.Millisecond)
			running := run(ctx, group)
			for n := range 300 {
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				i := group[random.IntN(len(group))]
				switch random.IntN(20) {
				case 0, 1:
					i.setSilent(!i.isSilent())
				case 2, 3:
					i.feed.setCut(!i.feed.isCut())
				case 4:
					store.restore(min(random.IntN(5), len(store.history)))
				case 5, 6, 7:
					store.remove(fmt.Sprint(random.IntN(9)))
				default:
					store.put(fmt.Sprint(random.IntN(9)), n)
				}
			}
			for _, i := range group {
				i.setSilent(false)
				i.feed.setCut(false)
			}
			time.Sleep(10 * time.Second)
			synctest.Wait()
			for rank, i := range group {
				require.Equal(t, store.latest(), i.held.values, "seed %d, instance %d", seed, rank)
			}
			cancel()
			running.Wait()
		})
	}
}
