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

// cluster is three followers that are peers of one another and share a store. Changes
// can be applied through each of them.
type cluster struct {
	t         *testing.T
	store     *faultyStore
	followers [3]*mcconfig.Follower
	servers   [3]*mcconfig.Server
	contexts  [3]context.Context
	stopFuncs [3]func()
	edits     sync.WaitGroup

	mu sync.Mutex
	// revisions holds the revision of the newest accepted content by template; allowed
	// holds the contents that may be current at the end, and unresolved those of changes
	// whose outcome is unknown.
	revisions  map[int]uint64
	allowed    map[int]map[int64]bool
	unresolved map[int][]int64
	violations []string
}

func (w *cluster) start(i int) {
	f := &mcconfig.Follower{Store: w.store, Deployment: "d", Peers: clusterPeers{w, i}}
	ctx, cancel := context.WithCancel(w.t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = f.Run(ctx) })
	done.Go(func() { w.checkMonotonic(ctx, f) })
	w.mu.Lock()
	w.followers[i], w.contexts[i], w.servers[i] = f, ctx, &mcconfig.Server{Follower: f}
	w.mu.Unlock()
	w.stopFuncs[i] = func() {
		cancel()
		done.Wait()
		w.mu.Lock()
		w.servers[i] = nil
		w.mu.Unlock()
	}
}

// clusterPeers is the PeerSource of follower self: all other running followers.
type clusterPeers struct {
	w    *cluster
	self int
}

func (p clusterPeers) ConfigPeers() []mcmessage.ConfigServiceClient {
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

// checkMonotonic checks every 10 ms that the revision of the follower has not decreased.
func (w *cluster) checkMonotonic(ctx context.Context, f *mcconfig.Follower) {
	last := uint64(0)
	for ctx.Err() == nil {
		now := f.Current().Revision()
		if now < last {
			w.recordViolation("the revision decreased from %d to %d", last, now)
		}
		last = now
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *cluster) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// apply starts a change of a template and records its result in allowed or
// unresolved.
func (w *cluster) apply(i, name int, value int64) {
	editor := &mcconfig.Editor{Store: w.store, Follower: w.followers[i]}
	ctx := w.contexts[i]
	w.edits.Go(func() {
		result, err := editor.Apply(ctx, []mcconfig.Change{template(fmt.Sprint("t", name), value)}, false)
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case err == nil && result.Revision >= w.revisions[name]:
			w.revisions[name], w.allowed[name] = result.Revision, map[int64]bool{value: true}
		case mcconfig.IsOutcomeUnknown(err):
			w.unresolved[name] = append(w.unresolved[name], value)
		}
	})
}

// converged reports whether all followers have applied the stored revision.
func (w *cluster) converged() bool {
	newest, _, err := mcconfig.StoredHead(w.t.Context(), w.store.ObjectStore)
	for _, f := range w.followers {
		if err != nil || f.Current().Revision() != newest {
			return false
		}
	}
	return true
}

func (w *cluster) execute(s step) {
	switch s.action {
	case "apply":
		w.apply(s.follower, s.value%3, int64(1000+s.value))
	case "loseAnswers":
		w.store.configure(func(f *faultyStore) { f.loseResponses = s.value % 4 })
	case "dropWrites":
		w.store.configure(func(f *faultyStore) { f.dropWrites = s.value % 4 })
	case "outage":
		w.store.configure(func(f *faultyStore) { f.down = !f.down })
	case "watchMisses":
		w.store.configure(func(f *faultyStore) { f.watchMisses = !f.watchMisses })
	case "hint":
		w.followers[s.follower].NotifyRevision(w.followers[(s.follower+1)%3].Current().Revision())
	case "restart":
		w.stopFuncs[s.follower]()
		w.start(s.follower)
	case "restore":
		// A change that no running instance has applied would be lost with the content of
		// the store. So the older content is restored only after all have applied it.
		w.edits.Wait()
		backup := copyStore(w.t, w.store.ObjectStore)
		w.apply(s.follower, s.value%3, int64(1000+s.value))
		w.edits.Wait()
		time.Sleep(propagationBound)
		if w.converged() {
			w.store.configure(func(f *faultyStore) { f.ObjectStore = backup })
		}
	}
	time.Sleep(s.pause)
}

func (w *cluster) finish() {
	w.store.configure(func(f *faultyStore) { f.down, f.watchMisses, f.loseResponses, f.dropWrites = false, false, 0, 0 })
	w.edits.Wait()
	time.Sleep(2 * propagationBound)
	for name := range 3 {
		for i, f := range w.followers {
			found, ok := f.Current().Template(fmt.Sprint("t", name))
			value := found.Spec().DeadlineMs
			allowed := w.allowed[name][value] || !ok && w.allowed[name] == nil
			for _, v := range w.unresolved[name] {
				allowed = allowed || v == value
			}
			if !allowed {
				w.recordViolation("follower %d has t%d at %d; accepted contents: %v, contents of unknown outcome: %v", i, name, value, w.allowed[name], w.unresolved[name])
			}
		}
	}
	for _, f := range w.followers {
		if f.Current().Revision() != w.followers[0].Current().Revision() {
			w.recordViolation("followers ended on revisions %d and %d", f.Current().Revision(), w.followers[0].Current().Revision())
		}
	}
	for _, stop := range w.stopFuncs {
		stop()
	}
}

// Guards against a follower whose revision decreases or that ends with content that was
// not accepted, under random sequences of changes, lost responses and writes, outages,
// missed watches, restarts and restores of the store with older content.
func TestPropertyNeverReverts(t *testing.T) {
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
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			w := &cluster{
				t: t, store: &faultyStore{ObjectStore: &mcstore.Memory{}, delay: 3 * time.Millisecond},
				revisions: map[int]uint64{}, allowed: map[int]map[int64]bool{}, unresolved: map[int][]int64{},
			}
			for i := range w.followers {
				w.start(i)
			}
			for _, s := range steps {
				w.execute(s)
			}
			w.finish()
			violations = w.violations
		})
		require.Empty(rt, violations)
	})
}
