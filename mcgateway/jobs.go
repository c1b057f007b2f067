package mcgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcsocket"
	"marigoldcroft/mcstore"
)

const (
	// jobCallTimeout bounds a call of the job store; recording a job takes several store
	// writes.
	jobCallTimeout = 10 * time.Second
	// minJobRetry is the minimum wait before a refused job is tried again.
	minJobRetry = 100 * time.Millisecond
)

// serveJobSubmit validates a job like a chat request and records it.
func (g *Gateway) serveJobSubmit(x *exchange) *Problem {
	if g.Jobs == nil {
		return notRun(CodeNotFound, "this instance takes no jobs")
	}
	request, _, problem := g.decodeChat(x)
	if problem != nil {
		return problem
	}
	if problem := g.checkQuarantine(request); problem != nil {
		return problem
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), jobCallTimeout)
	defer cancel()
	job, err := g.Jobs.Submit(ctx, marigoldcroft.JobSubmission{
		Team: request.team.Name(), Template: request.template.Name(), TemplateRevision: x.config.Revision(),
		Deadline: request.deadline, Key: request.key, Body: request.canonical,
	})
	if err != nil {
		return jobProblem(err)
	}
	x.w.Header().Set("Location", "/v1/jobs/"+job.ID)
	return sendJob(x, http.StatusAccepted, job)
}

// jobProblem returns the problem for an error of the job store. It says notRun only if the
// error shows that the job was not recorded.
func jobProblem(err error) *Problem {
	problem := notRun(CodeStoreUnavailable, "the job could not be recorded: "+err.Error()).withRetryAfter(time.Second)
	storeKind := marigoldcroft.FailureKind[mcstore.Kind](err)
	switch {
	case mcjob.IsKind(err, mcjob.KindKeyReused):
		return notRun(CodeKeyReused, "header "+headerKey+": another job has this key")
	case storeKind == mcstore.KindTooLarge:
		return notRun(CodeTooLarge, "body: "+err.Error())
	case mcjob.IsKind(err, mcjob.KindInvalid):
		return notRun(CodeBadRequest, err.Error())
	case storeKind == mcstore.KindUnavailable, storeKind == mcstore.KindRateLimited, marigoldcroft.NotSent(err):
		return problem
	}
	problem.NotRun, problem.Outcome = false, OutcomeUnknown
	return problem
}

// serveJobQuery returns the status of a job of the caller's team.
func (g *Gateway) serveJobQuery(x *exchange) *Problem {
	job, problem := g.readJob(x)
	if problem != nil {
		return problem
	}
	return sendJob(x, http.StatusOK, job)
}

func sendJob(x *exchange, code int, job marigoldcroft.JobStatus) *Problem {
	// The time for a call of the job store may have used that for the answer.
	mcsocket.LimitWrite(x.w, time.Now())
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(code)
	// An error means that the caller has disconnected; it is ignored.
	_ = json.NewEncoder(x.w).Encode(job)
	return nil
}

// textSink collects an answer that is needed only when it is complete.
type textSink struct{ text strings.Builder }

func (s *textSink) token(text string) error {
	s.text.WriteString(text)
	return nil
}

func (*textSink) onFirstToken() {}

// RunJob runs the body of a job under its team and template until its deadline. A refusal
// that says notRun, because of overload, a team limit or a planned stop, does not end the
// job: it waits and is tried again. A returned error is a *Problem.
func (g *Gateway) RunJob(ctx context.Context, status marigoldcroft.JobStatus, body []byte) (string, error) {
	g.active.Add(1)
	defer g.active.Done()
	request, problem := g.jobRequest(status, body)
	if problem != nil {
		return "", problem
	}
	ctx, cancel := context.WithDeadline(ctx, request.deadline)
	defer cancel()
	for try := 1; ; try++ {
		// Each try has its own ID, so that engines do not confuse the streams of two
		// tries.
		request.id = fmt.Sprintf("%s-%d-%d", status.ID, status.Epoch, try)
		request.origin = request.id
		var out textSink
		problem := g.tryJob(ctx, request, &out)
		if problem == nil {
			return out.text.String(), nil
		}
		if !problem.NotRun || !jobMayWait(problem.Code) || ctx.Err() != nil {
			return "", problem
		}
		mcclock.Sleep(ctx, max(minJobRetry, time.Duration(problem.RetryAfterMs)*time.Millisecond))
	}
}

// jobMayWait reports whether a job waits after a refusal with the code. During a planned stop
// it waits until the instance releases it.
func jobMayWait(code Code) bool {
	return code == CodeOverloaded || code == CodeTeamLimit || code == CodeStopping
}

func (g *Gateway) tryJob(ctx context.Context, request *modelRequest, out sink) *Problem {
	release, problem := g.admit(request)
	if problem != nil {
		return problem
	}
	result := g.joinOrRun(ctx, request, out)
	release(result)
	return result.problem
}

func (g *Gateway) jobRequest(status marigoldcroft.JobStatus, body []byte) (*modelRequest, *Problem) {
	config := g.Config.Current()
	team, ok := config.Team(status.Team)
	if !ok {
		return nil, notRun(CodeUnauthorized, "there is no team "+status.Team)
	}
	t, ok := config.Template(status.Template)
	if !ok || !team.Allows(t.Name()) {
		return nil, notRun(CodeUnknownTemplate, "the team has no template "+status.Template)
	}
	in, problem := parseChat(body)
	if problem != nil {
		return nil, problem
	}
	return g.checkChat(team, in, t, status.Deadline)
}

var _ marigoldcroft.JobRunner = (*Gateway)(nil)
