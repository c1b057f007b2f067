package mcfollow

import (
	"context"
	"sync"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

const (
	// differTime is by how much a peer's copy with a different digest must be newer before
	// this instance concludes that its own copy lacks a change. It must exceed the normal
	// differences: the store's answers to two instances are milliseconds apart, and the
	// pause that gathers changes takes a few hundred milliseconds.
	differTime = time.Second
	// guardInterval is the shortest time between two checks of the copy's age.
	guardInterval = 250 * time.Millisecond
)

type (
	// shared holds the digest and age of the copy, which instances compare, and the means to
	// interrupt a waiting watch.
	shared struct {
		mu sync.Mutex
		// hashes holds the hash of each record by name; digest is the XOR of all hashes.
		hashes map[string]uint64
		digest uint64
		// complete is the latest time of mcclock.Now at which the copy is known to have held
		// every change; known is false before the first list.
		complete time.Duration
		known    bool
		// interrupt cancels the waiting watch; nil while no watch waits.
		interrupt   context.CancelFunc
		interrupted bool
		// hurry requests that the next watch does not wait.
		hurry bool
	}

	// hashed is the hash of one record; present is false for a record that is deleted or
	// has no value.
	hashed struct {
		name    string
		hash    uint64
		present bool
	}
)

// State returns the digest of the copy and the time of mcclock.Now at which the copy was
// last known to be complete; known is false before the first list.
func (f *Follower[T]) State() (digest uint64, complete time.Duration, known bool) {
	s := &f.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest, s.complete, s.known
}

// Heard handles a peer's report of its copy. An equal digest confirms this copy up to the
// time at which the peer's copy was complete. A different digest that is newer by more than
// differTime shows that this instance's watch missed a change; the watch is then restarted.
func (f *Follower[T]) Heard(digest uint64, complete time.Duration) {
	s := &f.shared
	s.mu.Lock()
	if !s.known || complete <= s.complete {
		s.mu.Unlock()
		return
	}
	if digest != s.digest {
		behind := complete - s.complete
		s.mu.Unlock()
		if behind > differTime && s.hasten() {
			f.Logger.Info().Str("records", f.Name).Dur("behindMs", behind).Msg("copyBehind")
		}
		return
	}
	s.complete = complete
	s.mu.Unlock()
	if f.Confirmed != nil {
		f.Confirmed(complete)
	}
}

// guard interrupts a waiting watch whenever the copy has not been confirmed for Patience. It
// returns when ctx ends.
func (f *Follower[T]) guard(ctx context.Context) {
	for ctx.Err() == nil {
		due := f.Patience()
		if _, complete, known := f.State(); known {
			due += complete - mcclock.Now()
		}
		if due <= 0 {
			f.shared.hasten()
		}
		mcclock.Sleep(ctx, max(due, guardInterval))
	}
}

// hasten cancels a waiting watch, so that the next one returns at once. It returns false if
// no watch waits.
func (s *shared) hasten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupt == nil {
		return false
	}
	s.interrupt()
	s.interrupt, s.interrupted, s.hurry = nil, true, true
	return true
}

// takeHurry reports whether the next watch must not wait, and clears the request.
func (s *shared) takeHurry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hurry := s.hurry
	s.hurry = false
	return hurry
}

// begin returns the context of a watch and a function to call after the watch, which
// reports whether the watch was interrupted. Only a waiting watch can be interrupted.
func (s *shared) begin(ctx context.Context, waiting bool) (context.Context, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = false
	if waiting {
		s.interrupt = cancel
	}
	return ctx, func() bool {
		defer cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.interrupt = nil
		return s.interrupted
	}
}

// hashes returns the hash of each record.
func hashes[T any](records []marigoldcroft.Record[T], hash func(value *T) uint64) []hashed {
	list := make([]hashed, 0, len(records))
	for _, r := range records {
		h := hashed{name: r.Name, present: !r.Deleted && r.Value != nil}
		if h.present {
			h.hash = hash(r.Value)
		}
		list = append(list, h)
	}
	return list
}

// apply updates the digest with changed records, or rebuilds it if whole is true.
func (s *shared) apply(whole bool, complete time.Duration, records []hashed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole || s.hashes == nil {
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
