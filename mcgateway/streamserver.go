package mcgateway

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"marigoldcroft/mcmessage"
	"marigoldcroft/mcobserve"
)

type (
	// StreamServer runs requests that peers forward to this instance. The limits of teams
	// were applied at the instance that the caller reached.
	StreamServer struct {
		mcmessage.UnimplementedStreamServiceServer

		Gateway *Gateway
	}

	// peerSink sends an answer to the peer that forwarded the request.
	peerSink struct {
		stream grpc.ServerStreamingServer[mcmessage.JoinChunk]
		n      uint64
	}
)

// Join runs a peer's request or joins an identical one that is running. An error status
// before the response header means that the request was not accepted; all other results
// come as the last chunk.
func (s *StreamServer) Join(in *mcmessage.JoinRequest, stream grpc.ServerStreamingServer[mcmessage.JoinChunk]) error {
	g := s.Gateway
	request, err := g.peerRequest(in)
	if err != nil {
		return err
	}
	if g.stop.RefusesNew() {
		return status.Error(codes.Unavailable, "this instance is stopping")
	}
	g.active.Add(1)
	defer g.active.Done()
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) > int64(g.Limits.MaxInFlight) {
		return status.Error(codes.ResourceExhausted, "this instance has its largest number of requests")
	}
	if err := stream.SendHeader(metadata.Pairs(headerAccepted, "1")); err != nil {
		return err
	}
	carrier := propagation.MapCarrier{"traceparent": in.GetTraceparent()}
	ctx := mcobserve.Propagator.Extract(stream.Context(), carrier)
	ctx, cancel := context.WithDeadline(ctx, request.deadline)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer g.stop.OnAbort(func() { abort(errStopping) })()
	out := &peerSink{stream: stream}
	return out.finish(g.joinOrRun(ctx, request, out))
}

// peerRequest validates a peer's request like that of a caller.
func (g *Gateway) peerRequest(in *mcmessage.JoinRequest) (*modelRequest, error) {
	if in.GetDeployment() != g.Identity.Deployment() {
		return nil, status.Error(codes.PermissionDenied, "another deployment")
	}
	config := g.Config.Current()
	team, ok := config.Team(in.GetTeam())
	if !ok {
		return nil, status.Error(codes.NotFound, "unknown team")
	}
	t, ok := config.Template(in.GetTemplate())
	if !ok || !team.Allows(t.Name()) {
		return nil, status.Error(codes.NotFound, "unknown template")
	}
	chat, problem := parseChat(in.GetBody())
	if problem != nil {
		return nil, status.Error(codes.InvalidArgument, problem.Message)
	}
	left := min(time.Duration(in.GetDeadlineMs())*time.Millisecond, t.Deadline())
	request, problem := g.checkChat(team, chat, t, time.Now().Add(left))
	if problem != nil {
		return nil, status.Error(codes.InvalidArgument, problem.Message)
	}
	request.applyJoinRequest(in)
	return request, nil
}

// applyJoinRequest takes over what the forwarding instance decided. The flight of a
// suspect gets a key of its own: if it joined the flight that forwarded it, it would wait
// for itself.
func (r *modelRequest) applyJoinRequest(in *mcmessage.JoinRequest) {
	r.origin = in.GetRequestId()
	// The instance that forwarded the request may run it, too. Different IDs keep engines
	// from confusing the two streams.
	r.id = fmt.Sprintf("%s-hop%d", r.origin, in.GetHop())
	r.hop, r.isolated, r.peerJoinKey = int(in.GetHop()), in.GetAlone(), in.GetJoinKey()
	if r.isolated && r.peerJoinKey != "" {
		r.peerJoinKey = "alone\x00" + r.peerJoinKey
	}
}

func (s *peerSink) token(text string) error {
	s.n++
	return s.stream.Send(&mcmessage.JoinChunk{Text: text, Sequence: s.n - 1})
}

// finish sends the last chunk, with the end of the answer or the problem.
func (s *peerSink) finish(result flightResult) error {
	chunk := &mcmessage.JoinChunk{
		Sequence: s.n, End: true, FinishReason: result.end.finish,
		PromptTokens: uint32(result.end.promptTokens), OutputTokens: uint32(result.end.outputTokens),
	}
	if p := result.problem; p != nil {
		chunk = &mcmessage.JoinChunk{
			Sequence: s.n, ErrorCode: string(p.Code), ErrorMessage: p.Message, NotRun: p.NotRun, RetryAfterMs: p.RetryAfterMs,
		}
	}
	return s.stream.Send(chunk)
}
