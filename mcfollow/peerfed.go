package mcfollow

import (
	"context"
	"sync"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

// maxChangedRecords limits the records, deleted ones included, whose changes are told apart for peers.
const maxChangedRecords = 1024

// peerFedLead replaces minPeerLead while the copy is fed by peers: a change takes up to five exchanges
// to reach all instances.
const peerFedLead = 2 * time.Second

type (
	// Position orders the states of one kind of records: by the era of the store, which rises when the
	// store comes back from an older copy, and then by the store's revision. The zero value is before
	// all others.
	Position struct{ Era, Revision int64 }

	// PeerCopy is the copy that a peer holds.
	PeerCopy[T any] struct {
		// Records are all records of the kind, or only those that have changed.
		Records []marigoldcroft.Record[T]
		// Partial is true if Records are those that have changed since the position that was asked for.
		Partial bool
		// Positions holds the positions of the last changes of Records, by name, if they are partial.
		Positions map[string]Position
		// Changed is the position of the answer with the last change.
		Changed Position
		// Complete is a time of mcclock.Now at which the copy held every change made until then.
		Complete time.Duration
		// OutageDuration and OutageEndedAt describe the last outage of the store that the peer saw; see
		// Change.
		OutageDuration time.Duration
		OutageEndedAt  time.Time
	}

	// heldRecords holds the records of a follower that is fed by peers, or feeds them.
	heldRecords[T any] struct {
		mu     sync.Mutex
		values map[string]*T
		// positions holds the position of the last change of each record, deleted ones included, that
		// is after floor.
		positions      map[string]Position
		changed, floor Position
		// fetching is true while the copy of a peer is being read.
		fetching bool
	}
)

// Before reports whether the position is before the other one.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// Copy returns the records for a peer whose copy has the position since: those that have changed, if
// that is known, or all. It returns false before the first list, and if PeerFed is nil.
func (f *Follower[T]) Copy(since Position) (PeerCopy[T], bool) {
	_, complete, known := f.CopyStatus()
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	if !known || f.held.values == nil {
		return PeerCopy[T]{}, false
	}
	// The time was read before the records, which may only be newer.
	c := PeerCopy[T]{Changed: f.held.changed, Complete: complete}
	if c.Partial = !since.Before(f.held.floor) && since.Era == f.held.changed.Era; c.Partial {
		c.Positions = make(map[string]Position)
		for name, position := range f.held.positions {
			if since.Before(position) {
				c.Positions[name] = position
				value, present := f.held.values[name]
				c.Records = append(c.Records, marigoldcroft.Record[T]{Name: name, Value: value, Deleted: !present})
			}
		}
	} else {
		for name, value := range f.held.values {
			c.Records = append(c.Records, marigoldcroft.Record[T]{Name: name, Value: value})
		}
	}
	last := f.outages().lastSince(time.Time{})
	c.OutageDuration, c.OutageEndedAt = last.duration, last.endedAt
	return c, true
}

// Changed returns the position of the answer with the last change.
func (f *Follower[T]) Changed() Position {
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	return f.held.changed
}

// IsBehind reports whether a peer with the position has a change that this copy lacks, while Run waits
// for peers. Such a peer does not confirm the copy, even if its digest is equal.
func (f *Follower[T]) IsBehind(peer Position) bool {
	return f.awaiting.Load() && f.Changed().Before(peer)
}

// TakeFrom reads the copy of a peer with fetch, which is given the position of the own copy, and offers
// it to Run. Only one copy is read at a time.
// The copy is dropped if Run is not waiting for peers.
func (f *Follower[T]) TakeFrom(fetch func(since Position) (PeerCopy[T], bool)) {
	if !f.beginFetch() {
		return
	}
	defer f.endFetch()
	if c, ok := fetch(f.Changed()); ok {
		select {
		case f.offers() <- c:
		default:
		}
	}
}

func (f *Follower[T]) beginFetch() bool {
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	if f.held.fetching {
		return false
	}
	f.held.fetching = true
	return true
}

func (f *Follower[T]) endFetch() {
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	f.held.fetching = false
}

func (f *Follower[T]) offers() chan PeerCopy[T] {
	f.offersOnce.Do(func() { f.offered = make(chan PeerCopy[T], 1) })
	return f.offered
}

// waitsForPeers reports whether Run waits for changes from peers and not for those of the store: peers
// hold the watches, and one of them has confirmed the copy lately.
func (f *Follower[T]) waitsForPeers() bool {
	if f.PeerFed == nil || f.StoreFallbackAge == nil || !f.listed || f.failures > 0 || !f.PeerFed() || f.status.isInterrupted() {
		return false
	}
	_, complete, known := f.CopyStatus()
	return known && mcclock.Now()-complete < f.StoreFallbackAge()
}

// awaitPeers applies the copies of peers until the copy is no longer confirmed, PeerFed ends, or the
// context does. Like a watch, it is interrupted when the copy is too old or a peer shows that a change
// was missed.
func (f *Follower[T]) awaitPeers(ctx context.Context) {
	ctx, endWait := f.status.beginWatch(ctx, true)
	defer endWait()
	f.awaiting.Store(true)
	defer f.awaiting.Store(false)
	ticker := time.NewTicker(minAgeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.offers():
			f.adopt(c)
		case <-ticker.C:
			if !f.PeerFed() {
				return
			}
		}
	}
}

// adopt applies a peer's copy if it is newer than the own one. Only the records that differ are
// applied.
func (f *Follower[T]) adopt(c PeerCopy[T]) {
	if !f.Changed().Before(c.Changed) {
		return
	}
	change := Change[T]{CompleteAt: c.Complete}
	if c.OutageDuration > 0 && time.Since(c.OutageEndedAt) < outageRelevance {
		change.OutageDuration, change.OutageEndedAt = c.OutageDuration, c.OutageEndedAt
	}
	listed := make(map[string]bool, len(c.Records))
	for _, r := range c.Records {
		listed[r.Name] = true
		if known, ok := f.held.values[r.Name]; ok == r.Deleted || ok && !f.equal(known, r.Value) {
			change.Records = append(change.Records, r)
		}
	}
	for name := range f.held.values {
		if !c.Partial && !listed[name] {
			change.Records = append(change.Records, marigoldcroft.Record[T]{Name: name, Deleted: true})
		}
	}
	f.revision = c.Changed.Revision
	f.Apply(change)
	// All records of the copy count as changed for other peers, as they may have seen a state between
	// the two; after a full copy, what has changed before is not known.
	f.hold(Change[T]{Records: c.Records, Snapshot: !c.Partial}, c.Changed, c.Positions)
	f.status.apply(false, c.Complete, hashRecords(change.Records, f.Hash))
	f.Logger.Info().Str("records", f.Name).Int("changes", len(change.Records)).Int64("revision", f.revision).Msg("copyAdopted")
}

// equal reports whether two values are equal; Equal is nil for values that are compared by hash.
func (f *Follower[T]) equal(a, b *T) bool {
	switch {
	case a == nil || b == nil:
		return a == b
	case f.Equal != nil:
		return f.Equal(a, b)
	}
	return f.Hash(a) == f.Hash(b)
}

// hold keeps the changed records for peers. Only Run changes the map, so that it may read it without
// the lock.
//
// positions holds the positions of single records, if a peer has stated them.
func (f *Follower[T]) hold(change Change[T], position Position, positions map[string]Position) {
	if f.PeerFed == nil {
		return
	}
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	if change.Snapshot || f.held.values == nil {
		// What has changed since an earlier position is not known after a listing.
		f.held.values, f.held.positions, f.held.floor = make(map[string]*T, len(change.Records)), make(map[string]Position), position
	}
	for _, r := range change.Records {
		if r.Deleted {
			delete(f.held.values, r.Name)
		} else {
			f.held.values[r.Name] = r.Value
		}
		if !change.Snapshot {
			f.held.positions[r.Name] = position
			if stated, ok := positions[r.Name]; ok {
				f.held.positions[r.Name] = stated
			}
		}
	}
	if change.Snapshot || len(change.Records) > 0 || positions != nil {
		f.held.changed = position
	}
	if len(f.held.positions) > maxChangedRecords || f.held.changed.Era != f.held.floor.Era {
		clear(f.held.positions)
		f.held.floor = f.held.changed
	}
}

// feedEra returns the era of the feed's last answer, or 0 if the feed has none.
func (f *Follower[T]) feedEra() int64 {
	if feed, ok := f.Feed.(interface{ Era() int64 }); ok {
		return feed.Era()
	}
	return 0
}
