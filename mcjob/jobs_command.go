package mcjob

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// cancelAttempts is how often a cancellation is tried when other writes to the job come
// first. A job has few other writers.
const cancelAttempts = 10

// Submit returns once the job is recorded in the store. If a job with the same key was
// recorded before, it returns that job. An error of kind KindRefused or KindInvalid
// means that this submission recorded nothing; after KindUnknown the job may exist and
// run.
func (j *Jobs) Submit(ctx context.Context, submission marigoldcroft.JobSubmission) (marigoldcroft.JobStatus, error) {
	j.init()
	status, err := j.submit(ctx, submission)
	if IsKind(err, KindRefused) || IsKind(err, KindInvalid) {
		j.counts.refused.Add(1)
	}
	return status, err
}

func (j *Jobs) submit(ctx context.Context, submission marigoldcroft.JobSubmission) (marigoldcroft.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	id := jobID(submission.Team, submission.Key)
	hash := digest([]byte(submission.Template), submission.Body)
	if submission.Key != "" {
		status, found, err := j.findRecorded(ctx, id, hash)
		if found || err != nil {
			return status, err
		}
	}
	if err := j.admit(submission); err != nil {
		return marigoldcroft.JobStatus{}, err
	}
	compressed, err := compress(submission.Body)
	if err != nil {
		return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("submit job", KindInvalid, err)
	}
	document := &document{
		Format: documentFormat, ID: id, Team: submission.Team, Template: submission.Template,
		TemplateRevision: submission.TemplateRevision, State: marigoldcroft.JobAccepted,
		Created: time.Now().UTC(), Deadline: submission.Deadline, AcceptedBy: j.self, Hash: hash,
	}
	j.budget.charge(jobWrites(len(splitChunks(compressed))) - 1)
	document.Prompt, err = j.store.writeChunks(ctx, promptPrefix, id, uuid.NewString(), compressed, false)
	if err != nil {
		// Without the job object the job does not exist, so the submission is not
		// recorded even if some chunks were written.
		j.removePromptInBackground(document)
		return marigoldcroft.JobStatus{}, notRecordedFailure(err)
	}
	return j.createJob(ctx, document)
}

// admit returns an error if the submission cannot be accepted now. Otherwise it takes
// one write from the budget.
func (j *Jobs) admit(submission marigoldcroft.JobSubmission) error {
	j.mu.Lock()
	stopped := j.stopped
	j.mu.Unlock()
	switch {
	case len(submission.Body) > MaxBodyBytes:
		return refusedFailure(KindInvalid, mcstore.KindTooLarge,
			fmt.Sprintf("the body has %d bytes; at most %d are allowed", len(submission.Body), MaxBodyBytes))
	case !submission.Deadline.After(time.Now()):
		return refusedFailure(KindInvalid, mcstore.KindUnavailable, "the deadline has passed")
	case stopped:
		return refusedFailure(KindRefused, mcstore.KindUnavailable, "this instance takes no new jobs")
	case !j.budget.admit():
		return refusedFailure(KindRefused, mcstore.KindRateLimited, "the share of store writes for jobs is used up")
	}
	return nil
}

// notRecordedFailure returns the error for a submission that was not recorded. It keeps
// the store kind if the store refused the call. A lost response to a chunk write is
// reported as unavailable, since the job object was not written.
func notRecordedFailure(err error) error {
	if kind := marigoldcroft.FailureKind[mcstore.Kind](err); kind == mcstore.KindRateLimited || kind == mcstore.KindUnavailable {
		return marigoldcroft.NewFailure("submit job", KindRefused, err)
	}
	return refusedFailure(KindRefused, mcstore.KindUnavailable, err.Error())
}

// createJob writes the job object. The write succeeds only if the object does not
// exist, which decides between concurrent submissions with the same key.
func (j *Jobs) createJob(ctx context.Context, d *document) (marigoldcroft.JobStatus, error) {
	value, err := d.encode()
	if err != nil {
		return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("submit job", KindInvalid, err)
	}
	version, err := j.store.put(ctx, jobKey(d.ID), value, "", false)
	switch {
	case err == nil:
		j.counts.accepted.Add(1)
		j.startOrQueue(versionedJob{d, version})
		return d.status(), nil
	case errors.Is(err, errReplaced):
		return j.resolveCreateConflict(ctx, d)
	case IsKind(err, KindUnknown):
		return marigoldcroft.JobStatus{}, unknownOutcomeFailure("submit job", err)
	}
	j.removePromptInBackground(d)
	return marigoldcroft.JobStatus{}, notRecordedFailure(err)
}

// resolveCreateConflict determines whose job object exists: that of another submission,
// or that of this one. In the second case the response to its create was lost and the
// owner has updated the object since.
func (j *Jobs) resolveCreateConflict(ctx context.Context, d *document) (marigoldcroft.JobStatus, error) {
	existing, _, err := j.readJob(ctx, d.ID)
	if err != nil {
		return marigoldcroft.JobStatus{}, unknownOutcomeFailure("submit job", err)
	}
	if existing.Prompt.Name == d.Prompt.Name {
		j.counts.accepted.Add(1)
		return existing.status(), nil
	}
	j.removePromptInBackground(d)
	return matchSubmission(existing, d.Hash)
}

// findRecorded looks up the job of a key. If the read fails, an earlier submission may
// have been recorded, so the error then has kind KindUnknown.
func (j *Jobs) findRecorded(ctx context.Context, id string, hash []byte) (marigoldcroft.JobStatus, bool, error) {
	existing, _, err := j.readJob(ctx, id)
	switch {
	case mcstore.IsNotFound(err):
		return marigoldcroft.JobStatus{}, false, nil
	case err != nil:
		return marigoldcroft.JobStatus{}, false, unknownOutcomeFailure("submit job", err)
	}
	status, err := matchSubmission(existing, hash)
	return status, true, err
}

func matchSubmission(existing *document, hash []byte) (marigoldcroft.JobStatus, error) {
	if !bytes.Equal(existing.Hash, hash) {
		return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("submit job", KindKeyReused, nil)
	}
	return existing.status(), nil
}

// removePromptInBackground deletes the chunks of a submission that was not recorded.
// Chunks that it fails to delete are orphans, which a sweep removes.
func (j *Jobs) removePromptInBackground(d *document) {
	j.goBackground(func() {
		if err := j.store.removeChunks(j.runCtx, promptPrefix, d.ID, d.Prompt); err != nil {
			j.Log.Debug().Str("job", d.ID).Err(err).Msg("jobPromptNotRemoved")
		}
	})
}

// Cancel ends a job that has not ended; its owner notices the change and stops the
// runner. Cancelling a cancelled job succeeds.
func (j *Jobs) Cancel(ctx context.Context, id string) error {
	const operation = "cancel job"
	j.init()
	for range cancelAttempts {
		document, version, err := j.readJob(ctx, id)
		switch {
		case err != nil:
			return readFailure(operation, err)
		case document.State == marigoldcroft.JobCancelled:
			return nil
		case document.State.Final():
			return marigoldcroft.NewFailure(operation, KindEnded,
				marigoldcroft.NewFailure(operation, mcstore.KindConflict, errors.Newf("its state is %s", document.State)))
		}
		err = j.writeFinalState(ctx, versionedJob{document, version}, document.withFinalState(marigoldcroft.JobCancelled, ""), false)
		switch {
		case err == nil:
			j.stopClaim(id, errLostClaim)
			return nil
		case IsKind(err, KindUnknown):
			return unknownOutcomeFailure(operation, err)
		case !errors.Is(err, errReplaced):
			return marigoldcroft.NewFailure(operation, KindUnavailable, err)
		}
	}
	return marigoldcroft.NewFailure(operation, KindUnavailable, errors.New("other writers were faster"))
}

// writeFinalState replaces the version in from by a document in a final state and
// counts it. With persist, it retries until ctx ends while the store is down.
func (j *Jobs) writeFinalState(ctx context.Context, from versionedJob, next *document, persist bool) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	if _, err := j.store.put(ctx, jobKey(next.ID), value, from.version, persist); err != nil {
		return err
	}
	switch next.State {
	case marigoldcroft.JobDone:
		j.counts.done.Add(1)
	case marigoldcroft.JobFailed:
		j.counts.failed.Add(1)
	case marigoldcroft.JobExpired:
		j.counts.expired.Add(1)
	case marigoldcroft.JobCancelled:
		j.counts.cancelled.Add(1)
	}
	j.Log.Info().Str("job", next.ID).Str("team", next.Team).Str("state", string(next.State)).
		Uint64("epoch", next.Epoch).Str("error", next.Error).Msg("jobEnded")
	return nil
}
