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
	// maxResumes bounds how often one attempt continues a broken stream.
	maxResumes = 3
	// cancelTimeout bounds the order to free what an ended attempt holds.
	cancelTimeout = 2 * time.Second
)

// stream copies the engine's answer; a broken stream continues on the same engine.
func (a *attempt) stream(ctx context.Context, endpoint marigoldcroft.Endpoint) error {
	request := a.run.request
	begun := time.Now()
	tokens, err := a.run.gateway.Engine.Generate(ctx, endpoint, marigoldcroft.GenerateRequest{
		Stream: a.id, Owner: a.run.gateway.Identity.Owner(), Model: request.template.Model(), Messages: request.messages,
		MaxOutputTokens: int(request.outputTokens), Priority: a.decision.Priority,
		Temperature: request.temperature, Seed: request.seed,
	})
	opened := err == nil
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = a.copyEvents(tokens, begun)
		}
		if marigoldcroft.FailureKind[mcengine.Kind](err) != mcengine.KindBroken || ctx.Err() != nil {
			return err
		}
		if tokens = a.resume(ctx, endpoint, opened && resumes < maxResumes); tokens == nil {
			return err
		}
		err = nil
	}
}

// resume continues a broken stream, or returns nil after it has found out whether the
// endpoint died. It runs nothing again, so it needs no budget.
func (a *attempt) resume(ctx context.Context, endpoint marigoldcroft.Endpoint, allowed bool) marigoldcroft.TokenStream {
	g := a.run.gateway
	g.streamBroken(endpoint, a.id)
	var err error
	if allowed {
		asked := time.Now()
		var tokens marigoldcroft.TokenStream
		if tokens, err = g.Engine.Resume(ctx, endpoint, a.id, a.nextSequence); err == nil {
			g.streamResumed(asked, endpoint)
			a.quarantineBegin(endpoint)
			return tokens
		}
	}
	g.checkEndpoint(ctx, endpoint, err)
	return nil
}

// copyEvents delivers the stream's events until its end.
func (a *attempt) copyEvents(tokens marigoldcroft.TokenStream, begun time.Time) error {
	// The body is only read from here on; closing it cannot lose data.
	defer func() { _ = tokens.Close() }()
	for {
		event, err := tokens.Next()
		if errors.Is(err, io.EOF) {
			return a.endOfStream(begun)
		}
		if err != nil {
			return err
		}
		a.nextSequence = event.Sequence + 1
		if err := a.claimFirstToken(begun); err != nil {
			return err
		}
		a.recordUsage(event)
		if err := a.run.deliver(event.Text); err != nil {
			return err
		}
	}
}

// claimFirstToken claims the delivery with the claimFirstToken token.
func (a *attempt) claimFirstToken(begun time.Time) error {
	if a.completion.FirstToken > 0 {
		return nil
	}
	if err := a.run.claim(a); err != nil {
		return err
	}
	a.completion.FirstToken = max(1, time.Since(begun))
	a.run.gateway.Dispatcher.FirstToken(a.id)
	return nil
}

// endOfStream accepts the end of the stream, unless a restarted answer ended before the part
// that the caller has seen.
func (a *attempt) endOfStream(begun time.Time) error {
	if a.run.replay != "" {
		return errDiverged
	}
	a.completion.Succeeded = true
	a.completion.Total = time.Since(begun)
	return nil
}

// recordUsage keeps what the last event says.
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

// cancelStream frees what the engine holds for an attempt that failed.
func (g *Gateway) cancelStream(endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) {
	g.background(cancelTimeout, func(ctx context.Context) {
		if err := g.Engine.Cancel(ctx, endpoint, id); err != nil {
			g.Logger.Debug().Str("endpoint", endpoint.Name()).Str("requestId", id.Request()).Err(err).Msg("cancelFailed")
		}
	})
}

// background runs work that outlives the request's context but not the timeout.
func (g *Gateway) background(timeout time.Duration, work func(ctx context.Context)) {
	g.active.Add(1)
	go func() {
		defer g.active.Done()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		work(ctx)
	}()
}
