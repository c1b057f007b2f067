package mcconfig

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstore"
)

// simulatedLatency is the latency of a store call in measurements; the store of the
// platform responds within milliseconds.
const simulatedLatency = 3 * time.Millisecond

type (
	// BootResult is the cost of loading the complete configuration at start.
	BootResult struct {
		Boot time.Duration
		// HeapBytes is the live heap that the loaded configuration occupies.
		HeapBytes  uint64
		StoreReads int64
	}

	// PropagationResult is the latency and the number of store calls of changes.
	PropagationResult struct {
		P50, P99 time.Duration
		// WritesPerChange and ReadsPerChange are the store calls per change; the reads are
		// those of all followers together.
		WritesPerChange, ReadsPerChange float64
	}

	// countingStore is an in-memory store that counts and delays its calls.
	countingStore struct {
		mcstore.Memory
		reads, writes atomic.Int64
	}
)

func (s *countingStore) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	s.reads.Add(1)
	mcclock.Sleep(ctx, simulatedLatency)
	return s.Memory.Get(ctx, key)
}

func (s *countingStore) Watch(ctx context.Context, key string, known marigoldcroft.Version, wait time.Duration) (marigoldcroft.Object, error) {
	s.reads.Add(1)
	mcclock.Sleep(ctx, simulatedLatency)
	return s.Memory.Watch(ctx, key, known, wait)
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	s.writes.Add(1)
	mcclock.Sleep(ctx, simulatedLatency)
	return s.Memory.Put(ctx, key, value, expected, writeID)
}

// MeasureBoot fills an in-memory store with the given number of teams and measures one
// follower without peers that loads them.
func MeasureBoot(ctx context.Context, teams int) (BootResult, error) {
	store := &countingStore{}
	if err := populate(ctx, store, teams); err != nil {
		return BootResult{}, err
	}
	before := liveHeap()
	reads := store.reads.Load()
	follower := &Follower{Store: store, Deployment: "measure"}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	go func() { _ = follower.Run(ctx) }()
	<-follower.Ready()
	result := BootResult{Boot: time.Since(start), StoreReads: store.reads.Load() - reads}
	// The in-memory store returns its own buffers, which were allocated before the first
	// measurement. A client of a remote store would hold a copy, so they are added.
	raw := uint64(0)
	for _, page := range follower.currentSnapshot().pages {
		if page != nil {
			raw += uint64(len(page.raw))
		}
	}
	result.HeapBytes = liveHeap() - before + raw
	runtime.KeepAlive(follower)
	return result, nil
}

// populate writes all teams in one change. It bypasses the editor, which limits the number
// of objects in a change.
func populate(ctx context.Context, store *countingStore, teams int) error {
	changes := []Change{measureTemplate("t0", 1000), measureTemplate("t1", 1000), measureTemplate("t2", 1000)}
	for i := range teams {
		spec := marigoldcroft.TeamSpec{
			Name: fmt.Sprintf("team-%05d", i), KeyHashes: []string{fmt.Sprintf("%08x%056x", uint32(i)*2654435761, i)},
			Templates: []string{"t0", "t1", "t2"}, TokensPerSecond: 25000, Concurrency: 10, LongShare: 0.5, Weight: 1,
		}
		changes = append(changes, Change{Name: ObjectName{ObjectTeam, spec.Name}, Object: Object{Team: &spec}})
	}
	from := baseConfig{snapshot: emptySnapshot()}
	contents := editPages(from, changes, make([]Outcome, len(changes)), 1)
	next, pages, err := from.snapshot.withContents(contents, 1, newWriteID())
	if err != nil {
		return err
	}
	if _, err := createPages(ctx, store, pages, newWriteID()); err != nil {
		return err
	}
	_, err = putHead(ctx, store, next.head, 0, "", newWriteID())
	return err
}

func measureTemplate(name string, deadlineMs int64) Change {
	return Change{Name: ObjectName{ObjectTemplate, name}, Object: Object{Template: &marigoldcroft.TemplateSpec{
		Name: name, Model: "m", Urgency: "normal", Repeat: marigoldcroft.RepeatIdempotent, DeadlineMs: deadlineMs,
	}}}
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// MeasurePropagation applies changes one after another and measures the time from the
// call of Apply until each follower has applied the change.
func MeasurePropagation(ctx context.Context, followers, changes int) (PropagationResult, error) {
	store := &countingStore{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := make([]*Follower, followers)
	for i := range all {
		all[i] = &Follower{Store: store, Deployment: "measure"}
		go func() { _ = all[i].Run(ctx) }()
		<-all[i].Ready()
	}
	editor := &Editor{Store: store, Follower: all[0]}
	// The store calls of starting the followers are not counted.
	reads, writes := store.reads.Load(), store.writes.Load()
	var times []time.Duration
	for i := range changes {
		start := time.Now()
		result, err := editor.Apply(ctx, []Change{measureTemplate("t0", int64(1000+i))}, false)
		if err != nil {
			return PropagationResult{}, err
		}
		times = append(times, waitForRevision(ctx, all, result.Revision, start)...)
	}
	slices.Sort(times)
	return PropagationResult{
		P50: times[len(times)/2], P99: times[len(times)*99/100],
		WritesPerChange: float64(store.writes.Load()-writes) / float64(changes),
		ReadsPerChange:  float64(store.reads.Load()-reads) / float64(changes),
	}, nil
}

// waitForRevision waits until every follower has applied the revision or ctx ends, and
// returns the time from start for each of them.
func waitForRevision(ctx context.Context, followers []*Follower, revision uint64, start time.Time) []time.Duration {
	const poll = 200 * time.Microsecond
	times := make([]time.Duration, len(followers))
	var group sync.WaitGroup
	for i, f := range followers {
		group.Go(func() {
			for f.currentSnapshot().Revision() < revision && ctx.Err() == nil {
				time.Sleep(poll)
			}
			times[i] = time.Since(start)
		})
	}
	group.Wait()
	return times
}
