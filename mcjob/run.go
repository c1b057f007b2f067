package mcjob

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstore"
)

var (
	// errLostClaim is the cause when a run is stopped because the job object was
	// changed by another write.
	errLostClaim = errors.New("the job is no longer owned here")
	// errReleased is the cause when a run is stopped by a planned stop of the instance.
	errReleased = errors.New("the instance stops")
)

type (
	// claim is a job that this instance runs or is about to claim.
	claim struct {
		versionedJob
		stop context.CancelCauseFunc
		// written is closed once this instance makes no further writes for the claim.
		written chan struct{}
	}

	runResult struct {
		answer string
		err    error
	}
)

// startOrQueue starts a job if a slot is free, or else queues it for one.
func (j *Jobs) startOrQueue(c versionedJob) {
	if j.tryStart(c) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	same := func(w versionedJob) bool { return w.document.ID == c.document.ID }
	if i := slices.IndexFunc(j.waiting, same); i >= 0 {
		j.waiting[i] = c
	} else if !j.stopped && len(j.waiting) < maxWaitingJobs {
		j.waiting = append(j.waiting, c)
	}
}

// tryStart starts a goroutine that claims and runs the job. It returns false if no slot
// is free or the instance takes no new claims.
func (j *Jobs) tryStart(c versionedJob) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := c.document.ID
	if j.stopped || len(j.claims) >= j.MaxRunning {
		return false
	}
	if j.claims[id] != nil {
		return true
	}
	ctx, stop := context.WithCancelCause(j.runCtx)
	held := &claim{versionedJob: c, stop: stop, written: make(chan struct{})}
	j.claims[id] = held
	j.tasks.Go(func() {
		defer stop(nil)
		j.processJob(ctx, held)
		j.releaseSlot(id)
	})
	return true
}

// releaseSlot frees the slot of a job and starts the next one in the queue.
func (j *Jobs) releaseSlot(id string) {
	j.mu.Lock()
	delete(j.claims, id)
	var next *versionedJob
	if len(j.waiting) > 0 {
		next = &j.waiting[0]
		j.waiting = j.waiting[1:]
	}
	j.mu.Unlock()
	if next != nil {
		j.startOrQueue(*next)
	}
}

// goBackground runs f in a goroutine that Run waits for, unless Run has ended.
func (j *Jobs) goBackground(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.runCtx.Err() == nil {
		j.tasks.Go(f)
	}
}

func (j *Jobs) stopClaim(id string, cause error) {
	j.mu.Lock()
	held := j.claims[id]
	j.mu.Unlock()
	if held != nil {
		held.stop(cause)
	}
}

// processJob claims the job, runs it and writes its outcome. It returns after the
// runner has returned, or when Run ends.
func (j *Jobs) processJob(ctx context.Context, c *claim) {
	if !j.writeClaim(c) {
		close(c.written)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.document.Deadline)
	defer cancel()
	watchCtx, endWatch := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		j.watchJob(watchCtx, c)
	}()
	results := make(chan runResult, 1)
	go func() { results <- j.callRunner(ctx, c.document) }()
	result, returned := awaitResult(ctx, results)
	endWatch()
	<-watched
	j.writeOutcome(ctx, c, result)
	close(c.written)
	if !returned {
		// A runner that ignores its context keeps its slot, so that MaxRunning holds.
		// It does not keep the process from stopping.
		select {
		case <-results:
		case <-j.runCtx.Done():
		}
	}
}

// awaitResult returns the runner's result. If the runner does not return within
// StopGrace after the end of ctx, it returns the cause of that end and false.
func awaitResult(ctx context.Context, results <-chan runResult) (runResult, bool) {
	select {
	case result := <-results:
		return result, true
	case <-ctx.Done():
	}
	timer := time.NewTimer(StopGrace)
	defer timer.Stop()
	select {
	case result := <-results:
		return result, true
	case <-timer.C:
		return runResult{err: context.Cause(ctx)}, false
	}
}

// writeClaim makes this instance the owner by a conditional update. If the response of
// the update is lost, its outcome is determined before the method returns. Until then
// no other instance takes the job while this one is alive.
func (j *Jobs) writeClaim(c *claim) bool {
	claimed := *c.document
	reclaimed := claimed.Epoch > 0
	claimed.State, claimed.Owner = marigoldcroft.JobRunning, j.self
	claimed.Epoch++
	value, err := claimed.encode()
	if err != nil {
		return false
	}
	if reclaimed {
		j.budget.charge(1)
	}
	version, err := j.store.put(j.runCtx, jobKey(claimed.ID), value, c.version, false)
	if err != nil {
		if !errors.Is(err, errReplaced) {
			j.Log.Debug().Str("job", claimed.ID).Err(err).Msg("jobNotClaimed")
		}
		return false
	}
	c.versionedJob = versionedJob{&claimed, version}
	j.counts.claimed.Add(1)
	if reclaimed {
		j.counts.reclaimed.Add(1)
	}
	return true
}

// watchJob stops the run when another write changes or deletes the job object.
func (j *Jobs) watchJob(ctx context.Context, c *claim) {
	for attempt := 0; ctx.Err() == nil; {
		start := time.Now()
		object, err := j.store.watch(ctx, jobKey(c.document.ID), c.version, watchTimeout)
		switch {
		case mcstore.IsNotFound(err), err == nil && object.Version() != c.version:
			c.stop(errLostClaim)
			return
		case err == nil:
			attempt = 0
			mcclock.Sleep(ctx, time.Until(start.Add(minWatchInterval)))
		default:
			backOff(ctx, attempt)
			attempt++
		}
	}
}

// callRunner reads the prompt and calls the runner.
func (j *Jobs) callRunner(ctx context.Context, d *document) runResult {
	body, err := j.readPrompt(ctx, d)
	if err != nil {
		return runResult{err: err}
	}
	answer, err := j.Runner.RunJob(ctx, d.status(), body)
	if err == nil && len(answer) > MaxBodyBytes {
		err = errors.Newf("the answer has %d bytes; at most %d are kept", len(answer), MaxBodyBytes)
	}
	return runResult{answer, err}
}

// readPrompt reads the prompt and retries while the store is down. It does not retry a
// missing or damaged chunk, which cannot recover.
func (j *Jobs) readPrompt(ctx context.Context, d *document) ([]byte, error) {
	for attempt := 0; ; attempt++ {
		body, err := j.store.readChunks(ctx, promptPrefix, d.ID, d.Prompt)
		if err == nil || mcstore.IsNotFound(err) || IsKind(err, KindUnreadable) {
			return body, errors.Wrap(err, "the prompt cannot be read")
		}
		if !backOff(ctx, attempt) {
			return nil, errors.Wrap(err, "the prompt could not be read in time")
		}
	}
}

// writeOutcome writes the outcome of the run. Each write is conditional on the version
// written by the claim, so it has no effect if this instance no longer owns the job.
func (j *Jobs) writeOutcome(ctx context.Context, c *claim, result runResult) {
	var err error
	switch cause := context.Cause(ctx); {
	case j.runCtx.Err() != nil:
		return
	case errors.Is(cause, errLostClaim):
		err = errReplaced
	case result.err == nil:
		err = j.writeAnswer(c, result.answer)
	case errors.Is(cause, errReleased):
		err = j.writeRelease(c)
	case errors.Is(cause, context.DeadlineExceeded):
		err = j.writeFinalState(j.runCtx, c.versionedJob, c.document.withFinalState(marigoldcroft.JobExpired, "the deadline passed: "+result.err.Error()), true)
	default:
		err = j.writeFinalState(j.runCtx, c.versionedJob, c.document.withFinalState(marigoldcroft.JobFailed, result.err.Error()), true)
	}
	if err != nil {
		j.counts.lostClaims.Add(1)
		j.Log.Info().Str("job", c.document.ID).Uint64("epoch", c.document.Epoch).Err(err).Msg("jobClaimLost")
	}
}

// writeAnswer records the answer, in separate chunks if it is too large for the job
// object.
func (j *Jobs) writeAnswer(c *claim, answer string) error {
	compressed, err := compress([]byte(answer))
	if err != nil {
		return err
	}
	next := c.document.withFinalState(marigoldcroft.JobDone, "")
	if len(compressed) <= maxInlineAnswerBytes {
		next.Answer = compressed
		return j.writeFinalState(j.runCtx, c.versionedJob, next, true)
	}
	j.budget.charge(2 * len(splitChunks(compressed)))
	next.Answers, err = j.store.writeChunks(j.runCtx, answerPrefix, next.ID, uuid.NewString(), compressed, true)
	if err != nil {
		return err
	}
	return j.writeFinalState(j.runCtx, c.versionedJob, next, true)
}

// writeRelease returns the job to the accepted state without an owner. The epoch is
// kept.
func (j *Jobs) writeRelease(c *claim) error {
	released := *c.document
	released.State, released.Owner, released.AcceptedBy = marigoldcroft.JobAccepted, owner{}, owner{}
	value, err := released.encode()
	if err != nil {
		return err
	}
	j.budget.charge(1)
	if _, err := j.store.put(j.runCtx, jobKey(released.ID), value, c.version, true); err != nil {
		return err
	}
	j.counts.released.Add(1)
	return nil
}

// Release prepares a planned stop: the instance takes no new jobs, stops its runners
// and gives up its claims. Other instances claim the jobs at their next sweep. Run must
// continue until Release returns.
func (j *Jobs) Release(ctx context.Context) error {
	j.init()
	j.mu.Lock()
	j.stopped, j.waiting = true, nil
	held := make([]*claim, 0, len(j.claims))
	for _, c := range j.claims {
		held = append(held, c)
	}
	j.mu.Unlock()
	for _, c := range held {
		c.stop(errReleased)
	}
	for i, c := range held {
		select {
		case <-c.written:
		case <-ctx.Done():
			return marigoldcroft.NewFailure("release jobs", KindUnavailable,
				errors.Newf("up to %d jobs were not released", len(held)-i))
		}
	}
	return nil
}
