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
	// acceptTimeout bounds the wait for a home instance to accept a request; one that
	// takes longer is treated as unreachable.
	acceptTimeout = 500 * time.Millisecond
	// maxJoinBytes keeps a forwarded request under the 4 MiB that gRPC receives by
	// default.
	maxJoinBytes = 3 << 20
	// maxHops bounds how often a request is forwarded: to the home of its join key, then
	// to the home of the suspect.
	maxHops = 2
	// homeRetryAfter is the time after which a caller should retry if the home of a
	// suspect cannot be reached.
	homeRetryAfter = 2 * time.Second

	headerAccepted         = "accepted"
	messageHomeUnreachable = "the only instance that may run this request, which crashed an endpoint, cannot be reached"
)

// forwardToHome runs the request at its home instance. It returns false if the request is
// to run on this instance, as during a planned stop, in which this instance's scheduler judges
// whether the answer would end in time.
func (r *run) forwardToHome(ctx context.Context) (*Problem, bool) {
	if problem, done := r.forwardSuspect(ctx); done {
		return problem, true
	}
	key := r.request.joinKey()
	if key == "" || r.request.hop > 0 || r.gateway.JoinInstance == nil || len(r.request.canonical) > maxJoinBytes || r.gateway.Draining() {
		return nil, false
	}
	client, self := r.gateway.JoinInstance(key)
	if self || client == nil {
		return nil, false
	}
	return r.runAtPeer(ctx, client, key, false)
}

// forwardSuspect runs a crash suspect at its home, the only instance of the deployment
// that may run it. It returns false if the request is to run on this instance.
func (r *run) forwardSuspect(ctx context.Context) (*Problem, bool) {
	g := r.gateway
	if g.Quarantine == nil || g.SuspectInstance == nil || r.request.isolated ||
		g.Quarantine.Check(time.Now(), r.request.fingerprint) != mcquarantine.VerdictExclusive {
		return nil, false
	}
	client, self := g.SuspectInstance(r.request.fingerprint)
	if self {
		return nil, false
	}
	if client == nil || r.request.segment || r.request.hop >= maxHops || len(r.request.canonical) > maxJoinBytes {
		return r.correctNotRun(notRun(CodeOverloaded, messageHomeUnreachable).withRetryAfter(homeRetryAfter)), true
	}
	return r.runAtPeer(ctx, client, r.request.joinKey(), true)
}

// runAtPeer runs the request at a peer and copies its answer.
func (r *run) runAtPeer(ctx context.Context, client mcmessage.StreamServiceClient, key string, isolated bool) (*Problem, bool) {
	if !r.out.beforeSend() {
		return r.correctNotRun(notRun(CodeDeadline, "no caller waits for the answer")), true
	}
	ctx, cancel := context.WithDeadline(ctx, r.request.deadline)
	defer cancel()
	acceptTimer := time.AfterFunc(acceptTimeout, cancel)
	defer acceptTimer.Stop()
	stream, err := client.Join(ctx, r.joinRequest(ctx, key, isolated))
	if err != nil {
		// Join fails only before the request is sent.
		return r.peerFailed(isolated, false)
	}
	header, err := stream.Header()
	if err != nil || len(header.Get(headerAccepted)) == 0 {
		_, err = stream.Recv()
		return r.peerFailed(isolated, !peerDeclined(err))
	}
	if !acceptTimer.Stop() {
		return r.peerFailed(isolated, true)
	}
	return r.copyPeerAnswer(stream, isolated)
}

func (r *run) joinRequest(ctx context.Context, key string, isolated bool) *mcmessage.JoinRequest {
	carrier := propagation.MapCarrier{}
	mcobserve.Propagator.Inject(ctx, carrier)
	return &mcmessage.JoinRequest{
		Deployment: r.gateway.Identity.Deployment(), Team: r.request.team.Name(), Template: r.request.template.Name(),
		JoinKey: key, RequestId: r.request.id, DeadlineMs: time.Until(r.request.deadline).Milliseconds(),
		Body: r.request.canonical, Traceparent: carrier.Get("traceparent"), Alone: isolated, Hop: uint32(r.request.hop + 1),
	}
}

// peerDeclined reports whether the peer said that it did not accept the request.
func peerDeclined(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.PermissionDenied, codes.NotFound, codes.Unimplemented, codes.ResourceExhausted:
		return true
	}
	return false
}

// peerFailed decides what follows if the peer did not run the request to its end. A
// suspect may run nowhere else, so it fails. Other forwarded work is idempotent and runs
// on this instance, unless the caller has received text that cannot be reproduced.
func (r *run) peerFailed(isolated, mayHaveRun bool) (*Problem, bool) {
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
	if isolated {
		return r.correctNotRun(notRun(CodeOverloaded, messageHomeUnreachable).withRetryAfter(homeRetryAfter)), true
	}
	if !r.prepareRestart() {
		return r.correctNotRun(notRun(CodeUpstreamFailed, "the instance that ran the request was lost")), true
	}
	r.reset()
	return nil, false
}

// copyPeerAnswer delivers the peer's answer. Without its last chunk the answer is incomplete
// and the peer counts as failed.
func (r *run) copyPeerAnswer(stream mcmessage.StreamService_JoinClient, isolated bool) (*Problem, bool) {
	for n := uint64(0); ; n++ {
		chunk, err := stream.Recv()
		switch {
		case err != nil || chunk.GetSequence() != n:
			return r.peerFailed(isolated, true)
		case chunk.GetErrorCode() != "":
			return r.peerProblem(chunk, isolated)
		}
		if err := r.deliver(chunk.GetText()); err != nil {
			r.mayHaveRun = true
			return r.correctNotRun(notRun(CodeUpstreamFailed, err.Error())), true
		}
		if chunk.GetEnd() {
			r.end = answerEnd{
				finish: chunk.GetFinishReason(), promptTokens: int(chunk.GetPromptTokens()), outputTokens: int(chunk.GetOutputTokens()),
			}
			return nil, true
		}
	}
}

// peerProblem passes on the problem of the peer. Work that the peer did not run because it is
// overloaded, or did not finish because it is stopping, runs on this instance instead, unless it
// is a suspect.
func (r *run) peerProblem(chunk *mcmessage.JoinChunk, isolated bool) (*Problem, bool) {
	code := Code(chunk.GetErrorCode())
	unfinished := code == CodeStopping || chunk.GetNotRun() && code == CodeOverloaded
	if unfinished && !isolated {
		return r.peerFailed(isolated, !chunk.GetNotRun())
	}
	r.mayHaveRun = r.mayHaveRun || !chunk.GetNotRun()
	problem := notRun(code, chunk.GetErrorMessage()).withRetryAfter(time.Duration(chunk.GetRetryAfterMs()) * time.Millisecond)
	return r.correctNotRun(problem), true
}
