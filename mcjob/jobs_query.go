package mcjob

import (
	"context"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// Counts holds the counters of one instance since its start.
type Counts struct {
	// Accepted counts jobs that this instance recorded. Refused counts submissions of
	// which it recorded nothing.
	Accepted, Refused uint64
	// Claimed counts all claims. Reclaimed counts those of jobs that had been claimed
	// before.
	Claimed, Reclaimed uint64
	// Done, Failed, Expired and Cancelled count the final states that this instance
	// wrote.
	Done, Failed, Expired, Cancelled uint64
	// Released counts claims given up at a planned stop. LostClaims counts claims ended
	// by a write of another instance or by a cancellation.
	Released, LostClaims uint64
	// Removed counts jobs removed after ResultRetention. Orphans counts deleted orphan
	// chunks.
	Removed, Orphans uint64
	// Running is the number of claims held. Waiting is the number of jobs queued for a
	// slot.
	Running, Waiting int
	// Gets, Lists, Watches, Puts and Deletes count store calls made for jobs.
	Gets, Lists, Watches, Puts, Deletes uint64
	// ReadBytes and WrittenBytes count the bytes of object values.
	ReadBytes, WrittenBytes uint64
	// LostResponses counts writes whose response was lost. Conflicts counts writes that
	// failed because the object had another version.
	LostResponses, Conflicts uint64
}

// StoreCalls returns the total number of store calls.
func (c Counts) StoreCalls() uint64 { return c.Gets + c.Lists + c.Watches + c.Puts + c.Deletes }

// StoreCallsPerJob returns the store calls per accepted job, including those of sweeps.
// It returns 0 while no job has been accepted.
func (c Counts) StoreCallsPerJob() float64 {
	if c.Accepted == 0 {
		return 0
	}
	return float64(c.StoreCalls()) / float64(c.Accepted)
}

// Counts returns the counters of this instance since its start.
func (j *Jobs) Counts() Counts {
	j.init()
	j.mu.Lock()
	running, waiting := len(j.claims), len(j.waiting)
	j.mu.Unlock()
	c, s := &j.counts, &j.store.counts
	return Counts{
		Accepted: c.accepted.Load(), Refused: c.refused.Load(),
		Claimed: c.claimed.Load(), Reclaimed: c.reclaimed.Load(),
		Done: c.done.Load(), Failed: c.failed.Load(), Expired: c.expired.Load(), Cancelled: c.cancelled.Load(),
		Released: c.released.Load(), LostClaims: c.lostClaims.Load(),
		Removed: c.removed.Load(), Orphans: c.orphans.Load(),
		Running: running, Waiting: waiting,
		Gets: s.gets.Load(), Lists: s.lists.Load(), Watches: s.watches.Load(),
		Puts: s.puts.Load(), Deletes: s.deletes.Load(),
		ReadBytes: s.readBytes.Load(), WrittenBytes: s.writtenBytes.Load(),
		LostResponses: s.lostResponses.Load(), Conflicts: s.conflicts.Load(),
	}
}

// Job returns the state of a job and, once it is done, its whole answer. The error for
// an unknown or removed job is also of kind mcstore.KindNotFound.
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

// readAnswer returns the answer of a job whose object has been read. If its chunks no
// longer exist, the job was removed in between.
func (j *Jobs) readAnswer(ctx context.Context, d *document) ([]byte, error) {
	if d.Answers.Count > 0 {
		return j.store.readChunks(ctx, answerPrefix, d.ID, d.Answers)
	}
	return decompress(d.Answer)
}

// readJob returns the content and the version of a job object. A malformed id is
// reported as not found.
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
