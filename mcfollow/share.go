package mcfollow

import (
	"context"
	"sync"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

const (
	// differTime is by how much a peer's copy with other content has to be newer before it
	// shows that this one lacks a change: the store's answers to two instances take
	// milliseconds, a pause in which changes are gathered a few hundred.
	differTime = time.Second
	// guardInterval is the least time between two looks at the age of the copy.
	guardInterval = 250 * time.Millisecond
)

type (
	// shared is what a follower compares with the copies of peers.
	shared struct {
		mu sync.Mutex
		// hashes holds the hash of each record; digest is their exclusive or.
		hashes map[string]uint64
		digest uint64
		// complete is the boot time at which the content was last known to be all there is;
		// known is false before the first list.
		complete time.Duration
		known    bool
		// interrupt ends the waiting watch; nil while none waits.
		interrupt   context.CancelFunc
		interrupted bool
		// hurry makes the next watch one that does not wait.
		hurry bool
	}

	// hashed is the hash of one record; present is false for one that is gone or names
	// nothing to use.
	hashed struct {
		name    string
		hash    uint64
		present bool
	}
)

// State returns the digest of the copy and the boot time at which it was complete; false
// means that nothing was read yet.
func (f *Follower[T]) State() (digest uint64, complete time.Duration, known bool) {
	s := &f.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest, s.complete, s.known
}

// Heard takes what a peer says of its copy. The same content was complete when the peer
// found it so; newer content shows that the own watch missed a change.
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

// guard gives up watches that wait while nobody confirms the copy, until ctx ends.
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

// hasten ends a waiting watch; it returns false when none waits.
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

func (s *shared) takeHurry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hurry := s.hurry
	s.hurry = false
	return hurry
}

// begin returns the context of a watch and the function that ends it, which tells whether
// the watch was interrupted.
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

// hashes returns the hashes of records.
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

// apply brings the digest up to a change of the records.
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
