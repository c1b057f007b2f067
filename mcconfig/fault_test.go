package mcconfig_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcstore"
)

// propagationBound is the time within which every instance must apply an accepted
// change (requirement P8 in docs/design.md).
const propagationBound = 17 * time.Second

// copyStore returns a store with the same objects but other versions, as after the
// restore of a backup.
func copyStore(t *testing.T, from marigoldcroft.ObjectStore) *mcstore.Memory {
	t.Helper()
	to := &mcstore.Memory{}
	// These writes make the versions of the copy differ from those of the original.
	for range 1000 {
		version, err := to.Put(t.Context(), "pad", nil, "", "pad")
		require.NoError(t, err)
		require.NoError(t, to.Delete(t.Context(), "pad", version, "pad"))
	}
	entries, err := from.List(t.Context(), "", "", 100000)
	require.NoError(t, err)
	for _, e := range entries {
		object, err := from.Get(t.Context(), e.Key)
		require.NoError(t, err)
		_, err = to.Put(t.Context(), e.Key, object.Value(), "", object.WriteID())
		require.NoError(t, err)
	}
	return to
}

// fixture is two instances that share a store, with an editor at a. b has a as its peer;
// a has no peer.
type fixture struct {
	t      *testing.T
	store  *faultyStore
	a, b   *mcconfig.Follower
	editor *mcconfig.Editor
}

func (s *fixture) apply(changes ...mcconfig.Change) (mcconfig.Result, error) {
	return s.editor.Apply(s.t.Context(), changes, false)
}

func (s *fixture) mustApply(changes ...mcconfig.Change) uint64 {
	s.t.Helper()
	result, err := s.apply(changes...)
	require.NoError(s.t, err)
	return result.Revision
}

// requireDeadline checks the deadline of the template in the snapshots of both instances.
func (s *fixture) requireDeadline(name string, ms int64) {
	s.t.Helper()
	for _, f := range []*mcconfig.Follower{s.a, s.b} {
		template, ok := f.Current().Template(name)
		require.True(s.t, ok)
		require.Equal(s.t, ms, template.Spec().DeadlineMs)
	}
}

// Guards against an accepted change that is not applied or is reverted after a fault, and
// against a rejected change that is applied. Each case starts with the template caption
// applied with a deadline of 1000 ms.
func TestFaults(t *testing.T) {
	cases := map[string]func(t *testing.T, s *fixture){
		"responses of page and head writes lost": func(_ *testing.T, s *fixture) {
			s.store.configure(func(f *faultyStore) { f.loseResponses = 2 })
			s.mustApply(template("caption", 2000))
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 2000)
		},
		"writes lost": func(_ *testing.T, s *fixture) {
			s.store.configure(func(f *faultyStore) { f.dropWrites = 3 })
			s.mustApply(template("caption", 2000))
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 2000)
		},
		"outage rejects the change and does not apply it later": func(t *testing.T, s *fixture) {
			s.store.configure(func(f *faultyStore) { f.down = true })
			_, err := s.apply(template("caption", 2000))
			require.Equal(t, mcconfig.KindUnavailable, marigoldcroft.FailureKind[mcconfig.Kind](err))
			time.Sleep(propagationBound + time.Second)
			require.True(t, s.a.Stale())
			require.True(t, s.b.Stale(), "a peer that is stale itself must not confirm")
			s.store.configure(func(f *faultyStore) { f.down = false })
			time.Sleep(propagationBound)
			require.False(t, s.a.Stale())
			s.requireDeadline("caption", 1000)
		},
		"slow store": func(_ *testing.T, s *fixture) {
			s.store.configure(func(f *faultyStore) { f.delay = time.Second })
			s.mustApply(template("caption", 2000))
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 2000)
		},
		"store restored with older content": func(t *testing.T, s *fixture) {
			backup := copyStore(t, s.store.ObjectStore)
			last := s.mustApply(template("caption", 2000), template("search", 3000))
			time.Sleep(propagationBound)
			s.store.configure(func(f *faultyStore) { f.ObjectStore = backup })
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 2000)
			s.requireDeadline("search", 3000)
			fresh := &mcconfig.Follower{Store: s.store, Deployment: "d"}
			defer startFollower(t, fresh)()
			<-fresh.Ready()
			require.Greater(t, fresh.Current().Revision(), last)
			_, ok := fresh.Current().Template("search")
			require.True(t, ok)
		},
		"lagging instance repairs a restored store and changes it": func(t *testing.T, s *fixture) {
			backup := copyStore(t, s.store.ObjectStore)
			s.mustApply(template("search", 3000))
			s.applyThroughLagging(backup, template("caption", 2000), template("search", 4000))
			s.requireDeadline("caption", 2000)
			s.requireDeadline("search", 4000)
		},
		"same object changed before and after a restore": func(t *testing.T, s *fixture) {
			backup := copyStore(t, s.store.ObjectStore)
			s.applyThroughLagging(backup, template("caption", 2000), template("caption", 3000))
			s.requireDeadline("caption", 3000)
		},
		"change right after a restore with older content": func(t *testing.T, s *fixture) {
			backup := copyStore(t, s.store.ObjectStore)
			s.mustApply(template("caption", 2000))
			s.store.configure(func(f *faultyStore) { f.ObjectStore = backup })
			s.mustApply(template("search", 3000))
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 2000)
			s.requireDeadline("search", 3000)
		},
		"restart with a restored store and a peer": func(t *testing.T, s *fixture) {
			backup := copyStore(t, s.store.ObjectStore)
			last := s.mustApply(template("caption", 2000))
			s.store.configure(func(f *faultyStore) { f.ObjectStore, f.down = backup, true })
			restarted := &mcconfig.Follower{Store: s.store, Deployment: "d", Peers: directPeers{{Follower: s.a}}}
			defer startFollower(t, restarted)()
			<-restarted.Ready()
			require.Equal(t, last, restarted.Current().Revision())
			s.store.configure(func(f *faultyStore) { f.down = false })
			time.Sleep(propagationBound)
			require.Greater(t, restarted.Current().Revision(), last)
			s.requireDeadline("caption", 2000)
		},
		"missed watch with a hint": func(_ *testing.T, s *fixture) {
			s.store.configure(func(f *faultyStore) { f.watchMisses = true })
			revision := s.mustApply(template("caption", 2000))
			s.b.NotifyRevision(revision)
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 2000)
		},
		"two operators change the same object": func(t *testing.T, s *fixture) {
			s.applyBeforeNextHead(template("caption", 3000))
			_, err := s.apply(template("caption", 2000))
			var conflict *mcconfig.ConflictError
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, []mcconfig.FieldDiff{{Field: "deadlineMs", Before: "3000", After: "2000"}}, conflict.Conflicts()[0].Diff)
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 3000)
		},
		"two operators change different objects": func(_ *testing.T, s *fixture) {
			s.applyBeforeNextHead(template("search", 3000))
			s.mustApply(template("caption", 2000))
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 2000)
			s.requireDeadline("search", 3000)
		},
		"two operators change the same page": func(_ *testing.T, s *fixture) {
			// Both names are on page 53.
			s.applyBeforeNextHead(template("t6", 3000))
			s.mustApply(template("t16", 2000))
			time.Sleep(propagationBound)
			s.requireDeadline("t16", 2000)
			s.requireDeadline("t6", 3000)
		},
		"response lost, then another operator changes the accepted object": func(_ *testing.T, s *fixture) {
			s.store.configure(func(f *faultyStore) { f.loseResponses = 2 })
			s.store.afterResponseLoss = func(key string) {
				if key == "config/head" {
					_, err := (&mcconfig.Editor{Store: s.store, Follower: s.b}).Apply(s.t.Context(), []mcconfig.Change{template("caption", 3000)}, false)
					require.NoError(s.t, err)
				}
			}
			s.mustApply(template("caption", 2000))
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 3000)
		},
		"operator with an old revision": func(t *testing.T, s *fixture) {
			old := s.a.Current().Revision()
			s.mustApply(template("caption", 3000))
			change := template("caption", 2000)
			change.Expected = &old
			_, err := s.apply(change)
			require.True(t, mcconfig.IsConflict(err), err)
		},
		"invalid stored page, then rewritten": func(t *testing.T, s *fixture) {
			s.replaceFirstPage(`{"version":1,"page":0,"revision":0,"entries":[]}`)
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 1000)
			require.Contains(t, s.a.Status().Problem, "malformed")
			require.True(t, s.a.Stale())
			result, err := s.apply(template("search", 3000))
			require.NoError(t, err)
			require.Len(t, result.RewrittenPages, 1)
			time.Sleep(propagationBound)
			s.requireDeadline("caption", 1000)
			s.requireDeadline("search", 3000)
			require.False(t, s.a.Stale())
		},
		"key hash shared, template missing or in use": func(t *testing.T, s *fixture) {
			s.mustApply(team("copo", 1, "caption"))
			_, err := s.apply(team("brunnholzer", 1, "caption"))
			require.ErrorContains(t, err, "stands in team/brunnholzer and team/copo")
			_, err = s.apply(team("brunnholzer", 2, "absent"))
			require.ErrorContains(t, err, "template absent does not exist")
			_, err = s.editor.Delete(t.Context(), template("caption", 0).Name, nil, false)
			require.ErrorContains(t, err, "template caption does not exist")
			require.True(t, mcconfig.IsInvalid(err))
			// One change may move a key hash from one team to another.
			s.mustApply(team("copo", 3, "caption"), team("brunnholzer", 1, "caption"))
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { runWithFixture(t, run) })
	}
}

// runWithFixture runs a test with two followers in a synctest bubble.
func runWithFixture(t *testing.T, test func(t *testing.T, s *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{ObjectStore: &mcstore.Memory{}, delay: 3 * time.Millisecond}
		s := &fixture{t: t, store: store, a: &mcconfig.Follower{Store: store, Deployment: "d"}}
		s.b = &mcconfig.Follower{Store: store, Deployment: "d", Peers: directPeers{{Follower: s.a}}}
		s.editor = &mcconfig.Editor{Store: store, Follower: s.a}
		defer startFollower(t, s.a)()
		defer startFollower(t, s.b)()
		<-s.a.Ready()
		<-s.b.Ready()
		s.mustApply(template("caption", 1000))
		time.Sleep(time.Second)
		s.requireDeadline("caption", 1000)
		test(t, s)
	})
}

// applyThroughLagging applies ahead while a third instance is cut off from the store.
// Then the store is restored from backup, only the third instance reaches it, and behind
// is applied through that instance. In the end all instances reach the restored store.
func (s *fixture) applyThroughLagging(backup marigoldcroft.ObjectStore, ahead, behind mcconfig.Change) {
	front := &faultyStore{ObjectStore: s.store}
	lagging := &mcconfig.Follower{Store: front, Deployment: "d"}
	defer startFollower(s.t, lagging)()
	<-lagging.Ready()
	front.configure(func(f *faultyStore) { f.down = true })
	s.mustApply(ahead)
	s.store.configure(func(f *faultyStore) { f.down = true })
	front.configure(func(f *faultyStore) { f.ObjectStore, f.down = backup, false })
	time.Sleep(propagationBound)
	_, err := (&mcconfig.Editor{Store: front, Follower: lagging}).Apply(s.t.Context(), []mcconfig.Change{behind}, false)
	require.NoError(s.t, err)
	s.store.configure(func(f *faultyStore) { f.ObjectStore, f.down = backup, false })
	time.Sleep(propagationBound)
	require.Equal(s.t, s.a.Current().Revision(), lagging.Current().Revision())
}

// applyBeforeNextHead makes the next change through instance a race with the change
// other: other is applied through instance b after a has read the head and before it
// writes the next one.
func (s *fixture) applyBeforeNextHead(other mcconfig.Change) {
	var raced atomic.Bool
	s.store.beforePut = func(key string) {
		if key != "config/head" || raced.Swap(true) {
			return
		}
		_, err := (&mcconfig.Editor{Store: s.store, Follower: s.b}).Apply(s.t.Context(), []mcconfig.Change{other}, false)
		require.NoError(s.t, err)
	}
}

// replaceFirstPage stores a head of a higher revision in which raw replaces the first
// page.
func (s *fixture) replaceFirstPage(raw string) {
	ctx := s.t.Context()
	object, err := s.store.Get(ctx, "config/head")
	require.NoError(s.t, err)
	head, err := mcconfig.DecodeHead(object.Value())
	require.NoError(s.t, err)
	changed := mcconfig.HeadWithPage(head, []byte(raw))
	_, err = s.store.Put(ctx, changed.PageKey, []byte(raw), "", "w1")
	require.NoError(s.t, err)
	_, err = s.store.Put(ctx, "config/head", changed.Head, object.Version(), "w2")
	require.NoError(s.t, err)
}

// Guards against a change that is reported as not accepted although its write may still
// take effect. When the outcome cannot be resolved, the error must be of KindOutcomeUnknown and
// contain the write ID.
func TestUnresolvedWriteIsUnknown(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.store.beforePut = func(key string) {
			if key == "config/head" {
				s.store.configure(func(f *faultyStore) { f.loseResponses = 1 })
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(10 * time.Millisecond)
			s.store.configure(func(f *faultyStore) { f.down = true })
			time.Sleep(time.Second)
			cancel()
		}()
		s.store.configure(func(f *faultyStore) { f.delay = 4 * time.Millisecond })
		_, err := s.editor.Apply(ctx, []mcconfig.Change{template("caption", 2000)}, false)
		require.True(t, mcconfig.IsOutcomeUnknown(err), err)
		require.ErrorContains(t, err, "write id")
	})
}

// Guards against a history that lacks a revision of an object, and against a rollback
// that restores the wrong content or decreases the revision.
func TestHistoryAndRollback(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		name := template("caption", 0).Name
		first := s.a.Current().Revision()
		s.mustApply(template("caption", 2000))
		result, err := s.editor.Rollback(t.Context(), name, first, true)
		require.NoError(t, err)
		require.True(t, result.DryRun)
		s.requireDeadline("caption", 2000)
		result, err = s.editor.Rollback(t.Context(), name, first, false)
		require.NoError(t, err)
		require.Greater(t, result.Revision, first)
		_, err = s.editor.Delete(t.Context(), name, nil, false)
		require.NoError(t, err)
		query := &mcconfig.Query{Store: s.store, Follower: s.a}
		_, err = query.Get(name)
		require.True(t, mcconfig.IsNotFound(err))
		history, err := query.History(t.Context(), name)
		require.NoError(t, err)
		var deadlines []int64
		for _, e := range history {
			if e.Template != nil {
				deadlines = append(deadlines, e.Template.DeadlineMs)
			}
		}
		require.Len(t, history, 4)
		require.Equal(t, []int64{1000, 2000, 1000}, deadlines)
		_, err = s.editor.Rollback(t.Context(), name, first-1, false)
		require.True(t, mcconfig.IsNotFound(err))
		_, err = s.editor.Delete(t.Context(), name, nil, false)
		require.True(t, mcconfig.IsNotFound(err))
		require.Empty(t, query.List(mcconfig.ObjectTemplate, "", 10))
	})
}
