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
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstore"
)

const (
	// maxReadFailuresPerSweep ends a sweep, as the store is probably down.
	maxReadFailuresPerSweep = 3
	// sweepJobTimeout bounds the settling of one write of a sweep, so that an object that cannot
	// be written does not hold up its shard.
	sweepJobTimeout = 30 * time.Second
)

type (
	// shard is what a sweeper knows of its shard. Only its goroutine uses it.
	shard struct {
		number int
		// sweeping is true while there is such a goroutine.
		sweeping atomic.Bool
		// complete is true if the last sweep could read all jobs.
		complete bool
		// known has the jobs at the versions last read, without their answers.
		known map[string]versionedJob
		// unreadable has the versions of objects that this instance does not understand.
		unreadable map[string]marigoldcroft.Version
		// unreferencedSince has the time at which a chunk was first seen without a reference.
		unreferencedSince map[string]time.Time
		nextOrphanScan    time.Time
	}

	// chunkEntry is a listed chunk.
	chunkEntry struct {
		marigoldcroft.ObjectEntry
		prefix string
	}
)

func newShard(number int) *shard {
	s := &shard{number: number}
	s.reset()
	return s
}

func (s *shard) reset() {
	s.known = make(map[string]versionedJob)
	s.unreadable = make(map[string]marigoldcroft.Version)
	s.unreferencedSince = make(map[string]time.Time)
}

// sweep starts a sweeper for each owned shard that has none, until ctx ends.
func (j *Jobs) sweep(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		for _, s := range j.shards {
			if j.owns(s.number) && s.sweeping.CompareAndSwap(false, true) {
				wg.Go(func() {
					defer s.sweeping.Store(false)
					j.sweepShard(ctx, s)
				})
			}
		}
		mcclock.Sleep(ctx, SweepInterval)
	}
}

// sweepShard sweeps at each interval as long as the shard is owned. The shards are
// spread over the interval.
func (j *Jobs) sweepShard(ctx context.Context, s *shard) {
	defer s.reset()
	if !mcclock.Sleep(ctx, time.Duration(s.number)*SweepInterval/ShardCount) {
		return
	}
	for j.owns(s.number) {
		next := time.Now().Add(SweepInterval)
		if err := j.sweepOnce(ctx, s); err != nil && ctx.Err() == nil {
			j.Log.Debug().Int("shard", s.number).Err(err).Msg("jobSweepFailed")
		}
		if !mcclock.Sleep(ctx, time.Until(next)) {
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
	unchanged := s.retainUnchanged(entries)
	if err := j.sweepChanged(ctx, s, entries); err != nil {
		return err
	}
	for _, c := range unchanged {
		if err := j.sweepJob(ctx, c); err != nil {
			return err
		}
	}
	return j.removeOrphans(ctx, s, chunks)
}

// retainUnchanged forgets what is no longer listed and returns the jobs at known versions,
// the oldest first, so that none is passed over for ever when places are few.
func (s *shard) retainUnchanged(entries []marigoldcroft.ObjectEntry) []versionedJob {
	listed := make(map[string]marigoldcroft.Version, len(entries))
	for _, entry := range entries {
		listed[entry.Key] = entry.Version
	}
	maps.DeleteFunc(s.known, func(key string, c versionedJob) bool { return listed[key] != c.version })
	maps.DeleteFunc(s.unreadable, func(key string, v marigoldcroft.Version) bool { return listed[key] != v })
	jobs := slices.Collect(maps.Values(s.known))
	slices.SortFunc(jobs, func(a, b versionedJob) int { return a.document.Created.Compare(b.document.Created) })
	return jobs
}

// sweepChanged reads the objects whose version changed and acts on each at once: the first
// sweep of a shard reads all of its jobs, which takes a while.
func (j *Jobs) sweepChanged(ctx context.Context, s *shard, entries []marigoldcroft.ObjectEntry) error {
	failures := 0
	for _, entry := range entries {
		_, known := s.known[entry.Key]
		if _, unreadable := s.unreadable[entry.Key]; known || unreadable {
			continue
		}
		err := j.readAndSweep(ctx, s, entry.Key)
		if err == nil {
			continue
		}
		// An object that alone cannot be read must not keep the others from their end.
		if failures++; failures == maxReadFailuresPerSweep {
			return err
		}
	}
	s.complete = failures == 0
	return nil
}

func (j *Jobs) readAndSweep(ctx context.Context, s *shard, key string) error {
	object, err := j.store.get(ctx, key)
	switch {
	case mcstore.IsNotFound(err):
		return nil
	case err != nil:
		return err
	}
	document, err := decodeDocument(object.Value())
	if err != nil {
		j.Log.Error().Str("key", key).Err(err).Msg("jobUnreadable")
		s.unreadable[key] = object.Version()
		return nil
	}
	document.Answer = nil
	s.known[key] = versionedJob{document, object.Version()}
	return j.sweepJob(ctx, s.known[key])
}

// sweepJob does what one job needs now. It returns only errors that say that the store does
// not serve calls.
func (j *Jobs) sweepJob(ctx context.Context, c versionedJob) error {
	ctx, cancel := context.WithTimeout(ctx, sweepJobTimeout)
	defer cancel()
	err := j.advanceJob(ctx, c)
	switch kind := marigoldcroft.FailureKind[mcstore.Kind](err); {
	case kind == mcstore.KindUnavailable, kind == mcstore.KindBudget:
		return err
	case err != nil && !errors.Is(err, errReplaced):
		j.Log.Warn().Str("job", c.document.ID).Err(err).Msg("jobNotSwept")
	}
	return nil
}

func (j *Jobs) advanceJob(ctx context.Context, c versionedJob) error {
	d, now := c.document, time.Now()
	abandoned := d.State == marigoldcroft.JobRunning && j.hasEnded(d.Owner)
	switch {
	case d.State.Final():
		if now.Before(d.Finished.Add(ResultRetention)) {
			return nil
		}
		return j.removeJob(ctx, c)
	case j.overdue(d, abandoned, now):
		j.budget.charge(1)
		return j.writeFinalState(ctx, c, d.withFinalState(marigoldcroft.JobExpired, "the deadline passed"), false)
	case abandoned, d.State == marigoldcroft.JobAccepted && (d.AcceptedBy == owner{} || j.hasEnded(d.AcceptedBy)):
		j.startOrQueue(c)
	case d.State == marigoldcroft.JobAccepted && now.After(d.Created.Add(SweepInterval)):
		// The instance that accepted the job is to start it at once, and has no place.
		j.tryStart(c)
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

// removeJob deletes the job object first: without it, the chunks are orphans if this
// instance dies before it deletes them.
func (j *Jobs) removeJob(ctx context.Context, c versionedJob) error {
	d := c.document
	if err := j.store.deleteVersion(ctx, jobKey(d.ID), c.version); err != nil {
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
	if time.Now().Before(s.nextOrphanScan) {
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
	s.nextOrphanScan = time.Now().Add(orphanScanInterval)
	return chunks, nil
}

// removeOrphans deletes the chunks that were without a reference for OrphanGrace.
func (j *Jobs) removeOrphans(ctx context.Context, s *shard, chunks []chunkEntry) error {
	if chunks == nil || !s.complete {
		return nil
	}
	now := time.Now()
	stillUnreferenced := make(map[string]time.Time)
	for _, chunk := range chunks {
		if s.isReferenced(chunk) {
			continue
		}
		first, ok := s.unreferencedSince[chunk.Key]
		if !ok {
			first = now
		}
		stillUnreferenced[chunk.Key] = first
		if now.Sub(first) < OrphanGrace {
			continue
		}
		j.budget.charge(1)
		if err := j.store.deleteVersion(ctx, chunk.Key, chunk.Version); err != nil {
			return err
		}
		j.counts.orphans.Add(1)
		delete(stillUnreferenced, chunk.Key)
	}
	s.unreferencedSince = stillUnreferenced
	return nil
}

// isReferenced tells whether a chunk is or may become part of a job. The answer chunks of a
// job that has not ended may be referred to by its end.
func (s *shard) isReferenced(chunk chunkEntry) bool {
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
