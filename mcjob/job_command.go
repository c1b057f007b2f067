package mcjob

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Submit returns after the job is recorded in the store. The same team and key give
// the same job; another body under the key is refused.
func (j *Jobs) Submit(ctx context.Context, s marigoldcroft.JobSubmission) (marigoldcroft.JobStatus, error) {
	j.init()
	if err := checkSubmission(s); err != nil {
		return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("submit job", KindInvalid, err)
	}
	id := newID(s.Team, s.Key)
	if s.Key != "" {
		if job, err := j.known(ctx, id, s); !IsNotFound(err) {
			return job, err
		}
	}
	chunks, err := splitBody(s.Body)
	if err != nil {
		return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("submit job", KindInvalid, err)
	}
	// A job costs its chunks, the acceptance, the claim and the result.
	const ownWrites = 3
	if !j.budget.AllowN(time.Now(), len(chunks)+ownWrites) {
		return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("submit job", KindBudget,
			errors.Newf("the share is %g writes a second", j.WritesPerSecond))
	}
	for i, chunk := range chunks {
		// The id fixes the body: a chunk that exists is of an earlier try with this key,
		// or of another body under the key, whose job object then comes first.
		_, err := j.write(ctx, promptKey(id, i), chunk, "")
		if err != nil && !errors.Is(err, errConflict) {
			return marigoldcroft.JobStatus{}, err
		}
		if err != nil {
			if err := j.replaceChunk(ctx, id, i, chunk, s); err != nil {
				return marigoldcroft.JobStatus{}, err
			}
		}
	}
	record := Record{
		Version: formatVersion, TemplateRevision: s.TemplateRevision, Chunks: len(chunks), BodyHash: hashBody(s.Body),
		JobStatus: marigoldcroft.JobStatus{
			ID: id, Team: s.Team, Template: s.Template, State: marigoldcroft.JobAccepted,
			Created: time.Now().UTC(), Deadline: s.Deadline.UTC(),
		},
	}
	raw, err := encodeRecord(record)
	if err != nil {
		return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("submit job", KindInvalid, err)
	}
	key, _ := jobKey(id)
	if _, err := j.write(ctx, key, raw, ""); err != nil {
		if errors.Is(err, errConflict) {
			return j.known(ctx, id, s)
		}
		return marigoldcroft.JobStatus{}, err
	}
	j.logJob("jobAccepted", id, 0, nil)
	j.Wake()
	return record.JobStatus, nil
}

func checkSubmission(s marigoldcroft.JobSubmission) error {
	const maxKeyBytes = 256
	switch {
	case s.Team == "" || s.Template == "":
		return errors.New("team and template are required")
	case len(s.Body) == 0 || len(s.Body) > maxBodyBytes:
		return errors.Newf("the body has %d bytes; 1 to %d are allowed", len(s.Body), maxBodyBytes)
	case len(s.Key) > maxKeyBytes:
		return errors.Newf("the key has %d bytes; at most %d are allowed", len(s.Key), maxKeyBytes)
	case !s.Deadline.After(time.Now()):
		return errors.New("the deadline is past")
	default:
		return nil
	}
}

// known returns the job of an earlier submission with the same key.
func (j *Jobs) known(ctx context.Context, id string, s marigoldcroft.JobSubmission) (marigoldcroft.JobStatus, error) {
	job, err := j.read(ctx, id)
	if err != nil {
		return marigoldcroft.JobStatus{}, err
	}
	if job.BodyHash != hashBody(s.Body) {
		return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("submit job "+id, KindKeyReused, nil)
	}
	return job.JobStatus, nil
}

// replaceChunk deals with a chunk that an earlier try has left. The runner checks the
// body's hash, so a chunk of another body fails the job and never runs as this one.
func (j *Jobs) replaceChunk(ctx context.Context, id string, i int, chunk []byte, s marigoldcroft.JobSubmission) error {
	if _, err := j.known(ctx, id, s); !IsNotFound(err) {
		return err
	}
	object, err := j.get(ctx, promptKey(id, i))
	if err != nil {
		return marigoldcroft.NewFailure("submit job "+id, KindUnavailable, err)
	}
	if string(object.Value()) == string(chunk) {
		return nil
	}
	_, err = j.write(ctx, promptKey(id, i), chunk, object.Version())
	if errors.Is(err, errConflict) {
		return marigoldcroft.NewFailure("submit job "+id, KindUnavailable, errors.New("two submissions with the key race"))
	}
	return err
}

// Cancel ends the job. A run of it is stopped when its owner learns of it.
func (j *Jobs) Cancel(ctx context.Context, id string) error {
	j.init()
	const tries = 5
	for range tries {
		job, err := j.read(ctx, id)
		if err != nil {
			return err
		}
		if job.State == marigoldcroft.JobCancelled {
			return nil
		}
		if job.State.Final() {
			return marigoldcroft.NewFailure("cancel job "+id, KindFinal, errors.Newf("the state is %s", job.State))
		}
		_, err = j.update(ctx, job, func(r *Record) { end(r, marigoldcroft.JobCancelled, "", "cancelled") })
		if errors.Is(err, errConflict) {
			continue
		}
		if err == nil {
			j.stop(id, errSuperseded)
		}
		return err
	}
	return marigoldcroft.NewFailure("cancel job "+id, KindUnavailable, errors.New("the job keeps changing"))
}

// end sets the final state of a record.
func end(r *Record, state marigoldcroft.JobState, answer, reason string) {
	r.State, r.Answer, r.Error, r.Ended, r.Owner = state, answer, reason, time.Now().UTC(), ""
}

// stop ends the run of a job here, if there is one.
func (j *Jobs) stop(id string, cause error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if cancel, ok := j.held[id]; ok {
		cancel(cause)
	}
}
