package mcconfig

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcstore"
)

const (
	// staleAfter is the time within which every instance must apply an accepted change
	// (requirement P8 in docs/design.md). A snapshot that the store has not confirmed
	// for longer may be out of date.
	staleAfter = 17 * time.Second
	// watchWait is the longest duration of one watch call. An unchanged result confirms
	// the snapshot, so the value is far below staleAfter. With 330 instances it gives 66
	// watch calls per second.
	watchWait = 5 * time.Second
	// callTimeout limits one call to the store; calls to peers get half of it.
	callTimeout = 2 * time.Second
	// minBackoff and maxBackoff limit the backoff after failed calls.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxPeersQueried is the largest number of peers queried for one head or page.
	maxPeersQueried = 3
	// maxPageReads limits the concurrent page reads while a snapshot is loaded.
	maxPageReads = 16
)

type (
	// PeerSource returns clients of the peers that may hold the configuration, nearest
	// first. The daemon implements it with its member table.
	PeerSource interface {
		ConfigPeers() []mcmessage.ConfigServiceClient
	}

	// FollowerStatus is the state of a follower, with its counters since the start.
	FollowerStatus struct {
		Revision uint64 `json:"revision"`
		// Newest is the highest revision that the store or a peer has reported.
		Newest uint64 `json:"newest"`
		// ConfirmedAgeMs is the time since the store last confirmed the revision as the
		// newest, or -1 if it never has.
		ConfirmedAgeMs int64 `json:"confirmedAgeMs"`
		Stale          bool  `json:"stale"`
		// Problem is the latest error since a snapshot was last applied, or "".
		Problem     string `json:"problem,omitempty"`
		Applied     uint64 `json:"applied"`
		Refused     uint64 `json:"refused"`
		Repairs     uint64 `json:"repairs"`
		PagesPeers  uint64 `json:"pagesFromPeers"`
		PagesStore  uint64 `json:"pagesFromStore"`
		WatchErrors uint64 `json:"watchErrors"`
	}

	// Follower keeps the current configuration of this instance up to date. It watches
	// the stored head and reads the pages that changed. The exported fields must be set
	// before Run is called.
	Follower struct {
		Store      marigoldcroft.ObjectStore
		Peers      PeerSource
		Deployment string
		Logger     zerolog.Logger

		initOnce sync.Once
		snapshot atomic.Pointer[Snapshot]
		// newest is the highest revision seen; it never decreases.
		newest    atomic.Uint64
		confirmed atomic.Pointer[time.Time]
		problem   atomic.Pointer[string]
		ready     chan struct{}
		readyOnce sync.Once
		hints     chan struct{}

		// applyLock is held while a head is applied or the store is repaired. It is a
		// channel of capacity 1, because waiting for a mutex does not count as durably
		// blocked in testing/synctest: a mutex held during store calls would stop the
		// fake clock.
		applyLock chan struct{}

		applied, refused, repairs, pagesPeers, pagesStore, watchErrors atomic.Uint64
	}

	// headCandidate is a head and the time at which the store confirmed it as the newest.
	headCandidate struct {
		head        Head
		confirmedAt time.Time
	}

	// noPeers is the PeerSource of a follower without peers.
	noPeers struct{}
)

var _ marigoldcroft.ConfigSource = (*Follower)(nil)

func (noPeers) ConfigPeers() []mcmessage.ConfigServiceClient { return nil }

func (f *Follower) init() {
	f.initOnce.Do(func() {
		f.snapshot.Store(emptySnapshot())
		f.ready = make(chan struct{})
		f.hints = make(chan struct{}, 1)
		f.applyLock = make(chan struct{}, 1)
		if f.Peers == nil {
			f.Peers = noPeers{}
		}
	})
}

// Current returns the current snapshot. It is never nil, its revision never decreases,
// and it is empty until Ready is closed.
func (f *Follower) Current() marigoldcroft.ConfigSnapshot { return f.currentSnapshot() }

func (f *Follower) currentSnapshot() *Snapshot {
	f.init()
	return f.snapshot.Load()
}

// Ready returns a channel that is closed once the first configuration has been loaded.
func (f *Follower) Ready() <-chan struct{} {
	f.init()
	return f.ready
}

// Stale reports whether the current snapshot was not confirmed as the newest within the
// last 17 s. It is not confirmed while a higher revision is known.
func (f *Follower) Stale() bool {
	age := f.confirmedAge()
	return age < 0 || age > staleAfter
}

// confirmedAge returns the time since the last confirmation, or -1 if there was none.
func (f *Follower) confirmedAge() time.Duration {
	if at := f.confirmed.Load(); at != nil {
		return time.Since(*at)
	}
	return -1
}

// confirm records that the revision was the newest at the time at. It has no effect
// unless that revision is current and no higher one is known.
func (f *Follower) confirm(revision uint64, at time.Time) {
	if current := f.currentSnapshot().Revision(); at.IsZero() || revision != current || f.newest.Load() > current {
		return
	}
	for {
		old := f.confirmed.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if f.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}

// observeRevision raises newest to the revision if that is higher.
func (f *Follower) observeRevision(revision uint64) {
	for {
		old := f.newest.Load()
		if revision <= old || f.newest.CompareAndSwap(old, revision) {
			return
		}
	}
}

// NotifyRevision notifies the follower that a peer has applied the revision. If it is higher than
// the current one, the follower fetches it in the background. NotifyRevision does not
// block.
func (f *Follower) NotifyRevision(revision uint64) {
	f.init()
	f.observeRevision(revision)
	if revision <= f.currentSnapshot().Revision() {
		return
	}
	select {
	case f.hints <- struct{}{}:
	default:
	}
}

// Status returns the state of the follower.
func (f *Follower) Status() FollowerStatus {
	s := FollowerStatus{
		Revision: f.currentSnapshot().Revision(), Newest: f.newest.Load(), ConfirmedAgeMs: -1, Stale: f.Stale(),
		Applied: f.applied.Load(), Refused: f.refused.Load(), Repairs: f.repairs.Load(),
		PagesPeers: f.pagesPeers.Load(), PagesStore: f.pagesStore.Load(), WatchErrors: f.watchErrors.Load(),
	}
	if age := f.confirmedAge(); age >= 0 {
		s.ConfirmedAgeMs = age.Milliseconds()
	}
	if p := f.problem.Load(); p != nil {
		s.Problem = *p
	}
	return s
}

// Run loads the configuration and keeps it up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	if !f.boot(ctx) {
		return ctx.Err()
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.watchStore(ctx) })
	group.Go(func() error { return f.watchHints(ctx) })
	return group.Wait()
}

// boot applies the highest head of the peers and the store whose pages can be read. It
// retries until it succeeds; it returns false if ctx ends first.
func (f *Follower) boot(ctx context.Context) bool {
	pause := minBackoff
	for ctx.Err() == nil {
		for _, found := range f.collectHeads(ctx) {
			if err := f.applyHead(ctx, found.head); err != nil {
				f.recordProblem("configRefused", err)
				continue
			}
			f.confirm(found.head.Revision, found.confirmedAt)
			f.readyOnce.Do(func() { close(f.ready) })
			return true
		}
		pause = sleepBackoff(ctx, pause)
	}
	return false
}

// collectHeads queries the peers and the store in parallel and returns the heads found,
// highest revision first.
func (f *Follower) collectHeads(ctx context.Context) []headCandidate {
	var (
		group     errgroup.Group
		fromPeers headCandidate
		peerErr   error
		fromStore = headCandidate{confirmedAt: time.Now()}
		storeErr  error
	)
	group.Go(func() error {
		fromPeers.head, fromPeers.confirmedAt, peerErr = f.fetchHeadFromPeers(ctx)
		return nil
	})
	group.Go(func() error {
		fromStore.head, _, storeErr = readHead(ctx, f.Store)
		return nil
	})
	_ = group.Wait()
	f.recordProblem("configHeadUnread", storeErr)
	switch {
	case peerErr != nil && storeErr != nil:
		return nil
	case peerErr != nil:
		return []headCandidate{fromStore}
	case storeErr != nil:
		return []headCandidate{fromPeers}
	case fromPeers.head.Revision > fromStore.head.Revision:
		return []headCandidate{fromPeers, fromStore}
	default:
		return []headCandidate{fromStore, fromPeers}
	}
}

// decodeHeadObject converts the result of a read of the stored head. An object that was
// not found yields the head of the empty configuration.
func decodeHeadObject(object marigoldcroft.Object, err error) (Head, marigoldcroft.Version, error) {
	if mcstore.IsNotFound(err) {
		return Head{Version: formatVersion}, "", nil
	}
	if err != nil {
		return Head{}, "", err
	}
	head, err := DecodeHead(object.Value())
	return head, object.Version(), err
}

// watchStore watches the stored head and applies its changes until ctx ends. After an
// error it gets the head from peers and retries with a backoff.
func (f *Follower) watchStore(ctx context.Context) error {
	var known marigoldcroft.Version
	var object marigoldcroft.Object
	pause := minBackoff
	for ctx.Err() == nil {
		sentAt := time.Now()
		head, next, version, err := f.watchOnce(ctx, known, object)
		object = next
		if err == nil {
			err = f.applyStoreHead(ctx, head)
		} else {
			f.watchErrors.Add(1)
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			known = ""
			f.recordProblem("configWatchFailed", err)
			f.applyPeerHead(ctx)
			pause = sleepBackoff(ctx, pause)
			continue
		}
		f.confirm(head.Revision, sentAt)
		known, pause = version, minBackoff
	}
	return ctx.Err()
}

// watchOnce waits up to watchWait for the version of the stored head to differ from
// known, and returns the new head and object. If the version stays the same, it returns
// last and its head, which is decoded again because applying a head may modify it.
func (f *Follower) watchOnce(ctx context.Context, known marigoldcroft.Version, last marigoldcroft.Object) (Head, marigoldcroft.Object, marigoldcroft.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	object, err := f.Store.Watch(ctx, headKey, known, watchWait)
	if err == nil && known != "" && object.Version() == known {
		object, err = f.resolveUnchanged(ctx, object, last)
	}
	head, version, err := decodeHeadObject(object, err)
	return head, object, version, err
}

// resolveUnchanged returns last if object is the result of the same write, and reads the
// head again otherwise. A restored store may reuse a version for a different write, which
// has another write ID.
func (f *Follower) resolveUnchanged(ctx context.Context, object, last marigoldcroft.Object) (marigoldcroft.Object, error) {
	if object.WriteID() == last.WriteID() {
		return last, nil
	}
	return f.Store.Get(ctx, headKey)
}

// applyStoreHead applies a head read from the store, or repairs the store if that head
// lacks the current change.
func (f *Follower) applyStoreHead(ctx context.Context, head Head) error {
	if f.isStoreBehind(head) {
		// The random delay spreads the instances, so that usually only one repairs the store.
		mcclock.Sleep(ctx, rand.N(minBackoff))
		return f.repair(ctx)
	}
	return f.applyHead(ctx, head)
}

// watchHints fetches newer heads, from peers or the store, after calls of NotifyRevision, until ctx
// ends.
func (f *Follower) watchHints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.hints:
		}
		pause := minBackoff
		for ctx.Err() == nil && f.newest.Load() > f.currentSnapshot().Revision() {
			if f.applyPeerHead(ctx) {
				continue
			}
			// The store may have a higher revision than every reachable peer.
			if head, _, err := readHead(ctx, f.Store); err == nil && f.applyHead(ctx, head) == nil && f.newest.Load() <= f.currentSnapshot().Revision() {
				break
			}
			pause = sleepBackoff(ctx, pause)
		}
	}
}

// applyPeerHead applies the highest head of the peers. It reports whether the current
// revision has increased.
func (f *Follower) applyPeerHead(ctx context.Context) bool {
	before := f.currentSnapshot().Revision()
	head, at, err := f.fetchHeadFromPeers(ctx)
	if err != nil || f.applyHead(ctx, head) != nil {
		return false
	}
	f.confirm(head.Revision, at)
	return f.currentSnapshot().Revision() > before
}

// recordProblem logs an error and records it as the problem shown in Status. It ignores
// nil.
func (f *Follower) recordProblem(event string, err error) {
	if err == nil {
		return
	}
	text := err.Error()
	f.problem.Store(&text)
	f.Logger.Warn().Err(err).Uint64("revision", f.currentSnapshot().Revision()).Msg(event)
}

// sleepBackoff sleeps for a random time between pause/2 and pause, or until ctx ends, and
// returns the pause for the next retry.
func sleepBackoff(ctx context.Context, pause time.Duration) time.Duration {
	mcclock.Sleep(ctx, pause/2+rand.N(pause/2))
	return min(2*pause, maxBackoff)
}
