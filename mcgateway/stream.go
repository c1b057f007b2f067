package mcgateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcengine"
)

const (
	// maxResumes bounds how often one attempt resumes a broken stream.
	maxResumes = 3
	// cancelTimeout bounds the call that frees what an engine holds for an ended attempt.
	cancelTimeout = 2 * time.Second
)

// stream copies the engine's answer. A broken stream is resumed on the same engine.
func (a *attempt) stream(ctx context.Context, endpoint marigoldcroft.Endpoint) error {
	request := a.run.request
	startedAt := time.Now()
	tokens, err := a.run.gateway.Engine.Generate(ctx, endpoint, marigoldcroft.GenerateRequest{
		Stream: a.id, Owner: a.run.gateway.Identity.Owner(), Model: request.template.Model(), Messages: request.messages,
		MaxOutputTokens: int(request.outputTokens), Priority: a.decision.Priority,
		Temperature: request.temperature, Seed: request.seed,
	})
	opened := err == nil
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = a.copyEvents(tokens, startedAt)
		}
		if marigoldcroft.FailureKind[mcengine.Kind](err) != mcengine.KindStreamBroken || ctx.Err() != nil {
			return err
		}
		if tokens = a.resume(ctx, endpoint, opened && resumes < maxResumes); tokens == nil {
			return err
		}
		err = nil
	}
}

// resume continues a broken stream. If it may not or cannot, it finds out whether the
// endpoint crashed and returns nil. A resumed stream repeats no work, so it is not charged
// to the retry budget.
func (a *attempt) resume(ctx context.Context, endpoint marigoldcroft.Endpoint, allowed bool) marigoldcroft.TokenStream {
	g := a.run.gateway
	a.checkRepeat(endpoint)
	a.setStreamBroken(true)
	g.recordBrokenStream(endpoint, a.id)
	var err error
	if allowed {
		requestedAt := time.Now()
		var tokens marigoldcroft.TokenStream
		if tokens, err = g.Engine.Resume(ctx, endpoint, a.id, a.nextSequence); err == nil {
			a.setStreamBroken(false)
			g.recordResumedStream(requestedAt, endpoint)
			a.beginCrashTracking(endpoint)
			return tokens
		}
	}
	g.checkEndpoint(ctx, endpoint, err)
	return nil
}

func (a *attempt) setStreamBroken(broken bool) {
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	a.streamBroken = broken
}

// copyEvents delivers the stream's events until its end.
func (a *attempt) copyEvents(tokens marigoldcroft.TokenStream, startedAt time.Time) error {
	// The stream is only read, so an error of Close loses no data.
	defer func() { _ = tokens.Close() }()
	for {
		event, err := tokens.Next()
		if errors.Is(err, io.EOF) {
			return a.endOfStream(startedAt)
		}
		if err != nil {
			return err
		}
		a.nextSequence = event.Sequence + 1
		if err := a.claimFirstToken(startedAt); err != nil {
			return err
		}
		a.observeOutput(time.Now())
		a.recordUsage(event)
		if err := a.run.deliver(event.Text); err != nil {
			return err
		}
	}
}

// claimFirstToken claims the delivery at the first token and records its time.
func (a *attempt) claimFirstToken(startedAt time.Time) error {
	if a.completion.FirstToken > 0 {
		return nil
	}
	a.recordFirstOutput()
	if err := a.run.claim(a); err != nil {
		return err
	}
	a.completion.FirstToken = max(1, time.Since(startedAt))
	a.run.gateway.Dispatcher.FirstToken(a.id)
	return nil
}

// endOfStream marks the attempt as succeeded, unless a restarted answer ended before it
// repeated the text already delivered.
func (a *attempt) endOfStream(startedAt time.Time) error {
	if a.run.replay != "" {
		return errDiverged
	}
	a.completion.Succeeded = true
	a.completion.Total = time.Since(startedAt)
	return nil
}

// recordUsage records the finish reason and the token counts, which the last event has.
func (a *attempt) recordUsage(event marigoldcroft.TokenEvent) {
	if event.Finish == "" {
		return
	}
	r := a.run
	r.end = answerEnd{finish: event.Finish, promptTokens: event.PromptTokens, outputTokens: event.OutputTokens}
	a.completion.PromptTokens = int64(event.PromptTokens)
	a.completion.CachedTokens = int64(event.CachedTokens)
	a.completion.OutputTokens = int64(event.OutputTokens)
	r.gateway.tokens.learn(r.request.template.Model(), promptBytes(r.request.messages), event.PromptTokens)
}

// cancelStream frees what the engine holds for a failed attempt.
func (g *Gateway) cancelStream(endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) {
	g.background(cancelTimeout, func(ctx context.Context) {
		if err := g.Engine.Cancel(ctx, endpoint, id); err != nil {
			g.Logger.Debug().Str("endpoint", endpoint.Name()).Str("requestId", id.Request()).Err(err).Msg("cancelFailed")
		}
	})
}

// background runs work that outlives the request's context but not the timeout; Wait
// waits for it.
func (g *Gateway) background(timeout time.Duration, work func(ctx context.Context)) {
	g.active.Add(1)
	go func() {
		defer g.active.Done()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		work(ctx)
	}()
}
