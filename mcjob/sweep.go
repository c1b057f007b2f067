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
	// maxReadFailuresPerSweep is the number of failed reads after which a sweep ends,
	// as the store is probably down.
	maxReadFailuresPerSweep = 3
	// sweepJobTimeout bounds the work of a sweep on one job, so that an object that
	// cannot be written does not block the rest of its shard.
	sweepJobTimeout = 30 * time.Second
)

type (
	// shard is the sweeper's view of one shard. Only the goroutine that sweeps the
	// shard uses it.
	shard struct {
		number int
		// sweeping is true while a goroutine sweeps the shard.
		sweeping atomic.Bool
		// complete is true if the last sweep could read all jobs of the shard.
		complete bool
		// known holds the jobs by key, each at the version last read and without its
		// answer.
		known map[string]versionedJob
		// unreadable holds, by key, the versions of objects that this instance cannot
		// decode.
		unreadable map[string]marigoldcroft.Version
		// unreferencedSince holds, by key, when a chunk was first seen without a job
		// that refers to it.
		unreferencedSince map[string]time.Time
		nextOrphanScan    time.Time
	}

	// chunkEntry is a chunk found by a list call, with the key prefix of its kind.
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

// sweep starts a goroutine for each owned shard that has none, until ctx ends.
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

// sweepShard sweeps the shard every SweepInterval while this instance owns it. The
// start is delayed by the shard number, which spreads the shards over the interval.
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

// retainUnchanged drops the objects that were changed or deleted since they were read,
// and returns the remaining jobs. They are sorted by age, oldest first, so that none is
// skipped forever when slots are scarce.
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

// sweepChanged reads the objects whose version changed and handles each one at once. It
// does not read all of them first, as the first sweep of a shard reads every job in it,
// which takes a while.
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
		// A single unreadable object must not keep the other jobs of the shard from
		// being handled.
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

// sweepJob handles one job with a time limit. It returns only errors that mean that the
// store does not serve calls. It logs other errors, except conflicts.
func (j *Jobs) sweepJob(ctx context.Context, c versionedJob) error {
	ctx, cancel := context.WithTimeout(ctx, sweepJobTimeout)
	defer cancel()
	err := j.advanceJob(ctx, c)
	switch kind := marigoldcroft.FailureKind[mcstore.Kind](err); {
	case kind == mcstore.KindUnavailable, kind == mcstore.KindRateLimited:
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
		// The instance that accepted the job should have started it at once, so it has
		// no free slot.
		j.tryStart(c)
	}
	return nil
}

// overdue reports whether a sweeper should expire the job. A running job with a live
// owner is left to it for HangGrace after the deadline, as the owner records the
// outcome itself.
func (j *Jobs) overdue(d *document, abandoned bool, now time.Time) bool {
	if d.State == marigoldcroft.JobRunning && !abandoned {
		return now.After(d.Deadline.Add(HangGrace))
	}
	return !now.Before(d.Deadline)
}

// removeJob deletes the job object before its chunks. If this instance dies in between,
// the chunks are orphans, which a later sweep removes.
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

// listChunks lists the chunks of the shard if orphanScanInterval has passed since the
// last list. It must be called before the jobs are listed, so that a job created in
// between is in the later list and its chunks are not taken for orphans.
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

// removeOrphans deletes the chunks that have had no reference for OrphanGrace.
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

// isReferenced reports whether a chunk belongs to a job or may still do so. Until a job
// has ended, its final state may refer to any answer chunks stored under its id.
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
