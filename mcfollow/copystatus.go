package mcfollow

import (
	"context"
	"sync"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

const (
	// minPeerLead is by how much a peer's copy with a different digest must be newer before
	// this instance concludes that its own copy lacks a change. It must exceed the normal
	// differences: the store's answers to two instances are milliseconds apart, and the
	// pause that gathers changes takes a few hundred milliseconds.
	minPeerLead = time.Second
	// minAgeCheckInterval is the shortest time between two interruptions of a watch because of the
	// copy's age, and minAgeWait the shortest wait for the time at which the copy is too old.
	minAgeCheckInterval = 250 * time.Millisecond
	minAgeWait          = 5 * time.Millisecond
)

type (
	// copyStatus holds the digest and age of the copy, which instances compare, and the
	// means to interrupt a waiting watch.
	copyStatus struct {
		mu sync.Mutex
		// hashes holds the hash of each record by name; digest is the XOR of all hashes.
		hashes map[string]uint64
		digest uint64
		// complete is the latest time of mcclock.Now at which the copy is known to have held
		// every change; known is false before the first list.
		complete time.Duration
		known    bool
		// cancelWatch cancels the waiting watch; nil while no watch waits.
		cancelWatch context.CancelFunc
		interrupted bool
		// skipWait requests that the next watch does not wait.
		skipWait bool
		// listAgain requests a list in place of the next watch.
		listAgain bool
	}

	// recordHash is the hash of one record; present is false for a record that is deleted or
	// has no value.
	recordHash struct {
		name    string
		hash    uint64
		present bool
	}
)

// CopyStatus returns the digest of the copy and the time of mcclock.Now at which the copy was
// last known to be complete; known is false before the first list.
func (f *Follower[T]) CopyStatus() (digest uint64, complete time.Duration, known bool) {
	s := &f.status
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest, s.complete, s.known
}

// ObservePeerCopy handles a peer's report of its copy. An equal digest confirms this copy up to the
// time at which the peer's copy was complete. A different digest that is newer by more than
// minPeerLead shows that this instance's watch missed a change; the records are then listed, as the
// watch may have gone on from a revision after the change.
func (f *Follower[T]) ObservePeerCopy(digest uint64, complete time.Duration) {
	s := &f.status
	s.mu.Lock()
	if !s.known || complete <= s.complete {
		s.mu.Unlock()
		return
	}
	if digest != s.digest {
		behind := complete - s.complete
		s.mu.Unlock()
		lead := minPeerLead
		if f.awaiting.Load() {
			lead = peerFedLead
		}
		if behind > lead && s.interruptWatch(true) {
			f.Logger.Info().Str("records", f.Name).Dur("behindMs", behind).Msg("copyBehind")
		}
		return
	}
	s.complete = complete
	s.mu.Unlock()
	if f.OnConfirmed != nil {
		f.OnConfirmed(complete)
	}
}

// monitorAge interrupts a waiting watch whenever the copy has not been confirmed for
// StoreFallbackAge. It returns when ctx ends.
func (f *Follower[T]) monitorAge(ctx context.Context) {
	for ctx.Err() == nil {
		due := f.StoreFallbackAge()
		if _, complete, known := f.CopyStatus(); known {
			due += complete - mcclock.Now()
		}
		if due <= 0 {
			f.status.interruptWatch(false)
			due = minAgeCheckInterval
		}
		mcclock.Sleep(ctx, max(due, minAgeWait))
	}
}

// Refresh ends a waiting watch, so that the store is asked at once.
func (f *Follower[T]) Refresh() { f.status.interruptWatch(false) }

// interruptWatch cancels a waiting watch and makes the next one return at once, or be replaced by a
// list. It returns false if no watch waits.
func (s *copyStatus) interruptWatch(listAgain bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelWatch == nil {
		return false
	}
	s.cancelWatch()
	s.cancelWatch, s.interrupted, s.skipWait = nil, true, true
	s.listAgain = s.listAgain || listAgain
	return true
}

// takeSkipWait reports whether the next watch must not wait, and clears the request.
func (s *copyStatus) takeSkipWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	skipWait := s.skipWait
	s.skipWait = false
	return skipWait
}

// isInterrupted reports whether the next call of the store is due at once.
func (s *copyStatus) isInterrupted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.skipWait || s.listAgain
}

// takeListAgain reports whether a list must replace the next watch, and clears the request.
func (s *copyStatus) takeListAgain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listAgain := s.listAgain
	s.listAgain = false
	return listAgain
}

// beginWatch returns the context of a watch and a function to call after the watch, which
// reports whether the watch was interrupted. Only a waiting watch can be interrupted.
func (s *copyStatus) beginWatch(ctx context.Context, waiting bool) (context.Context, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = false
	if waiting {
		s.cancelWatch = cancel
	}
	return ctx, func() bool {
		defer cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancelWatch = nil
		return s.interrupted
	}
}

// hashRecords returns the hash of each record.
func hashRecords[T any](records []marigoldcroft.Record[T], hash func(value *T) uint64) []recordHash {
	list := make([]recordHash, 0, len(records))
	for _, r := range records {
		h := recordHash{name: r.Name, present: !r.Deleted && r.Value != nil}
		if h.present {
			h.hash = hash(r.Value)
		}
		list = append(list, h)
	}
	return list
}

// apply updates the digest with changed records, or rebuilds it if records is a full listing.
func (s *copyStatus) apply(snapshot bool, complete time.Duration, records []recordHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot || s.hashes == nil {
		s.hashes, s.digest = make(map[string]uint64, len(records)), 0
	}
	for _, r := range records {
		s.digest ^= s.hashes[r.name]
		delete(s.hashes, r.name)
		if r.present {
			s.hashes[r.name] = r.hash
			s.digest ^= r.hash
		}
	}
	s.complete, s.known = max(s.complete, complete), true
}
