package mcgateway

import (
	"context"
	"net/http"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcsocket"
	"marigoldcroft/mcstore"
)

const (
	// jobPollInterval is the time between two reads of a job that a caller follows; each
	// is a call of the object store.
	jobPollInterval = 2 * time.Second
	// jobStreamGrace is how long the stream waits for a job's end after its deadline.
	// docs/jobs.md bounds the end by 15 s and one store write, unless owner and sweeper
	// both die.
	jobStreamGrace = 20 * time.Second
)

// serveJobStream sends the states of a job as server-sent events until it ends. For a job
// that is done, the last event has the answer and the end marker follows it.
func (g *Gateway) serveJobStream(x *exchange) *Problem {
	job, problem := g.readJob(x)
	if problem != nil {
		return problem
	}
	flusher, ok := x.w.(http.Flusher)
	if !ok {
		return notRun(CodeInternal, "streaming is not possible on this connection")
	}
	end := job.Deadline.Add(jobStreamGrace)
	mcsocket.LimitWrite(x.w, end)
	out := &streamSink{w: x.w, flusher: flusher, recordFirstToken: func() {}}
	out.start()
	x.streamed = true
	ctx, cancel := context.WithDeadline(x.r.Context(), end)
	defer cancel()
	if problem := g.followJob(ctx, x, out, job); problem != nil {
		problem.RequestID = x.id
		// An error means that the caller has disconnected; it is ignored.
		_ = out.writeEvent("error", map[string]*Problem{"error": problem})
		return problem
	}
	return nil
}

// followJob sends each new state and returns after the final one.
func (g *Gateway) followJob(ctx context.Context, x *exchange, out *streamSink, job marigoldcroft.JobStatus) *Problem {
	sent := marigoldcroft.JobState("")
	for {
		if job.State != sent {
			if out.writeEvent("job", job) != nil {
				return failed(CodeDeadline, "the caller closed the connection")
			}
			sent = job.State
		}
		switch {
		case job.State == marigoldcroft.JobDone:
			out.writeEndMarker()
			return nil
		case job.State.Final():
			return failed(CodeUpstreamFailed, "the job ended as "+string(job.State)+": "+job.Error)
		case g.Draining():
			return failed(CodeStopping, "this instance is stopping; follow the job at another one")
		}
		mcclock.Sleep(ctx, jobPollInterval)
		if ctx.Err() != nil {
			return failed(CodeDeadline, "the job did not end within its time")
		}
		// A failed read is retried until the job's deadline and jobStreamGrace have
		// passed.
		if next, problem := g.readJob(x); problem == nil {
			job = next
		}
	}
}

// readJob returns a job of the caller's team.
func (g *Gateway) readJob(x *exchange) (marigoldcroft.JobStatus, *Problem) {
	if g.JobStatus == nil {
		return marigoldcroft.JobStatus{}, notRun(CodeNotFound, "this instance knows no jobs")
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), jobCallTimeout)
	defer cancel()
	job, err := g.JobStatus.Job(ctx, x.r.PathValue("id"))
	switch {
	case mcstore.IsNotFound(err), err == nil && job.Team != x.team.Name():
		return job, notRun(CodeNotFound, "the team has no such job")
	case err != nil:
		return job, notRun(CodeStoreUnavailable, "the job could not be read: "+err.Error()).withRetryAfter(time.Second)
	}
	return job, nil
}
