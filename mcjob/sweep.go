package mcjob

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

const (
	// listPage is the number of keys of one list call.
	listPage = 500
	// wakePause lets one sweep serve the submissions that arrive close together.
	wakePause = 250 * time.Millisecond
)

// Run sweeps the shards that this instance owns until ctx ends: it claims jobs
// without a living owner, ends those past their deadline and removes old results.
// When ctx ends, the runs of claimed jobs are stopped and their claims released.
func (j *Jobs) Run(ctx context.Context) error {
	j.init()
	runs, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	known := make(map[string]stored)
	for ctx.Err() == nil {
		j.sweep(ctx, runs, known)
		select {
		case <-time.After(sweepInterval):
		case <-j.wake:
			pause(ctx, wakePause)
		case <-ctx.Done():
		}
	}
	stop(errReleased)
	j.running.Wait()
	return ctx.Err()
}

// Wake starts a sweep now. It does not block.
func (j *Jobs) Wake() {
	j.init()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// sweep makes one pass. Records are read again only when their version has changed.
func (j *Jobs) sweep(ctx, runs context.Context, known map[string]stored) {
	seen := make(map[string]bool)
	for shard := range ShardCount {
		if !j.Members.OwnsShard(shard) {
			continue
		}
		if err := j.sweepShard(ctx, runs, shard, known, seen); err != nil {
			j.Logger.Warn().Err(err).Int("shard", shard).Msg("jobSweepFailed")
			return
		}
	}
	for id := range known {
		if !seen[id] {
			delete(known, id)
		}
	}
	j.checkHeld(ctx)
	j.checkUnconfirmed(ctx, runs)
}

func (j *Jobs) sweepShard(ctx, runs context.Context, shard int, known map[string]stored, seen map[string]bool) error {
	prefix := shardPrefix(shard)
	for after := ""; ; {
		entries, err := j.list(ctx, prefix, after)
		if err != nil {
			return err
		}
		for _, e := range entries {
			after = e.Key
			id := strings.TrimPrefix(e.Key, prefix)
			seen[id] = true
			job, ok := known[id]
			if !ok || job.version != e.Version {
				if job, err = j.read(ctx, id); err != nil {
					j.logJob("jobUnreadable", id, 0, err)
					continue
				}
				if job.State.Final() {
					// Only the time of the end is used; answers are large.
					job.Answer = ""
				}
				known[id] = job
			}
			j.process(ctx, runs, job)
		}
		if len(entries) < listPage {
			return nil
		}
	}
}

func (j *Jobs) list(ctx context.Context, prefix, after string) ([]marigoldcroft.ObjectEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return j.Store.List(ctx, prefix, after, listPage)
}

// process does what the state of one job asks for.
func (j *Jobs) process(ctx, runs context.Context, job stored) {
	var err error
	switch {
	case job.State.Final():
		if time.Since(job.Ended) > j.Retention {
			err = j.remove(ctx, job)
		}
	case !time.Now().Before(job.Deadline):
		_, err = j.update(ctx, job, func(r *Record) { end(r, marigoldcroft.JobExpired, "", "the deadline has passed") })
		if err == nil {
			j.stop(job.ID, errSuperseded)
		}
	case job.Owner == "" || j.Members.Gone(job.Owner):
		err = j.claim(ctx, runs, job)
	}
	if err != nil && !errors.Is(err, errConflict) {
		j.logJob("jobUpdateFailed", job.ID, job.Epoch, err)
	}
}

// remove deletes the prompt and then the job, so that no prompt is left without its
// job when the instance stops in between.
func (j *Jobs) remove(ctx context.Context, job stored) error {
	for i := range job.Chunks {
		object, err := j.get(ctx, promptKey(job.ID, i))
		if mcstore.IsNotFound(err) {
			continue
		}
		if err == nil {
			err = j.Store.Delete(ctx, object.Key(), object.Version(), uuid.NewString())
		}
		if err != nil && !mcstore.IsNotFound(err) {
			return err
		}
	}
	key, _ := jobKey(job.ID)
	return j.Store.Delete(ctx, key, job.version, uuid.NewString())
}

// claim takes the job with the next epoch and starts its run.
func (j *Jobs) claim(ctx, runs context.Context, job stored) error {
	select {
	case j.slots <- struct{}{}:
	default:
		return nil
	}
	claimed, run, err := j.take(ctx, runs, job)
	if err != nil || run == nil {
		<-j.slots
		return err
	}
	go func() {
		defer j.running.Done()
		defer func() { <-j.slots }()
		j.run(run, claimed)
	}()
	return nil
}

// take writes the claim. The run is nil when the instance is draining or runs the job.
func (j *Jobs) take(ctx, runs context.Context, job stored) (stored, context.Context, error) {
	run, cancel := context.WithCancelCause(runs)
	j.mu.Lock()
	_, busy := j.held[job.ID]
	if j.draining || busy {
		j.mu.Unlock()
		cancel(nil)
		return stored{}, nil, nil
	}
	j.held[job.ID] = cancel
	j.running.Add(1)
	j.mu.Unlock()
	claimed, err := j.update(ctx, job, func(r *Record) {
		r.State, r.Owner, r.Epoch = marigoldcroft.JobRunning, j.Identity.Owner(), r.Epoch+1
	})
	if err != nil {
		j.drop(job.ID)
		cancel(err)
		j.running.Done()
		if !errors.Is(err, errConflict) {
			j.noteUnconfirmed(job.ID)
		}
		return stored{}, nil, err
	}
	j.claims.Add(1)
	j.logJob("jobClaimed", claimed.ID, claimed.Epoch, nil)
	return claimed, run, nil
}

func (j *Jobs) drop(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.held, id)
}

// run runs a claimed job and records its end over the version of the claim. A paused
// owner that wakes after its successor's claim fails there and writes nothing.
func (j *Jobs) run(ctx context.Context, job stored) {
	defer j.drop(job.ID)
	limited, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	answer, err := j.runBody(limited, job)
	cause := context.Cause(ctx)
	change := func(r *Record) { end(r, marigoldcroft.JobDone, answer, "") }
	switch {
	case errors.Is(cause, errSuperseded):
		return
	case errors.Is(cause, errReleased) && err != nil:
		change = func(r *Record) { r.State, r.Owner = marigoldcroft.JobAccepted, "" }
	case err != nil && limited.Err() != nil:
		change = func(r *Record) { end(r, marigoldcroft.JobExpired, "", "the deadline has passed") }
	case err != nil:
		change = func(r *Record) { end(r, marigoldcroft.JobFailed, "", err.Error()) }
	case len(answer) > maxAnswerBytes:
		change = func(r *Record) {
			end(r, marigoldcroft.JobFailed, "", "the answer is larger than 900 KiB")
		}
	}
	j.finish(ctx, job, change)
}

// finish writes the end of a run and tries again while the store is unavailable. The
// job's deadline bounds it: past it a sweeper ends the job. At a planned stop it is
// bounded by settleLimit; the job is then claimed again when this run is gone.
func (j *Jobs) finish(run context.Context, job stored, change func(*Record)) {
	limit := job.Deadline
	if least := time.Now().Add(settleLimit); limit.Before(least) {
		limit = least
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(run), limit)
	defer cancel()
	defer context.AfterFunc(run, func() { time.AfterFunc(settleLimit, cancel) })()
	for {
		ended, err := j.update(ctx, job, change)
		if err == nil {
			event := "jobEnded"
			if !ended.State.Final() {
				event = "jobReleased"
			}
			j.logJob(event, job.ID, job.Epoch, nil)
			return
		}
		if errors.Is(err, errConflict) || ctx.Err() != nil {
			j.lost.Add(1)
			j.logJob("jobResultDropped", job.ID, job.Epoch, err)
			return
		}
		pause(ctx, time.Second)
	}
}

// runBody reads the body and runs it.
func (j *Jobs) runBody(ctx context.Context, job stored) (string, error) {
	var body []byte
	for i := range job.Chunks {
		object, err := j.get(ctx, promptKey(job.ID, i))
		for err != nil && !mcstore.IsNotFound(err) && ctx.Err() == nil {
			pause(ctx, time.Second)
			object, err = j.get(ctx, promptKey(job.ID, i))
		}
		if err != nil {
			return "", err
		}
		if body, err = joinChunk(body, object.Value()); err != nil {
			return "", marigoldcroft.NewFailure("read job "+job.ID, KindCorrupt, err)
		}
	}
	if hashBody(body) != job.BodyHash {
		return "", marigoldcroft.NewFailure("read job "+job.ID, KindCorrupt, errors.New("the body's hash differs"))
	}
	return j.Runner.RunJob(ctx, job.JobStatus, body)
}

// checkHeld stops runs of jobs that were cancelled or claimed elsewhere.
func (j *Jobs) checkHeld(ctx context.Context) {
	j.mu.Lock()
	ids := make([]string, 0, len(j.held))
	for id := range j.held {
		ids = append(ids, id)
	}
	j.mu.Unlock()
	for _, id := range ids {
		job, err := j.read(ctx, id)
		if IsNotFound(err) || err == nil && job.Owner != j.Identity.Owner() {
			j.stop(id, errSuperseded)
		}
	}
}

// noteUnconfirmed notes a claim that may have been written although it was not confirmed.
func (j *Jobs) noteUnconfirmed(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unconfirmed[id] = true
}

// checkUnconfirmed claims again the jobs that carry this run as owner without being run
// here: no other instance takes them while this run lives.
func (j *Jobs) checkUnconfirmed(ctx, runs context.Context) {
	j.mu.Lock()
	ids := make([]string, 0, len(j.unconfirmed))
	for id := range j.unconfirmed {
		if _, busy := j.held[id]; !busy {
			ids = append(ids, id)
		}
	}
	j.mu.Unlock()
	for _, id := range ids {
		job, err := j.read(ctx, id)
		if err != nil && !IsNotFound(err) {
			return
		}
		j.mu.Lock()
		delete(j.unconfirmed, id)
		j.mu.Unlock()
		if err != nil || job.Owner != j.Identity.Owner() {
			continue
		}
		if err := j.claim(ctx, runs, job); err != nil {
			return
		}
		j.mu.Lock()
		_, busy := j.held[id]
		j.mu.Unlock()
		if !busy {
			j.noteUnconfirmed(id)
		}
	}
}

// Release is the job side of a planned stop: no more jobs are claimed, runs may end
// until ctx ends, and what still runs then is stopped and handed back, so that
// another instance claims it at its next sweep.
func (j *Jobs) Release(ctx context.Context) error {
	j.init()
	j.mu.Lock()
	j.draining = true
	j.mu.Unlock()
	done := make(chan struct{})
	go func() {
		j.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	j.mu.Lock()
	for _, cancel := range j.held {
		cancel(errReleased)
	}
	j.mu.Unlock()
	<-done
	return nil
}
