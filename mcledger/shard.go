package mcledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcring"
	"marigoldcroft/mcstore"
)

const (
	// storeTimeout bounds one store operation of a shard, including the time in which
	// mcstore.Client resolves a lost answer.
	storeTimeout = 15 * time.Second
	// maxHeadReads bounds how often one operation reads the head. The head is read again
	// if one of its segments was replaced and removed meanwhile.
	maxHeadReads = 3
	retryBase    = 50 * time.Millisecond
	retryMax     = 2 * time.Second
	// inboxLength bounds the queued commands of a shard, so that the inboxes of all shards
	// take less than 3 MB. The core drains them without waiting for the store.
	inboxLength        = 1024
	removalQueueLength = 256
)

type (
	// command is a message to the goroutine of the shard: a request of a caller or the
	// cancellation of one.
	command struct {
		request *request
		// answer receives the reply. It must have a buffer of one.
		answer chan reply
		// cancel is the call to drop. noRecord, set for cancellations only, receives whether
		// the call certainly left no record.
		cancel   uint64
		noRecord chan bool
	}

	// completion passes the result of a store operation to the core.
	completion func(environment) output

	// shard drives the core of one shard: it performs the core's store operations, one at
	// a time, and delivers its replies.
	shard struct {
		number      int
		store       marigoldcroft.ObjectStore
		hasEnded    func(executor) bool
		log         zerolog.Logger
		counts      *counters
		core        *core
		inbox       *mcring.Ring[command]
		removals    *mcring.Ring[string]
		completions chan completion
		waiting     map[uint64]chan reply
		// retries is the number of backoffs since the last successful store operation.
		retries int
		// failing is true from a failed store operation until the next successful one. Only
		// the goroutine of the outstanding operation accesses it.
		failing bool
	}
)

func newShard(number int, l *Ledger) *shard {
	return &shard{
		number: number, store: l.Store, hasEnded: l.hasEnded, log: l.Log, counts: &l.counts,
		core:  newCore(executor{l.Identity.Instance(), l.Identity.Incarnation()}),
		inbox: mcring.New[command](inboxLength), removals: mcring.New[string](removalQueueLength),
		completions: make(chan completion, 1), waiting: make(map[uint64]chan reply),
	}
}

// run serves the shard until ctx ends. Calls that still wait then get replyUncertain.
func (s *shard) run(ctx context.Context) {
	var retry <-chan time.Time
	for {
		var out output
		select {
		case c := <-s.inbox.Items():
			out = s.handle(c)
		case complete := <-s.completions:
			out = complete(s.environment())
		case <-retry:
			out = s.core.onRetry(s.environment())
		case <-ctx.Done():
			s.stop()
			return
		}
		s.perform(ctx, out)
		if out.retry {
			retry = time.After(s.retryDelay())
		}
	}
}

// stop waits for the outstanding store operation, which ends with the context, and
// answers the waiting calls with replyUncertain.
func (s *shard) stop() {
	if s.core.phase == phaseReading || s.core.phase == phaseWriting {
		<-s.completions
	}
	for _, answer := range s.waiting {
		answer <- reply{kind: replyUncertain}
	}
}

// retryDelay returns the next backoff. Its mean grows with the number of retries, and
// jitter spreads it from half to one and a half of the mean.
func (s *shard) retryDelay() time.Duration {
	mean := mcclock.Backoff(retryBase, retryMax, s.retries)
	s.retries++
	return mean/2 + rand.N(mean)
}

func (s *shard) environment() environment { return environment{now: time.Now(), hasEnded: s.hasEnded} }

func (s *shard) handle(c command) output {
	if c.noRecord != nil {
		delete(s.waiting, c.cancel)
		c.noRecord <- s.core.cancel(c.cancel)
		return output{}
	}
	s.waiting[c.request.call] = c.answer
	return s.core.submit(s.environment(), c.request)
}

func (s *shard) perform(ctx context.Context, out output) {
	for _, r := range out.replies {
		if answer, ok := s.waiting[r.call]; ok {
			delete(s.waiting, r.call)
			answer <- r
		}
	}
	for _, name := range out.removeSegments {
		s.removals.PutDroppingOldest(name)
	}
	switch {
	case out.read:
		known := s.core.segmentNames()
		go func() { s.completions <- s.readHead(ctx, known) }()
	case out.write != nil:
		// The goroutine gets copies of the fields because the core may remove requests from
		// w.batch meanwhile. The records that it encodes are immutable.
		w := out.write
		id, expected, next, sealed, size := w.id, w.expected, w.next, w.sealed, len(w.batch)
		go func() { s.completions <- s.writeHead(ctx, id, expected, next, sealed, size) }()
	}
}

// readHead reads the head and those of its segments that are not in known.
func (s *shard) readHead(ctx context.Context, known map[string]bool) completion {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.counts.reads.Add(1)
	for range maxHeadReads {
		state, err := s.readOnce(ctx, known)
		if err == nil {
			s.failing = false
			return func(env environment) output {
				s.retries = 0
				return s.core.onHeadRead(env, state)
			}
		}
		if !mcstore.IsNotFound(err) {
			s.warnOnce("ledgerReadFailed", err)
			break
		}
	}
	return s.core.onReadFailed
}

func (s *shard) readOnce(ctx context.Context, known map[string]bool) (headReadResult, error) {
	object, err := s.store.Get(ctx, headKey(s.number))
	state := headReadResult{storeEra: marigoldcroft.StoreEra(s.store)}
	if mcstore.IsNotFound(err) {
		return state, nil
	}
	if err != nil {
		return headReadResult{}, err
	}
	state.version, state.writeID = object.Version(), object.WriteID()
	if state.head, err = decodeHead(object.Value()); err != nil {
		return headReadResult{}, err
	}
	for _, e := range state.head.segments {
		if known[e.GetName()] {
			continue
		}
		object, err := s.store.Get(ctx, segmentKey(s.number, e.GetName()))
		if err != nil {
			return headReadResult{}, err
		}
		content, err := decodeSegment(e.GetName(), object.Value())
		if err != nil {
			return headReadResult{}, err
		}
		state.segments = append(state.segments, content)
	}
	return state, nil
}

// writeHead writes the sealed segment, if any, and then the head.
func (s *shard) writeHead(ctx context.Context, id string, expected marigoldcroft.Version, next *head, sealed *segment, size int) completion {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if sealed != nil {
		if err := s.writeSegment(ctx, id, sealed); err != nil {
			s.warnOnce("ledgerSealFailed", err)
			return s.core.onWriteRejected
		}
	}
	value, err := next.encode()
	if err != nil {
		s.log.Error().Int("shard", s.number).Err(err).Msg("ledgerEncodeFailed")
		return s.core.onWriteRejected
	}
	s.counts.writes.Add(1)
	s.counts.writeBytes.Add(uint64(len(value)))
	version, err := s.store.Put(ctx, headKey(s.number), value, expected, id)
	switch {
	case err == nil:
		s.failing = false
		s.counts.recorded.Add(uint64(size))
		return func(env environment) output {
			s.retries = 0
			return s.core.onWriteSucceeded(env, version)
		}
	case mcstore.IsConflict(err):
		s.counts.conflicts.Add(1)
		return s.core.onWriteConflict
	}
	s.warnOnce("ledgerWriteFailed", err)
	if hadNoEffect(err) {
		return s.core.onWriteRejected
	}
	return s.core.onWriteUnknown
}

// warnOnce logs the first of a series of failures. Otherwise, an outage would log a line
// for each refused call.
func (s *shard) warnOnce(event string, err error) {
	if !s.failing {
		s.log.Warn().Int("shard", s.number).Err(err).Msg(event)
	}
	s.failing = true
}

// writeSegment stores a segment. It succeeds if an earlier copy of the same write has stored
// it, which happens when the write of the head that followed was lost.
func (s *shard) writeSegment(ctx context.Context, id string, sealed *segment) error {
	value, err := sealed.encode()
	if err != nil {
		return err
	}
	s.counts.writes.Add(1)
	s.counts.seals.Add(1)
	s.counts.writeBytes.Add(uint64(len(value)))
	key := segmentKey(s.number, sealed.name)
	_, err = s.store.Put(ctx, key, value, "", id)
	if !mcstore.IsConflict(err) {
		return err
	}
	stored, readErr := s.store.Get(ctx, key)
	if readErr != nil {
		return readErr
	}
	if stored.WriteID() != id {
		return err
	}
	return nil
}

// hadNoEffect reports whether a failed write certainly had no effect. After an error of
// any other kind, the write may have taken effect.
func hadNoEffect(err error) bool {
	switch marigoldcroft.FailureKind[mcstore.Kind](err) {
	case mcstore.KindUnavailable, mcstore.KindRateLimited, mcstore.KindTooLarge, mcstore.KindInvalidKey:
		return true
	}
	return false
}

// removeSegments deletes unreferenced segment objects until ctx ends. An object that is
// not deleted only takes up space.
func (s *shard) removeSegments(ctx context.Context) {
	for {
		select {
		case name := <-s.removals.Items():
			key := segmentKey(s.number, name)
			entries, err := s.store.List(ctx, key, "", 1)
			if err == nil && len(entries) == 1 && entries[0].Key == key {
				err = s.store.Delete(ctx, key, entries[0].Version, "remove-"+name)
			}
			if err != nil && ctx.Err() == nil {
				s.log.Warn().Int("shard", s.number).Str("segment", name).Err(err).Msg("ledgerRemoveFailed")
			}
		case <-ctx.Done():
			return
		}
	}
}
