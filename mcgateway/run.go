package mcgateway

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcengine"
	"marigoldcroft/mcquarantine"
)

const (
	// maxAttempts bounds the attempts of one request, including hedges.
	maxAttempts = 4
	// suspectPollInterval is the time between checks whether an identical request that
	// runs as a crash suspect has ended.
	suspectPollInterval = 50 * time.Millisecond
	// unreportedRetryAfter is the Retry-After while no engine has reported its memory. Reports
	// are requested each second.
	unreportedRetryAfter = time.Second
)

type (
	// output receives the answer of a run. beforeSend is called before work is sent to an
	// engine or a peer, and returns false if no caller waits for the answer any more.
	output interface {
		sink
		beforeSend() bool
	}

	// run is the state of one request, or of one segment of it, across its attempts.
	run struct {
		gateway *Gateway
		request *modelRequest
		out     output
		// attempts counts the attempts made so far.
		attempts int
		// exclude lists the endpoints at which attempts failed.
		exclude []string
		// mayHaveRun is true once an attempt may have run in part; problems then no
		// longer say notRun.
		mayHaveRun bool
		// siblingSent is true for a segment if another one of the request was sent before.
		siblingSent bool
		// started is true once a token was delivered.
		started bool
		// discard drops the answer so far. It keeps the answer and returns false if a
		// caller has received part of it.
		discard func() bool
		// serial is true for a segment that runs while no other segment of the request
		// does. suspended is true for a segment that must become serial before it is
		// tried again.
		serial, suspended bool
		// delivered is the text delivered so far, kept for deterministic requests only.
		// replay is the part of it that a restarted attempt still has to repeat.
		delivered strings.Builder
		replay    string
		end       answerEnd
		class     marigoldcroft.Class

		mu sync.Mutex
		// racing holds the attempts that compete for the first token; winner is the one
		// whose answer is delivered.
		racing []*attempt
		winner *attempt
	}

	// refusal is the error of an attempt that the scheduler refused or let expire in the
	// queue.
	refusal struct{ decision marigoldcroft.Decision }
)

var (
	// errDiverged means that a restarted answer differs from the text already delivered.
	errDiverged = errors.New("the restarted answer differs from the part already sent")
	// errNotSent means that an attempt ended before anything was sent to an engine.
	errNotSent = errors.New("ended before anything was sent")
	// errSuspected means that the request became a crash suspect while the attempt waited, which
	// does not run isolated, or was quarantined. Nothing was sent.
	errSuspected = errors.New("the request became a crash suspect while it waited")
)

// Error names the scheduler's reason.
func (r refusal) Error() string { return "refused: " + string(r.decision.Reason) }

// route runs the request at its home instance or on this instance. On this instance, a
// request that no engine can hold is split into segments.
func (r *run) route(ctx context.Context) *Problem {
	problem, done := r.forwardToHome(ctx)
	if done {
		return problem
	}
	if r.gateway.isOversize(r.request) {
		return r.split(ctx)
	}
	return r.generate(ctx)
}

// generate makes one attempt after another until one succeeds or none may follow.
func (r *run) generate(ctx context.Context) *Problem {
	for {
		problem, again := r.try(ctx)
		if !again {
			return problem
		}
		if problem, done := r.forwardSuspect(ctx); done {
			return problem
		}
		if r.request.segment && !r.serial && r.isSuspect() {
			r.suspended = true
			return r.correctNotRun(notRun(CodeUpstreamFailed, "an endpoint died under a segment"))
		}
	}
}

// try makes one attempt, possibly hedged, and reports whether another one may follow.
func (r *run) try(ctx context.Context) (*Problem, bool) {
	isolated, problem := r.awaitPermission(ctx)
	if problem != nil {
		return r.correctNotRun(problem), false
	}
	defer r.releasePermission()
	first := r.newAttempt(isolated)
	if !first.submit() {
		return r.refusedProblem(first.decision), false
	}
	last := r.race(ctx, first)
	return r.afterAttempt(ctx, last.attempt, last.err)
}

// awaitPermission asks the quarantine whether and how the request may run. While an
// identical request runs as a crash suspect, it waits and holds no resources; when that
// request succeeds, the fingerprint is cleared for all.
func (r *run) awaitPermission(ctx context.Context) (isolated bool, problem *Problem) {
	quarantine := r.gateway.Quarantine
	if quarantine == nil {
		return r.request.isolated, nil
	}
	for ctx.Err() == nil {
		if part, quarantined := quarantine.QuarantinedPart(time.Now(), r.request.parts); quarantined {
			return false, quarantinedPart{part}.problem()
		}
		switch quarantine.Acquire(time.Now(), r.request.fingerprint, r.request.origin) {
		case mcquarantine.VerdictQuarantined:
			return false, quarantinedProblem(r.request.fingerprint)
		case mcquarantine.VerdictExclusive:
			return true, nil
		case mcquarantine.VerdictRun:
			return r.request.isolated, nil
		}
		mcclock.Sleep(ctx, suspectPollInterval)
	}
	return false, notRun(CodeDeadline, "the request's time ended while its twin ran under suspicion of a crash")
}

func (r *run) releasePermission() {
	if r.gateway.Quarantine != nil {
		r.gateway.Quarantine.Release(r.request.fingerprint, r.request.origin)
	}
}

// afterAttempt returns the result of the request after an attempt ended, or true if the
// request is to be tried again.
func (r *run) afterAttempt(ctx context.Context, a *attempt, err error) (*Problem, bool) {
	g := r.gateway
	if err == nil {
		g.retries.CountSuccess(time.Now(), r.request.template.Model())
		return nil, false
	}
	var refused refusal
	if errors.As(err, &refused) {
		return r.refusedProblem(refused.decision), false
	}
	if ctx.Err() != nil || errors.Is(err, errNoCaller) || errors.Is(err, errNotSent) {
		return r.correctNotRun(notRun(CodeDeadline, "the request's time ended before its answer was whole")), false
	}
	var quarantined quarantinedPart
	if errors.As(err, &quarantined) {
		return r.correctNotRun(quarantined.problem()), false
	}
	kind := marigoldcroft.FailureKind[mcengine.Kind](err)
	if kind == mcengine.KindInvalid {
		return r.correctNotRun(notRun(CodeBadRequest, err.Error())), false
	}
	if r.attempts < maxAttempts && r.mayRetry(a, kind, err) {
		r.reset()
		return nil, true
	}
	return r.correctNotRun(notRun(CodeUpstreamFailed, "attempt "+strconv.Itoa(a.id.Attempt())+" failed: "+err.Error())), false
}

// mayRetry reports whether another attempt may follow a failure of the kind. A failed
// dial put no load on any engine, so its retry is not charged to the retry budget. All
// other retries are, so that failing engines do not get several times their load.
func (r *run) mayRetry(a *attempt, kind mcengine.Kind, err error) bool {
	switch {
	case errors.Is(err, errDiverged):
		return false
	case kind == mcengine.KindUnreachable && !r.started, errors.Is(err, errSuspected) && !r.mayHaveRun:
		return true
	case kind != mcengine.KindRefused && !r.request.idempotent():
		return false
	case kind == mcengine.KindStreamBroken && a.nearQuarantine:
		return false
	case !r.gateway.retries.TryConsume(time.Now(), r.request.template.Model()):
		return false
	}
	return r.prepareRestart()
}

// prepareRestart reports whether the answer can start over: the caller has received
// nothing of it, or another engine will reproduce the text already delivered. Text that
// no caller has received is discarded.
func (r *run) prepareRestart() bool {
	if !r.started || r.request.deterministic() {
		return true
	}
	if !r.discard() {
		return false
	}
	r.started = false
	return true
}

// recordEnd records what the end of an attempt says about the endpoint and about whether
// the work may have run.
func (r *run) recordEnd(e attemptEnd) {
	var refused refusal
	r.mayHaveRun = r.mayHaveRun || e.attempt.everRecalled
	var quarantined quarantinedPart
	if e.err == nil || errors.As(e.err, &refused) || errors.As(e.err, &quarantined) || errors.Is(e.err, errNotSent) || errors.Is(e.err, errSuspected) {
		return
	}
	r.exclude = append(r.exclude, e.attempt.decision.Endpoint)
	switch marigoldcroft.FailureKind[mcengine.Kind](e.err) {
	case mcengine.KindUnreachable, mcengine.KindRefused, mcengine.KindInvalid:
	default:
		r.mayHaveRun = true
	}
}

// refusedProblem counts a refusal of the scheduler and returns the problem for it.
func (r *run) refusedProblem(decision marigoldcroft.Decision) *Problem {
	r.class = decision.Class
	r.gateway.Metrics.Refusals.WithLabelValues(string(decision.Reason)).Inc()
	code, message := describeRefusal(decision.Reason)
	if decision.Reason == marigoldcroft.ReasonTooLarge && r.gateway.awaitsEngineMemory(r.request) {
		return r.correctNotRun(notRun(CodeOverloaded, "no engine has reported its memory yet").withRetryAfter(unreportedRetryAfter))
	}
	return r.correctNotRun(notRun(code, message).withRetryAfter(decision.RetryAfter))
}

// correctNotRun removes notRun from a problem if an earlier attempt may have run.
func (r *run) correctNotRun(problem *Problem) *Problem {
	if r.mayHaveRun {
		problem.NotRun, problem.Outcome = false, OutcomeFailed
	}
	return problem
}

func describeRefusal(reason marigoldcroft.Reason) (Code, string) {
	switch reason {
	case marigoldcroft.ReasonTooLarge:
		return CodeTooLarge, "the prompt is larger than the memory of one engine"
	case marigoldcroft.ReasonDeadline:
		return CodeDeadline, "the request cannot be answered within its deadline"
	case marigoldcroft.ReasonStopping:
		return CodeStopping, errStopping.Error()
	case marigoldcroft.ReasonNoEndpoint:
		return CodeOverloaded, "no endpoint serves this model now"
	}
	return CodeOverloaded, "refused: " + string(reason)
}

// deliver passes a part of the answer on, without the text that was delivered before a
// restart. It fails if the restarted answer differs from that text.
func (r *run) deliver(text string) error {
	if n := min(len(r.replay), len(text)); n > 0 {
		if text[:n] != r.replay[:n] {
			return errDiverged
		}
		r.replay, text = r.replay[n:], text[n:]
		if text == "" {
			return nil
		}
	}
	r.started = true
	if r.request.deterministic() {
		r.delivered.WriteString(text)
	}
	return r.out.token(text)
}
