package mcgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"marigoldcroft"
	"marigoldcroft/mcengine"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcrecover"
)

// attempt is one attempt of a run, from its submission to the scheduler to its last
// token.
type attempt struct {
	run      *run
	id       marigoldcroft.StreamID
	isolated bool
	exclude  []string

	ctx            context.Context
	cancel         context.CancelCauseFunc
	decision       marigoldcroft.Decision
	laterDecisions <-chan marigoldcroft.Decision
	submitted      time.Time
	completion     marigoldcroft.Completion
	// dispatched receives a decision to dispatch the work; it buffers one and further
	// ones are dropped.
	dispatched chan marigoldcroft.Decision
	// firstOutputAt is when the first token arrived, or zero.
	firstOutputAt time.Time
	// progress follows the output of the answer.
	progress mcquarantine.Progress
	// startedAt is when the work was sent to the endpoint or its stream was resumed.
	startedAt time.Time
	// nearQuarantine is true if the request must not be tried again after a broken stream.
	nearQuarantine bool
	// nextSequence is the sequence number of the next event of the engine's stream.
	nextSequence uint64
	// recalled is true if the scheduler took the dispatch back before its first token;
	// run.mu guards it.
	recalled bool
	// sentTo is the endpoint of the last dispatch, or empty; run.mu guards it.
	sentTo string
	// streamBroken is true from the break of the stream until it is resumed; run.mu guards it.
	streamBroken bool
	// everRecalled is true once any dispatch was recalled; an engine may then have begun
	// the work.
	everRecalled bool
}

// errRecalled ends a dispatch that the scheduler took back before its first token.
var errRecalled = errors.New("recalled by the scheduler")

func (r *run) newAttempt(isolated bool) *attempt {
	r.attempts++
	return &attempt{
		run: r, id: marigoldcroft.NewStreamID(r.request.id, r.attempts), isolated: isolated,
		exclude: append([]string(nil), r.exclude...), dispatched: make(chan marigoldcroft.Decision, 1),
	}
}

// submit passes the work to the scheduler and returns false if it is refused. An attempt
// that is not refused must be released.
func (a *attempt) submit() bool {
	a.submitted = time.Now()
	a.decision, a.laterDecisions = a.run.gateway.Dispatcher.Submit(a.submitted, a.work())
	return a.decision.Action != marigoldcroft.ActionRefuse
}

// release frees what the scheduler holds for the attempt.
func (a *attempt) release() { a.run.gateway.Dispatcher.Finish(a.id, a.completion) }

func (a *attempt) work() marigoldcroft.Work {
	request := a.run.request
	return marigoldcroft.Work{
		ID: a.id, Team: request.team.Name(), Model: request.template.Model(),
		Urgency: request.template.Urgency(), Weight: request.team.Weight(),
		Deadline: request.deadline, PromptTokens: request.promptTokens,
		OutputTokens: request.outputTokens, PrefixHash: request.prefixHash, Exclude: a.exclude, IsolateSuspect: a.isolated,
		Begun: a.run.mayHaveRun || a.run.siblingSent,
	}
}

// serveSafely is serve, but returns a panic as an error. An engine may then have begun the work.
func (a *attempt) serveSafely() error {
	err := mcrecover.Call(a.run.gateway.Logger, "attempt", a.serve)
	if mcrecover.IsPanic(err) {
		return marigoldcroft.NewFailure("attempt", mcengine.KindFailed, err)
	}
	return err
}

// serve waits for an endpoint and streams the answer. After a recall it waits for an
// endpoint again.
func (a *attempt) serve() error {
	defer a.release()
	for {
		if err := a.awaitDispatch(); err != nil {
			return err
		}
		err := a.dispatch()
		if !errors.Is(err, errRecalled) {
			return err
		}
		a.resetForDispatch()
	}
}

// awaitDispatch waits until the scheduler decides to dispatch the work.
func (a *attempt) awaitDispatch() error {
	for a.decision.Action != marigoldcroft.ActionDispatch {
		select {
		case a.decision = <-a.laterDecisions:
		case <-a.ctx.Done():
			return errNotSent
		}
		if a.decision.Action == marigoldcroft.ActionExpire || a.decision.Action == marigoldcroft.ActionRefuse {
			return refusal{a.decision}
		}
	}
	a.run.gateway.observeWait(a.decision.Class, time.Since(a.submitted))
	select {
	case a.dispatched <- a.decision:
	default:
	}
	return nil
}

// observeWait records the time in the queue. For short work it also counts as
// head-of-line wait while longer work runs.
func (g *Gateway) observeWait(class marigoldcroft.Class, waited time.Duration) {
	g.Metrics.QueueWait.WithLabelValues(class.String()).Observe(waited.Seconds())
	if class == marigoldcroft.ClassShort && g.longRunning.Load() > 0 {
		g.Metrics.HeadOfLine.Observe(waited.Seconds())
	}
}

// dispatch runs the work on the endpoint that the scheduler chose.
func (a *attempt) dispatch() error {
	g := a.run.gateway
	endpoint, ok := g.Endpoint(a.decision.Endpoint)
	if !ok {
		return marigoldcroft.NewFailure("dispatch to "+a.decision.Endpoint, mcengine.KindUnreachable, nil)
	}
	if err := a.checkQuarantine(); err != nil {
		return err
	}
	if !a.run.out.beforeSend() {
		return errNotSent
	}
	if a.decision.Class != marigoldcroft.ClassShort {
		g.longRunning.Add(1)
		defer g.longRunning.Add(-1)
	}
	ctx, span := g.Tracer.Start(a.ctx, "engine attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", endpoint.Name()), attribute.Int("attempt", a.id.Attempt())))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.watchRecall(ctx, cancel)
	a.beginCrashTracking(endpoint)
	err := a.stream(ctx, endpoint)
	if a.isRecalled() {
		err = errRecalled
	}
	a.endCrashTracking(endpoint, err)
	a.finishDispatch(endpoint, err)
	if err != nil {
		span.SetAttributes(attribute.String("error", err.Error()))
	}
	return err
}

// watchRecall cancels the dispatch if the scheduler recalls it before its first token.
func (a *attempt) watchRecall(ctx context.Context, cancel context.CancelFunc) {
	for {
		select {
		case decision := <-a.laterDecisions:
			if decision.Action == marigoldcroft.ActionRecall && a.recall() {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// recall marks the dispatch as recalled, unless its first token has arrived.
func (a *attempt) recall() bool {
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	a.recalled = a.run.winner != a
	return a.recalled
}

func (a *attempt) isRecalled() bool {
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	return a.recalled
}

// resetForDispatch prepares a recalled attempt for its next dispatch.
func (a *attempt) resetForDispatch() {
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	a.recalled, a.everRecalled = false, true
	a.nextSequence, a.firstOutputAt, a.progress = 0, time.Time{}, mcquarantine.Progress{}
	a.decision = marigoldcroft.Decision{ID: a.id, Action: marigoldcroft.ActionWait}
}

// finishDispatch counts the result of a dispatch. After a failure it reports an
// unreachable endpoint as down, or else cancels the stream at the engine.
func (a *attempt) finishDispatch(endpoint marigoldcroft.Endpoint, err error) {
	g := a.run.gateway
	if err == nil {
		g.Metrics.Attempts.WithLabelValues("ok").Inc()
		return
	}
	kind := marigoldcroft.FailureKind[mcengine.Kind](err)
	g.Metrics.Attempts.WithLabelValues(attemptLabel(kind)).Inc()
	switch kind {
	case mcengine.KindWrongEvent:
		g.Metrics.Mismatches.Inc()
	case mcengine.KindUnreachable:
		g.Dispatcher.Scheduler.EndpointDown(time.Now(), endpoint.Name())
		return
	}
	g.cancelStream(endpoint, a.id)
}

// attemptLabel returns the metric label of a failed dispatch. An error without an engine
// error kind, such as a recall, is counted as ended.
func attemptLabel(kind mcengine.Kind) string {
	if kind == "" {
		return "ended"
	}
	return string(kind)
}
