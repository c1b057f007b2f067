package mcjob

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

type (
	// shard is what a sweeper knows of its shard. Only its goroutine uses it.
	shard struct {
		number int
		// active is true while there is such a goroutine.
		active atomic.Bool
		// known has the jobs at the versions last read, without their answers.
		known map[string]claimable
		// unreadable has the versions of objects that this instance does not understand.
		unreadable map[string]marigoldcroft.Version
		// orphans has the time at which a chunk was first seen without a reference.
		orphans     map[string]time.Time
		nextOrphans time.Time
	}

	// chunkEntry is a listed chunk.
	chunkEntry struct {
		marigoldcroft.ObjectEntry
		prefix string
	}
)

func newShard(number int) *shard {
	s := &shard{number: number}
	s.forget()
	return s
}

func (s *shard) forget() {
	s.known = make(map[string]claimable)
	s.unreadable = make(map[string]marigoldcroft.Version)
	s.orphans = make(map[string]time.Time)
}

// sweep starts a sweeper for each owned shard that has none, until ctx ends.
func (j *Jobs) sweep(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		for _, s := range j.shards {
			if j.owns(s.number) && s.active.CompareAndSwap(false, true) {
				wg.Go(func() {
					defer s.active.Store(false)
					j.sweepShard(ctx, s)
				})
			}
		}
		sleep(ctx, SweepInterval)
	}
}

// sweepShard sweeps at each interval as long as the shard is owned. The shards are
// spread over the interval.
func (j *Jobs) sweepShard(ctx context.Context, s *shard) {
	defer s.forget()
	if !sleep(ctx, time.Duration(s.number)*SweepInterval/ShardCount) {
		return
	}
	for j.owns(s.number) {
		next := time.Now().Add(SweepInterval)
		if err := j.sweepOnce(ctx, s); err != nil && ctx.Err() == nil {
			j.Log.Debug().Int("shard", s.number).Err(err).Msg("jobSweepFailed")
		}
		if !sleep(ctx, time.Until(next)) {
			return
		}
	}
}

func (j *Jobs) sweepOnce(ctx context.Context, s *shard) error {
	chunks, err := j.listChunks(ctx, s)
	if err != nil {
		return err
	}
	entries, err := j.store.list(ctx, shardPrefix(jobPrefix, shardName(s.number))+"/")
	if err != nil {
		return err
	}
	if err := j.refresh(ctx, s, entries); err != nil {
		return err
	}
	jobs := slices.Collect(maps.Values(s.known))
	slices.SortFunc(jobs, func(a, b claimable) int { return a.document.Created.Compare(b.document.Created) })
	for _, c := range jobs {
		if err := j.act(ctx, c); err != nil && !errors.Is(err, errReplaced) {
			return err
		}
	}
	return j.removeOrphans(ctx, s, chunks)
}

// refresh reads the objects whose version changed and forgets those that are gone.
func (j *Jobs) refresh(ctx context.Context, s *shard, entries []marigoldcroft.ObjectEntry) error {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Key] = true
		if s.known[entry.Key].version == entry.Version || s.unreadable[entry.Key] == entry.Version {
			continue
		}
		object, err := j.store.get(ctx, entry.Key)
		if err != nil {
			delete(s.known, entry.Key)
			if readFailed(err) {
				return err
			}
			continue
		}
		document, err := decode(object.Value())
		if err != nil {
			j.Log.Error().Str("key", entry.Key).Err(err).Msg("jobUnreadable")
			delete(s.known, entry.Key)
			s.unreadable[entry.Key] = object.Version()
			continue
		}
		document.Answer = nil
		s.known[entry.Key] = claimable{document, object.Version()}
	}
	gone := func(key string) bool { return !listed[key] }
	maps.DeleteFunc(s.known, func(key string, _ claimable) bool { return gone(key) })
	maps.DeleteFunc(s.unreadable, func(key string, _ marigoldcroft.Version) bool { return gone(key) })
	return nil
}

// act does what one job needs now.
func (j *Jobs) act(ctx context.Context, c claimable) error {
	d, now := c.document, time.Now()
	abandoned := d.State == marigoldcroft.JobRunning && j.gone(d.Owner)
	switch {
	case d.State.Final():
		if now.Before(d.Finished.Add(ResultRetention)) {
			return nil
		}
		return j.remove(ctx, c)
	case j.overdue(d, abandoned, now):
		j.budget.charge(1)
		return j.finish(ctx, c, d.ended(marigoldcroft.JobExpired, "the deadline passed"), false)
	case abandoned, d.State == marigoldcroft.JobAccepted && (d.AcceptedBy == owner{} || j.gone(d.AcceptedBy)):
		j.offer(c)
	case d.State == marigoldcroft.JobAccepted && now.After(d.Created.Add(SweepInterval)):
		// The instance that accepted the job is to start it at once, and has no place.
		j.tryClaim(c)
	}
	return nil
}

// overdue leaves a running job to a live owner for HangGrace, which writes what became
// of it.
func (j *Jobs) overdue(d *document, abandoned bool, now time.Time) bool {
	if d.State == marigoldcroft.JobRunning && !abandoned {
		return now.After(d.Deadline.Add(HangGrace))
	}
	return !now.Before(d.Deadline)
}

// remove deletes the job object first: without it, the chunks are orphans if this
// instance dies before it deletes them.
func (j *Jobs) remove(ctx context.Context, c claimable) error {
	d := c.document
	if err := j.store.remove(ctx, jobKey(d.ID), c.version); err != nil {
		return err
	}
	j.counts.removed.Add(1)
	if err := j.store.removeChunks(ctx, promptPrefix, d.ID, d.Prompt); err != nil {
		return err
	}
	return j.store.removeChunks(ctx, answerPrefix, d.ID, d.Answers)
}

// listChunks lists the chunks of the shard, less often than the jobs. It comes before
// the list of jobs, which then has the job of each chunk that has one.
func (j *Jobs) listChunks(ctx context.Context, s *shard) ([]chunkEntry, error) {
	if time.Now().Before(s.nextOrphans) {
		return nil, nil
	}
	var chunks []chunkEntry
	for _, prefix := range []string{promptPrefix, answerPrefix} {
		entries, err := j.store.list(ctx, shardPrefix(prefix, shardName(s.number))+"-")
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			chunks = append(chunks, chunkEntry{entry, prefix})
		}
	}
	s.nextOrphans = time.Now().Add(orphanInterval)
	return chunks, nil
}

// removeOrphans deletes the chunks that were without a reference for OrphanGrace.
func (j *Jobs) removeOrphans(ctx context.Context, s *shard, chunks []chunkEntry) error {
	if chunks == nil {
		return nil
	}
	now := time.Now()
	seen := make(map[string]time.Time)
	for _, chunk := range chunks {
		if s.refersTo(chunk) {
			continue
		}
		first, ok := s.orphans[chunk.Key]
		if !ok {
			first = now
		}
		seen[chunk.Key] = first
		if now.Sub(first) < OrphanGrace {
			continue
		}
		j.budget.charge(1)
		if err := j.store.remove(ctx, chunk.Key, chunk.Version); err != nil {
			return err
		}
		j.counts.orphans.Add(1)
		delete(seen, chunk.Key)
	}
	s.orphans = seen
	return nil
}

// refersTo tells whether a chunk is or may become part of a job. The answer chunks of a
// job that has not ended may be referred to by its end.
func (s *shard) refersTo(chunk chunkEntry) bool {
	id, set, ok := parseChunkKey(chunk.prefix, chunk.Key)
	if !ok {
		return true
	}
	key := jobKey(id)
	if _, ok := s.unreadable[key]; ok {
		return true
	}
	d := s.known[key].document
	switch {
	case d == nil:
		return false
	case chunk.prefix == promptPrefix:
		return set == d.Prompt.Name
	}
	return !d.State.Final() || set == d.Answers.Name
}
