// Package mcfollow keeps a local copy of one kind of records of the platform's store up to
// date: it lists them once and then watches for changes. Instances compare their copies by
// digest, so that one watch confirms the copies of all of them.
package mcfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

const (
	// DefaultWatchTimeout is the time for which a watch waits for a change. It bounds the time until
	// a silent connection is detected.
	DefaultWatchTimeout = 2 * time.Second
	// recoveryWait is the wait of a watch after a failed call or an interrupted watch. It is
	// short so that the answer shows at once that the store is available again; a long watch
	// would show it only at its end.
	recoveryWait = time.Millisecond
	// backoffBase and backoffMax bound the backoff after failed calls. Each pause is drawn at
	// random from the upper half of the current bound, so that instances do not retry at
	// the same time.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 800 * time.Millisecond
)

type (
	// Change is the answer of one successful call of the feed.
	Change[T any] struct {
		Records []marigoldcroft.Record[T]
		// Snapshot is true if Records is a full listing, which replaces the copy.
		Snapshot bool
		// Revision is the revision of the store at which the change was read.
		Revision int64
		// OutageDuration is the length of the last outage of the store, longer than a second, that ended
		// at OutageEndedAt, after the first failed call since the previous answer; or 0 if there was
		// none. An outage begins with a failed call and ends with the next answer to any follower that
		// shares the gate: this one alone may fail for longer.
		OutageDuration time.Duration
		OutageEndedAt  time.Time
		// CompleteAt is a time of mcclock.Now at which the copy, with this change applied, held
		// every change made until then.
		CompleteAt time.Duration
	}

	// Follower reads a feed until its context ends. Exported fields must be set before Run.
	Follower[T any] struct {
		// Name identifies the kind of records in log lines.
		Name string
		Feed marigoldcroft.Feed[T]
		// WatchTimeout returns the time for which the next watch waits for a change; nil means
		// DefaultWatchTimeout.
		WatchTimeout func() time.Duration
		// BatchDelay returns the pause after a watch that returned changes, so that further changes
		// within it arrive in one answer. Nil means no pause.
		BatchDelay func() time.Duration
		// Apply is called from Run for each successful call, including one without changes.
		Apply  func(change Change[T])
		Logger zerolog.Logger
		// Hash returns the hash of a record's content; nil means that the copy is not compared
		// with the copies of peers.
		Hash func(value *T) uint64
		// StoreFallbackAge returns the age of the copy, since it was last confirmed as complete, at
		// which a waiting watch is cancelled and replaced by one that does not wait; nil means
		// never.
		StoreFallbackAge func() time.Duration
		// Gate is shared by the followers of one store; nil means that this one retries by
		// itself.
		Gate *Gate
		// OnConfirmed is called when a peer has confirmed the copy's content, with the time of
		// mcclock.Now at which that content was complete. It may be nil.
		OnConfirmed func(complete time.Duration)
		// PeerFed reports whether peers hold the watches for this instance: it then makes no calls
		// while one of them confirms its copy, and takes changes from them (TakeFrom). Nil means never.
		// It needs Hash and StoreFallbackAge.
		PeerFed func() bool
		// Equal compares two values when a peer's copy is adopted; nil compares their hashes.
		Equal func(a, b *T) bool

		held       heldRecords[T]
		offersOnce sync.Once
		offered    chan PeerCopy[T]
		// awaiting is true while Run waits for peers in place of a watch.
		awaiting    atomic.Bool
		status      copyStatus
		revision    int64
		listed      bool
		failures    int
		failedSince time.Time
		// own finds the outages of a follower without a gate.
		own   outageTracker
		calls atomic.Int64
	}
)

// Calls returns the number of calls made to the feed.
func (f *Follower[T]) Calls() int64 { return f.calls.Load() }

// Run reads the feed until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var monitor sync.WaitGroup
	defer monitor.Wait()
	if f.StoreFallbackAge != nil {
		monitor.Go(func() { f.monitorAge(ctx) })
	}
	for ctx.Err() == nil {
		if f.waitsForPeers() {
			f.awaitPeers(ctx)
			continue
		}
		changed, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if changed && f.BatchDelay != nil {
				mcclock.Sleep(ctx, f.BatchDelay())
			}
			continue
		}
		if f.listed && marigoldcroft.IsHistoryGone(err) {
			f.listed = false
			f.Logger.Info().Str("records", f.Name).Int64("revision", f.revision).Msg("historyGone")
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) {
			// The store may answer other calls while its watches are silent.
			f.listed = false
		}
		f.recordFailure(err)
		f.backOff(ctx)
	}
}

// step makes one call: a list if there is no valid revision to continue from, otherwise a
// watch. It reports whether a watch returned changes.
func (f *Follower[T]) step(ctx context.Context) (bool, error) {
	wait := DefaultWatchTimeout
	if f.WatchTimeout != nil {
		wait = f.WatchTimeout()
	}
	if f.status.takeSkipWait() || f.failures > 0 {
		wait = recoveryWait
	}
	if f.status.takeListAgain() {
		f.listed = false
	}
	f.calls.Add(1)
	sentAt := mcclock.Now()
	if !f.listed {
		records, revision, err := f.Feed.List(ctx)
		if err != nil {
			return false, err
		}
		f.listed = true
		f.applyAnswer(records, revision, true, sentAt)
		return false, nil
	}
	watchCtx, endWatch := f.status.beginWatch(ctx, wait > recoveryWait)
	records, revision, err := f.Feed.Changes(watchCtx, f.revision, wait)
	if endWatch() && err != nil && ctx.Err() == nil {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	complete := sentAt
	if len(records) == 0 && wait <= DefaultWatchTimeout && mcclock.Now()-sentAt >= wait {
		// The store waited for the full time before it answered that nothing had changed. If
		// this process was paused meanwhile, the answer may have come earlier than it appears,
		// which makes complete too late by at most the length of the wait.
		complete = sentAt + wait
	}
	f.applyAnswer(records, revision, false, complete)
	return len(records) > 0, nil
}

// applyAnswer applies a successful answer and ends an outage, if there was one.
func (f *Follower[T]) applyAnswer(records []marigoldcroft.Record[T], revision int64, snapshot bool, complete time.Duration) {
	change := Change[T]{Records: records, Snapshot: snapshot, Revision: revision, CompleteAt: complete}
	now := time.Now()
	f.outages().succeeded(now)
	if f.Gate != nil {
		f.Gate.succeeded()
	}
	if f.failures > 0 {
		last := f.outages().lastSince(f.failedSince)
		change.OutageDuration, change.OutageEndedAt = last.duration, last.endedAt
		f.Logger.Info().Str("records", f.Name).Dur("gapMs", now.Sub(f.failedSince)).Dur("outageMs", last.duration).Int("failures", f.failures).Msg("storeRegained")
	}
	f.failures, f.revision = 0, revision
	f.Apply(change)
	f.hold(change, Position{f.feedEra(), revision}, nil)
	if f.Hash != nil {
		f.status.apply(snapshot, complete, hashRecords(records, f.Hash))
	}
}

// recordFailure counts a failed call and logs it. The pauses between calls bound the number of lines.
func (f *Follower[T]) recordFailure(err error) {
	now, event := time.Now(), "storeCallFailed"
	f.outages().failed(now)
	if f.failures == 0 {
		f.failedSince = now
		event = "storeLost"
	}
	f.failures++
	f.Logger.Warn().Str("records", f.Name).Int("failures", f.failures).Err(err).Msg(event)
}

// outages returns the tracker that the followers of the store share.
func (f *Follower[T]) outages() *outageTracker {
	if f.Gate != nil {
		return &f.Gate.outages
	}
	return &f.own
}

// backOff waits before the next call after a failed one. If another follower probes the store,
// it waits for that one's success and not for its own backoff.
func (f *Follower[T]) backOff(ctx context.Context) {
	if f.Gate != nil && f.Gate.await(ctx, f.Name) {
		return
	}
	bound := mcclock.Backoff(backoffBase, backoffMax, f.failures-1)
	mcclock.Sleep(ctx, bound/2+rand.N(bound/2))
}
