// Package mcfollow keeps a copy of one kind of the platform's records up to date.
package mcfollow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

const (
	// DefaultWait is how long a watch waits for a change. A connection that has gone
	// silent is noticed after it.
	DefaultWait = 2 * time.Second
	// returnWait is the wait of a watch after a failed call: it shows at once that the
	// store is back, where a long one would say so only at its end.
	returnWait = time.Millisecond
	// backoffBase and backoffMax bound the pause after failed calls; each pause is drawn
	// from the upper half of its bound, so that instances do not return together.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 800 * time.Millisecond
)

type (
	// Change is what a call of the feed brought.
	Change[T any] struct {
		Records []marigoldcroft.Record[T]
		// Whole is true when Records are all that exist.
		Whole bool
		// Gap is the time since the last good call before, or 0 when no call failed since.
		Gap time.Duration
		// Complete is the boot time at which nothing else had changed.
		Complete time.Duration
	}

	// Follower reads a feed until its context ends. Exported fields are set before Run.
	Follower[T any] struct {
		// Name says in log lines what is followed.
		Name string
		Feed marigoldcroft.Feed[T]
		// Wait returns how long the next watch waits; nil means DefaultWait.
		Wait func() time.Duration
		// Settle returns the pause after a watch that brought changes: those that follow within
		// it come in one answer. Nil means none.
		Settle func() time.Duration
		// Apply is called from Run for each answer, also for one without changes.
		Apply  func(change Change[T])
		Logger zerolog.Logger
		// Hash returns the hash of what a record says; nil means that the copy is not compared
		// with those of peers.
		Hash func(value *T) uint64
		// Patience returns the age of the copy from which a waiting watch is given up for one
		// that does not wait; nil means never.
		Patience func() time.Duration
		// Confirmed is told of the boot time at which a peer found the same content complete.
		Confirmed func(complete time.Duration)

		shared   shared
		revision int64
		listed   bool
		failures int
		lostAt   time.Time
		calls    atomic.Int64
	}
)

// Calls returns the number of calls made.
func (f *Follower[T]) Calls() int64 { return f.calls.Load() }

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var guard sync.WaitGroup
	defer guard.Wait()
	if f.Patience != nil {
		guard.Go(func() { f.guard(ctx) })
	}
	for ctx.Err() == nil {
		changed, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if changed && f.Settle != nil {
				mcclock.Sleep(ctx, f.Settle())
			}
			continue
		}
		if f.listed && marigoldcroft.IsHistoryGone(err) {
			f.listed = false
			f.Logger.Info().Str("records", f.Name).Int64("revision", f.revision).Msg("historyGone")
			continue
		}
		f.lost(err)
		f.pause(ctx)
	}
}

// step makes one call: a list when nothing is known, otherwise a watch. It tells whether
// a watch brought changes.
func (f *Follower[T]) step(ctx context.Context) (bool, error) {
	wait := DefaultWait
	if f.Wait != nil {
		wait = f.Wait()
	}
	if f.shared.takeHurry() || f.failures > 0 {
		wait = returnWait
	}
	f.calls.Add(1)
	asked := mcclock.Now()
	if !f.listed {
		records, revision, err := f.Feed.List(ctx)
		if err != nil {
			return false, err
		}
		f.listed = true
		f.take(records, revision, true, asked)
		return false, nil
	}
	watch, end := f.shared.begin(ctx, wait > returnWait)
	records, revision, err := f.Feed.Changes(watch, f.revision, wait)
	if end() && err != nil && ctx.Err() == nil {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	complete := asked
	if len(records) == 0 && wait <= DefaultWait && mcclock.Now()-asked >= wait {
		// The store waited in full before it answered that nothing had changed. A pause of this
		// process hides an answer that came early, by the length of the wait at most.
		complete = asked + wait
	}
	f.take(records, revision, false, complete)
	return len(records) > 0, nil
}

func (f *Follower[T]) take(records []marigoldcroft.Record[T], revision int64, whole bool, complete time.Duration) {
	change := Change[T]{Records: records, Whole: whole, Complete: complete}
	if f.failures > 0 {
		change.Gap = time.Since(f.lostAt)
		f.Logger.Info().Str("records", f.Name).Dur("gapMs", change.Gap).Int("failures", f.failures).Msg("storeRegained")
	}
	f.failures, f.revision = 0, revision
	f.Apply(change)
	if f.Hash != nil {
		f.shared.apply(whole, complete, hashes(records, f.Hash))
	}
}

// lost counts a failed call; the first of a series is logged.
func (f *Follower[T]) lost(err error) {
	if f.failures == 0 {
		f.lostAt = time.Now()
		f.Logger.Warn().Str("records", f.Name).Err(err).Msg("storeLost")
	}
	f.failures++
}

func (f *Follower[T]) pause(ctx context.Context) {
	bound := mcclock.Backoff(backoffBase, backoffMax, f.failures-1)
	mcclock.Sleep(ctx, bound/2+rand.N(bound/2))
}
