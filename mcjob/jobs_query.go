package mcjob

import (
	"context"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// Counts holds what an instance counted since its start.
type Counts struct {
	// Accepted counts jobs that this instance recorded, Refused submissions of which it
	// recorded nothing.
	Accepted, Refused uint64
	// Claimed counts claims, TakenOver those of them after another owner.
	Claimed, TakenOver uint64
	// Done, Failed, Expired and Cancelled count final states that this instance wrote.
	Done, Failed, Expired, Cancelled uint64
	// Released counts claims given up at a planned stop, LostClaims those that another
	// instance or a cancellation ended.
	Released, LostClaims uint64
	// Removed counts jobs removed after ResultRetention, Orphans removed chunks.
	Removed, Orphans uint64
	// Running is the number of claims held, Waiting that of jobs waiting for a place.
	Running, Waiting int
	// Gets, Lists, Watches, Puts and Deletes count store calls for jobs.
	Gets, Lists, Watches, Puts, Deletes uint64
	// ReadBytes and WrittenBytes count bytes of values.
	ReadBytes, WrittenBytes uint64
	// LostAnswers counts writes whose answer was lost, Conflicts those that failed on
	// the version.
	LostAnswers, Conflicts uint64
}

// StoreCalls returns the number of store calls.
func (c Counts) StoreCalls() uint64 { return c.Gets + c.Lists + c.Watches + c.Puts + c.Deletes }

// StoreCallsPerJob returns the store calls per accepted job, sweeps included, or 0
// before the first one.
func (c Counts) StoreCallsPerJob() float64 {
	if c.Accepted == 0 {
		return 0
	}
	return float64(c.StoreCalls()) / float64(c.Accepted)
}

// Counts returns what this instance counted since its start.
func (j *Jobs) Counts() Counts {
	j.init()
	j.mu.Lock()
	running, waiting := len(j.claims), len(j.waiting)
	j.mu.Unlock()
	c, s := &j.counts, &j.store.counts
	return Counts{
		Accepted: c.accepted.Load(), Refused: c.refused.Load(),
		Claimed: c.claimed.Load(), TakenOver: c.takenOver.Load(),
		Done: c.done.Load(), Failed: c.failed.Load(), Expired: c.expired.Load(), Cancelled: c.cancelled.Load(),
		Released: c.released.Load(), LostClaims: c.lostClaims.Load(),
		Removed: c.removed.Load(), Orphans: c.orphans.Load(),
		Running: running, Waiting: waiting,
		Gets: s.gets.Load(), Lists: s.lists.Load(), Watches: s.watches.Load(),
		Puts: s.puts.Load(), Deletes: s.deletes.Load(),
		ReadBytes: s.readBytes.Load(), WrittenBytes: s.writtenBytes.Load(),
		LostAnswers: s.lostAnswers.Load(), Conflicts: s.conflicts.Load(),
	}
}

// Job returns the state of a job, with its whole answer once it is done. The error of
// an unknown or removed job is also of the kind mcstore.KindNotFound.
func (j *Jobs) Job(ctx context.Context, id string) (marigoldcroft.JobStatus, error) {
	const operation = "read job"
	j.init()
	document, _, err := j.readJob(ctx, id)
	if err != nil {
		return marigoldcroft.JobStatus{}, readFailure(operation, err)
	}
	status := document.status()
	if document.State != marigoldcroft.JobDone {
		return status, nil
	}
	answer, err := j.readAnswer(ctx, document)
	if err != nil {
		return marigoldcroft.JobStatus{}, readFailure(operation, err)
	}
	status.Answer = string(answer)
	return status, nil
}

// readAnswer reads chunks after the job object: if they are gone, the job was removed
// meanwhile.
func (j *Jobs) readAnswer(ctx context.Context, d *document) ([]byte, error) {
	if d.Answers.Count > 0 {
		return j.store.readChunks(ctx, answerPrefix, d.ID, d.Answers)
	}
	return decompress(d.Answer)
}

// readJob returns the job object. A malformed id is not found.
func (j *Jobs) readJob(ctx context.Context, id string) (*document, marigoldcroft.Version, error) {
	if !idPattern.MatchString(id) {
		return nil, "", marigoldcroft.NewFailure("read job", mcstore.KindNotFound, nil)
	}
	object, err := j.store.get(ctx, jobKey(id))
	if err != nil {
		return nil, "", err
	}
	document, err := decodeDocument(object.Value())
	return document, object.Version(), err
}
