package mcgateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marigoldcroft/mcmessage"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcquarantine"
)

const (
	// joinTimeout bounds the wait for a home to take a request; a home that takes
	// longer is treated as unreachable.
	joinTimeout = 500 * time.Millisecond
	// maxJoinBytes keeps a handed-on request under the 4 MiB that gRPC receives.
	maxJoinBytes = 3 << 20
	// maxHops bounds hand-ons: to the home of the join, then to that of the suspect.
	maxHops = 2
	// homeRetryAfter is when an unreachable home is worth asking for again.
	homeRetryAfter = 2 * time.Second

	headerAccepted = "accepted"
	messageNoHome  = "the only instance that may run this request, which crashed an endpoint, cannot be reached"
)

// handOn lets the request's home run it. It returns false when this instance is to.
func (r *run) handOn(ctx context.Context) (*Problem, bool) {
	if problem, done := r.handOnSuspect(ctx); done {
		return problem, true
	}
	key := r.request.joinKey()
	if key == "" || r.request.hop > 0 || r.gateway.Home == nil || len(r.request.canonical) > maxJoinBytes {
		return nil, false
	}
	client, self := r.gateway.Home(key)
	if self || client == nil {
		return nil, false
	}
	return r.forward(ctx, client, key, false)
}

// handOnSuspect lets the deployment's home of a suspect run it, and no other instance.
func (r *run) handOnSuspect(ctx context.Context) (*Problem, bool) {
	g := r.gateway
	if g.Suspects == nil || g.SuspectHome == nil || r.request.alone ||
		g.Suspects.Check(time.Now(), r.request.fingerprint) != mcquarantine.VerdictAlone {
		return nil, false
	}
	client, self := g.SuspectHome(r.request.fingerprint)
	if self {
		return nil, false
	}
	if client == nil || r.request.segment || r.request.hop >= maxHops || len(r.request.canonical) > maxJoinBytes {
		return r.truthful(notRun(CodeOverloaded, messageNoHome).after(homeRetryAfter)), true
	}
	return r.forward(ctx, client, r.request.joinKey(), true)
}

// forward runs the request at a peer and copies its answer.
func (r *run) forward(ctx context.Context, client mcmessage.StreamServiceClient, key string, alone bool) (*Problem, bool) {
	if !r.out.begin() {
		return r.truthful(notRun(CodeDeadline, "no caller waits for the answer")), true
	}
	ctx, cancel := context.WithDeadline(ctx, r.request.deadline)
	defer cancel()
	late := time.AfterFunc(joinTimeout, cancel)
	defer late.Stop()
	stream, err := client.Join(ctx, r.joinRequest(ctx, key, alone))
	if err != nil {
		// Join fails only before the request is on its way.
		return r.withoutPeer(alone, false)
	}
	header, err := stream.Header()
	if err != nil || len(header.Get(headerAccepted)) == 0 {
		_, err = stream.Recv()
		return r.withoutPeer(alone, !declined(err))
	}
	if !late.Stop() {
		return r.withoutPeer(alone, true)
	}
	return r.copyPeer(stream, alone)
}

func (r *run) joinRequest(ctx context.Context, key string, alone bool) *mcmessage.JoinRequest {
	carrier := propagation.MapCarrier{}
	mcobserve.Propagator.Inject(ctx, carrier)
	return &mcmessage.JoinRequest{
		Deployment: r.gateway.Identity.Deployment(), Team: r.request.team.Name(), Template: r.request.template.Name(),
		JoinKey: key, RequestId: r.request.id, DeadlineMs: time.Until(r.request.deadline).Milliseconds(),
		Body: r.request.canonical, Traceparent: carrier.Get("traceparent"), Alone: alone, Hop: uint32(r.request.hop + 1),
	}
}

// declined tells whether the peer said that it did not take the request.
func declined(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.PermissionDenied, codes.NotFound, codes.Unimplemented, codes.ResourceExhausted:
		return true
	}
	return false
}

// withoutPeer says what follows when the peer did not run the request to its end. A
// suspect runs nowhere else. Other handed-on work is idempotent and runs here, as far
// as the caller has seen nothing that it could not repeat.
func (r *run) withoutPeer(alone, mayHaveRun bool) (*Problem, bool) {
	r.ran = r.ran || mayHaveRun
	if alone {
		return r.truthful(notRun(CodeOverloaded, messageNoHome).after(homeRetryAfter)), true
	}
	if !r.restartable() {
		return r.truthful(notRun(CodeUpstreamFailed, "the instance that ran the request was lost")), true
	}
	r.reset()
	return nil, false
}

// copyPeer delivers the peer's answer. Only a last chunk makes it whole.
func (r *run) copyPeer(stream mcmessage.StreamService_JoinClient, alone bool) (*Problem, bool) {
	for n := uint64(0); ; n++ {
		chunk, err := stream.Recv()
		switch {
		case err != nil || chunk.GetSequence() != n:
			return r.withoutPeer(alone, true)
		case chunk.GetErrorCode() != "":
			return r.peerProblem(chunk, alone)
		}
		if err := r.deliver(chunk.GetText()); err != nil {
			r.ran = true
			return r.truthful(notRun(CodeUpstreamFailed, err.Error())), true
		}
		if chunk.GetEnd() {
			r.end = answerEnd{
				finish: chunk.GetFinishReason(), promptTokens: int(chunk.GetPromptTokens()), outputTokens: int(chunk.GetOutputTokens()),
			}
			return nil, true
		}
	}
}

// peerProblem passes the home's refusal on. Work that the home did not run because it
// is itself overloaded runs here instead.
func (r *run) peerProblem(chunk *mcmessage.JoinChunk, alone bool) (*Problem, bool) {
	code := Code(chunk.GetErrorCode())
	if chunk.GetNotRun() && !alone && (code == CodeOverloaded || code == CodeStopping) {
		return r.withoutPeer(alone, false)
	}
	r.ran = r.ran || !chunk.GetNotRun()
	problem := notRun(code, chunk.GetErrorMessage()).after(time.Duration(chunk.GetRetryAfterMs()) * time.Millisecond)
	return r.truthful(problem), true
}
