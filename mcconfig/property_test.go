package mcconfig_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marigoldcroft/mcconfig"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcstore"
)

// step is one action of the property test. follower is the index of the follower that it
// concerns, value its argument, and pause the time to wait after it.
type step struct {
	action          string
	follower, value int
	pause           time.Duration
}

// world is three followers that are peers of one another and share a store. Changes can be
// applied through each of them.
type world struct {
	t         *testing.T
	store     *faultyStore
	followers [3]*mcconfig.Follower
	servers   [3]*mcconfig.Server
	contexts  [3]context.Context
	stops     [3]func()
	edits     sync.WaitGroup

	mu sync.Mutex
	// revisions holds the revision of the newest accepted content by template; allowed
	// holds the contents that may be current at the end, and open those of changes whose
	// outcome is unknown.
	revisions map[int]uint64
	allowed   map[int]map[int64]bool
	open      map[int][]int64
	faults    []string
}

func (w *world) start(i int) {
	f := &mcconfig.Follower{Store: w.store, Deployment: "d", Peers: worldPeers{w, i}}
	ctx, cancel := context.WithCancel(w.t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = f.Run(ctx) })
	done.Go(func() { w.sample(ctx, f) })
	w.mu.Lock()
	w.followers[i], w.contexts[i], w.servers[i] = f, ctx, &mcconfig.Server{Follower: f}
	w.mu.Unlock()
	w.stops[i] = func() {
		cancel()
		done.Wait()
		w.mu.Lock()
		w.servers[i] = nil
		w.mu.Unlock()
	}
}

// worldPeers is the PeerSource of follower self: all other running followers.
type worldPeers struct {
	w    *world
	self int
}

func (p worldPeers) ConfigPeers() []mcmessage.ConfigServiceClient {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	var peers directPeers
	for i, s := range p.w.servers {
		if i != p.self && s != nil {
			peers = append(peers, s)
		}
	}
	return peers.ConfigPeers()
}

// sample checks every 10 ms that the revision of the follower has not decreased.
func (w *world) sample(ctx context.Context, f *mcconfig.Follower) {
	last := uint64(0)
	for ctx.Err() == nil {
		now := f.Current().Revision()
		if now < last {
			w.fault("the revision decreased from %d to %d", last, now)
		}
		last = now
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// apply starts a change of a template and records its result in allowed or open.
func (w *world) apply(i, name int, value int64) {
	editor := &mcconfig.Editor{Store: w.store, Follower: w.followers[i]}
	ctx := w.contexts[i]
	w.edits.Go(func() {
		result, err := editor.Apply(ctx, []mcconfig.Change{template(fmt.Sprint("t", name), value)}, false)
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case err == nil && result.Revision >= w.revisions[name]:
			w.revisions[name], w.allowed[name] = result.Revision, map[int64]bool{value: true}
		case mcconfig.IsUnknown(err):
			w.open[name] = append(w.open[name], value)
		}
	})
}

// settled reports whether all followers have applied the stored revision.
func (w *world) settled() bool {
	newest, _, err := mcconfig.StoredHead(w.t.Context(), w.store.ObjectStore)
	for _, f := range w.followers {
		if err != nil || f.Current().Revision() != newest {
			return false
		}
	}
	return true
}

func (w *world) do(s step) {
	switch s.action {
	case "apply":
		w.apply(s.follower, s.value%3, int64(1000+s.value))
	case "loseAnswers":
		w.store.set(func(f *faultyStore) { f.loseAnswers = s.value % 4 })
	case "dropWrites":
		w.store.set(func(f *faultyStore) { f.dropWrites = s.value % 4 })
	case "outage":
		w.store.set(func(f *faultyStore) { f.down = !f.down })
	case "watchMisses":
		w.store.set(func(f *faultyStore) { f.watchMisses = !f.watchMisses })
	case "hint":
		w.followers[s.follower].Hint(w.followers[(s.follower+1)%3].Current().Revision())
	case "restart":
		w.stops[s.follower]()
		w.start(s.follower)
	case "restore":
		// A change that no running instance has applied would be lost with the content of
		// the store. So the older content is restored only after all have applied it.
		w.edits.Wait()
		backup := copyOf(w.t, w.store.ObjectStore)
		w.apply(s.follower, s.value%3, int64(1000+s.value))
		w.edits.Wait()
		time.Sleep(inForceBound)
		if w.settled() {
			w.store.set(func(f *faultyStore) { f.ObjectStore = backup })
		}
	}
	time.Sleep(s.pause)
}

func (w *world) finish() {
	w.store.set(func(f *faultyStore) { f.down, f.watchMisses, f.loseAnswers, f.dropWrites = false, false, 0, 0 })
	w.edits.Wait()
	time.Sleep(2 * inForceBound)
	for name := range 3 {
		for i, f := range w.followers {
			found, ok := f.Current().Template(fmt.Sprint("t", name))
			value := found.Spec().DeadlineMs
			allowed := w.allowed[name][value] || !ok && w.allowed[name] == nil
			for _, v := range w.open[name] {
				allowed = allowed || v == value
			}
			if !allowed {
				w.fault("follower %d has t%d at %d; accepted contents: %v, contents of unknown outcome: %v", i, name, value, w.allowed[name], w.open[name])
			}
		}
	}
	for _, f := range w.followers {
		if f.Current().Revision() != w.followers[0].Current().Revision() {
			w.fault("followers ended on revisions %d and %d", f.Current().Revision(), w.followers[0].Current().Revision())
		}
	}
	for _, stop := range w.stops {
		stop()
	}
}

// Guards against a follower whose revision decreases or that ends with content that was
// not accepted, under random sequences of changes, lost responses and writes, outages,
// missed watches, restarts and restores of the store with older content.
func TestPropertyNeverBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				action: rapid.SampledFrom([]string{
					"apply", "apply", "apply", "loseAnswers", "dropWrites", "outage", "watchMisses", "hint", "restart", "restore",
				}).Draw(rt, "action"),
				follower: rapid.IntRange(0, 2).Draw(rt, "follower"),
				value:    rapid.IntRange(0, 999).Draw(rt, "value"),
				pause:    time.Duration(rapid.SampledFrom([]int{0, 1, 7, 100, 3000, 20000}).Draw(rt, "pauseMs")) * time.Millisecond,
			}
		}), 1, 20).Draw(rt, "steps")
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			w := &world{
				t: t, store: &faultyStore{ObjectStore: &mcstore.Memory{}, delay: 3 * time.Millisecond},
				revisions: map[int]uint64{}, allowed: map[int]map[int64]bool{}, open: map[int][]int64{},
			}
			for i := range w.followers {
				w.start(i)
			}
			for _, s := range steps {
				w.do(s)
			}
			w.finish()
			faults = w.faults
		})
		require.Empty(rt, faults)
	})
}
