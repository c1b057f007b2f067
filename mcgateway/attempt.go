package mcgateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"marigoldcroft"
	"marigoldcroft/mcengine"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

type (
	// sink takes the parts of an answer; an error means that the caller is gone.
	sink interface {
		token(text string) error
	}

	// answerEnd is what a whole answer ends with.
	answerEnd struct {
		finish       string
		promptTokens int
		outputTokens int
	}

	// run is the state of one request over its attempts.
	run struct {
		gateway *Gateway
		request *modelRequest
		sink    sink
		// started is true once the caller has seen a token; the answer is then not
		// begun again.
		started bool
		attempt int
		exclude []string
		end     answerEnd
		class   marigoldcroft.Class
	}
)

// errRecalled ends an attempt that the scheduler took back before its first token.
var errRecalled = errors.New("recalled by the scheduler")

// generate runs the request to its end on one endpoint after another.
func (g *Gateway) generate(ctx context.Context, x *exchange, request *modelRequest, out sink) (answerEnd, *Problem) {
	r := &run{gateway: g, request: request, sink: out}
	for {
		r.attempt++
		problem, again := r.try(ctx)
		x.class = r.class.String()
		if !again {
			return r.end, problem
		}
	}
}

// try makes one attempt and tells whether another one may follow.
func (r *run) try(ctx context.Context) (*Problem, bool) {
	g := r.gateway
	id := marigoldcroft.NewStreamID(r.request.id, r.attempt)
	submitted := time.Now()
	decision, later := g.Dispatcher.Submit(submitted, r.work(id))
	if decision.Action == marigoldcroft.ActionRefuse {
		g.Metrics.Refusals.WithLabelValues(string(decision.Reason)).Inc()
		return r.refusal(decision), false
	}
	completion := marigoldcroft.Completion{}
	defer func() { g.Dispatcher.Finish(id, completion) }()
	for {
		if problem := r.await(ctx, &decision, later); problem != nil {
			return problem, false
		}
		g.Metrics.QueueWait.WithLabelValues(decision.Class.String()).Observe(time.Since(submitted).Seconds())
		err := r.stream(ctx, decision, later, id, &completion)
		if errors.Is(err, errRecalled) {
			decision = marigoldcroft.Decision{Action: marigoldcroft.ActionWait}
			continue
		}
		return r.judge(ctx, decision, err)
	}
}

func (r *run) work(id marigoldcroft.StreamID) marigoldcroft.Work {
	return marigoldcroft.Work{
		ID: id, Team: r.request.team.Name(), Model: r.request.template.Model(),
		Urgency: r.request.template.Urgency(), Weight: r.request.team.Weight(),
		Deadline: r.request.deadline, PromptTokens: r.request.promptTokens,
		OutputTokens: r.request.outputTokens, PrefixHash: r.request.prefix, Exclude: r.exclude,
	}
}

// await waits until decision says dispatch.
func (r *run) await(ctx context.Context, decision *marigoldcroft.Decision, later <-chan marigoldcroft.Decision) *Problem {
	for decision.Action != marigoldcroft.ActionDispatch {
		select {
		case *decision = <-later:
		case <-ctx.Done():
			return r.withoutAnswer(ctx)
		}
		if decision.Action == marigoldcroft.ActionExpire || decision.Action == marigoldcroft.ActionRefuse {
			return r.refusal(*decision)
		}
	}
	r.class = decision.Class
	return nil
}

// refusal tells the caller of work that the scheduler did not run. An earlier
// attempt may have run in part, so only a first attempt is not run.
func (r *run) refusal(decision marigoldcroft.Decision) *Problem {
	r.class = decision.Class
	code, message := refusalText(decision.Reason)
	problem := notRun(code, message).after(decision.RetryAfter)
	if r.attempt > 1 {
		problem.NotRun, problem.Outcome = false, OutcomeFailed
	}
	return problem
}

func refusalText(reason marigoldcroft.Reason) (Code, string) {
	switch reason {
	case marigoldcroft.ReasonTooLarge:
		return CodeTooLarge, "the prompt is larger than the memory of one engine"
	case marigoldcroft.ReasonDeadline:
		return CodeDeadline, "the request cannot be answered within its deadline"
	case marigoldcroft.ReasonNoEndpoint:
		return CodeOverloaded, "no endpoint serves this model now"
	}
	return CodeOverloaded, "refused: " + string(reason)
}

// withoutAnswer is the problem of a request whose time or caller ended while it waited.
func (r *run) withoutAnswer(ctx context.Context) *Problem {
	problem := notRun(CodeDeadline, "the deadline passed while the request waited")
	if errors.Is(ctx.Err(), context.Canceled) {
		problem = notRun(CodeDeadline, "the caller closed the connection")
	}
	if r.attempt > 1 {
		problem.NotRun, problem.Outcome = false, OutcomeFailed
	}
	return problem
}

// stream runs one attempt on the endpoint of the decision.
func (r *run) stream(ctx context.Context, decision marigoldcroft.Decision, later <-chan marigoldcroft.Decision, id marigoldcroft.StreamID, completion *marigoldcroft.Completion) error {
	g := r.gateway
	endpoint, ok := g.Endpoint(decision.Endpoint)
	if !ok {
		return marigoldcroft.NewFailure("dispatch to "+decision.Endpoint, mcengine.KindUnreachable, nil)
	}
	ctx, span := g.Tracer.Start(ctx, "engine attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", endpoint.Name()), attribute.Int("attempt", r.attempt)))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstToken := make(chan struct{})
	go watchRecall(ctx, cancel, later, firstToken)
	err := r.copyTokens(ctx, endpoint, decision, id, firstToken, completion)
	if cause := context.Cause(ctx); errors.Is(cause, errRecalled) && !r.started {
		g.cancelStream(endpoint, id)
		return errRecalled
	}
	if err != nil {
		span.SetAttributes(attribute.String("error", err.Error()))
		g.cancelStream(endpoint, id)
	}
	return err
}

// watchRecall cancels the attempt when the scheduler takes it back before its first token.
func watchRecall(ctx context.Context, cancel context.CancelCauseFunc, later <-chan marigoldcroft.Decision, firstToken <-chan struct{}) {
	select {
	case decision := <-later:
		if decision.Action == marigoldcroft.ActionRecall {
			cancel(errRecalled)
		}
	case <-firstToken:
	case <-ctx.Done():
	}
}

func (r *run) copyTokens(ctx context.Context, endpoint marigoldcroft.Endpoint, decision marigoldcroft.Decision, id marigoldcroft.StreamID, firstToken chan<- struct{}, completion *marigoldcroft.Completion) error {
	g := r.gateway
	begun := time.Now()
	tokens, err := g.Engine.Generate(ctx, endpoint, marigoldcroft.GenerateRequest{
		Stream: id, Owner: g.Identity.Owner(), Model: r.request.template.Model(), Messages: r.request.messages,
		MaxOutputTokens: int(r.request.outputTokens), Priority: decision.Priority,
		Temperature: r.request.temperature, Seed: r.request.seed,
	})
	if err != nil {
		return err
	}
	// The body is only read from here on; closing it cannot lose data.
	defer func() { _ = tokens.Close() }()
	for {
		event, err := tokens.Next()
		if errors.Is(err, io.EOF) {
			completion.Succeeded = true
			completion.Total = time.Since(begun)
			return nil
		}
		if err != nil {
			return err
		}
		if completion.FirstToken == 0 {
			completion.FirstToken = time.Since(begun)
			close(firstToken)
			g.Dispatcher.FirstToken(id)
		}
		r.take(event, completion)
		if err := r.sink.token(event.Text); err != nil {
			return errCallerGone
		}
	}
}

// errCallerGone ends an attempt whose answer nobody reads.
var errCallerGone = errors.New("the caller is gone")

// take keeps what the last event says.
func (r *run) take(event marigoldcroft.TokenEvent, completion *marigoldcroft.Completion) {
	r.started = true
	if event.Finish == "" {
		return
	}
	r.end = answerEnd{finish: event.Finish, promptTokens: event.PromptTokens, outputTokens: event.OutputTokens}
	completion.PromptTokens = int64(event.PromptTokens)
	completion.CachedTokens = int64(event.CachedTokens)
	completion.OutputTokens = int64(event.OutputTokens)
	r.gateway.tokens.learn(r.request.template.Model(), promptBytes(r.request.messages), event.PromptTokens)
}

// judge decides what follows from the end of an attempt.
func (r *run) judge(ctx context.Context, decision marigoldcroft.Decision, err error) (*Problem, bool) {
	g := r.gateway
	if err == nil {
		g.Metrics.Attempts.WithLabelValues("ok").Inc()
		return nil, false
	}
	kind := marigoldcroft.FailureKind[mcengine.Kind](err)
	g.Metrics.Attempts.WithLabelValues(attemptLabel(kind)).Inc()
	if kind == mcengine.KindMismatch {
		g.Metrics.Mismatches.Inc()
	}
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return failed(CodeDeadline, "the request's time ended before its answer was whole"), false
	}
	if kind == mcengine.KindInvalid {
		return failed(CodeBadRequest, err.Error()), false
	}
	if kind == mcengine.KindUnreachable {
		g.Dispatcher.Scheduler.EndpointDown(time.Now(), decision.Endpoint)
	}
	if r.started || !r.repeatable(kind) || r.attempt >= maxAttempts {
		return failed(CodeUpstreamFailed, "attempt "+strconv.Itoa(r.attempt)+" failed: "+err.Error()), false
	}
	r.exclude = append(r.exclude, decision.Endpoint)
	return nil, true
}

// repeatable tells whether another attempt may follow a failure of the kind.
func (r *run) repeatable(kind mcengine.Kind) bool {
	if kind == mcengine.KindUnreachable || kind == mcengine.KindRefused {
		return true
	}
	return r.request.template.Repeat() == marigoldcroft.RepeatIdempotent
}

func attemptLabel(kind mcengine.Kind) string {
	if kind == "" {
		return "ended"
	}
	return string(kind)
}

// cancelStream frees what the engine holds for an attempt that failed. It runs on its
// own, as the request's context may have ended.
func (g *Gateway) cancelStream(endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) {
	go func() {
		if err := g.Engine.Cancel(context.Background(), endpoint, id); err != nil {
			g.Logger.Debug().Str("endpoint", endpoint.Name()).Str("requestId", id.Request()).Err(err).Msg("cancelFailed")
		}
	}()
}
