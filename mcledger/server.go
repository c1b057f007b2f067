package mcledger

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// Server serves the shards of a ledger to other instances over gRPC.
type Server struct {
	mcmessage.UnimplementedLedgerServiceServer
	// Ledger must be running.
	Ledger *Ledger
}

var replyByRefusal = map[mcmessage.LedgerRefusal]replyKind{
	mcmessage.LedgerRefusal_LEDGER_REFUSAL_OPEN:        replyUncertain,
	mcmessage.LedgerRefusal_LEDGER_REFUSAL_UNAVAILABLE: replyUnavailable,
	mcmessage.LedgerRefusal_LEDGER_REFUSAL_NOT_RUN:     replyNotRun,
	mcmessage.LedgerRefusal_LEDGER_REFUSAL_EXPIRED:     replyExpired,
}

var refusalByReply = map[replyKind]mcmessage.LedgerRefusal{
	replyUncertain:   mcmessage.LedgerRefusal_LEDGER_REFUSAL_OPEN,
	replyUnavailable: mcmessage.LedgerRefusal_LEDGER_REFUSAL_UNAVAILABLE,
	replyNotRun:      mcmessage.LedgerRefusal_LEDGER_REFUSAL_NOT_RUN,
	replyExpired:     mcmessage.LedgerRefusal_LEDGER_REFUSAL_EXPIRED,
}

// Begin decides whether the sender may run its attempt.
func (s *Server) Begin(ctx context.Context, in *mcmessage.LedgerBeginRequest) (*mcmessage.LedgerBeginResponse, error) {
	number, err := s.checkAttempt(in.GetDeployment(), in.GetAttempt())
	if err != nil {
		return nil, err
	}
	if len(in.GetBodyHash()) != 32 {
		return nil, status.Error(codes.InvalidArgument, "the body hash must have 32 bytes")
	}
	answer, mayBeRecorded := s.Ledger.submitLocal(ctx, number, &request{kind: requestBegin, attempt: in.GetAttempt(), bodyHash: in.GetBodyHash()})
	if mayBeRecorded {
		answer.kind = replyUncertain
	}
	response := &mcmessage.LedgerBeginResponse{
		Granted: answer.kind == replyGranted, BodyMismatch: answer.kind == replyBodyMismatch, Refusal: refusalByReply[answer.kind],
	}
	if answer.kind == replyExisting {
		response.State = answer.record.GetState()
		response.Outcome = answer.record.GetOutcome()
		response.AttemptId = answer.record.GetAttempt().GetAttemptId()
	}
	return response, nil
}

// Finish records the final state of an attempt of the sender and its outcome.
func (s *Server) Finish(ctx context.Context, in *mcmessage.LedgerFinishRequest) (*mcmessage.LedgerFinishResponse, error) {
	number, err := s.checkAttempt(in.GetDeployment(), in.GetAttempt())
	if err != nil {
		return nil, err
	}
	state := in.GetState()
	if state != stateDone && state != stateUnknown && state != stateAbandoned {
		return nil, status.Error(codes.InvalidArgument, "the state does not end an attempt")
	}
	outcome := in.GetOutcome()
	if state != stateDone {
		outcome = nil
	} else if len(outcome.GetBody()) > maxOutcomeBodyBytes || len(outcome.GetContentType()) > maxContentTypeBytes {
		return nil, status.Error(codes.InvalidArgument, "the outcome is too large")
	}
	answer, _ := s.Ledger.submitLocal(ctx, number, &request{kind: requestFinish, attempt: in.GetAttempt(), state: state, outcome: outcome})
	switch answer.kind {
	case replyRecorded:
		return &mcmessage.LedgerFinishResponse{Recorded: true}, nil
	case replyNotRecorded:
		return &mcmessage.LedgerFinishResponse{State: answer.record.GetState()}, nil
	}
	return nil, status.Error(codes.Unavailable, "the outcome could not be recorded")
}

// checkAttempt validates the deployment and the attempt of a request and returns the shard
// of its key.
func (s *Server) checkAttempt(deployment string, attempt *mcmessage.LedgerAttempt) (int, error) {
	l := s.Ledger
	l.init()
	if deployment != l.Identity.Deployment() {
		return 0, status.Error(codes.PermissionDenied, "another deployment")
	}
	if l.draining.Load() {
		return 0, status.Error(codes.Unavailable, "the instance is stopping")
	}
	if n := len(attempt.GetAttemptId()); n == 0 || n > maxAttemptBytes || len(attempt.GetExecutor()) > maxNameBytes {
		return 0, status.Error(codes.InvalidArgument, "malformed attempt")
	}
	key := marigoldcroft.NewActionKey(attempt.GetTeam(), attempt.GetService(), attempt.GetKey())
	normal, err := normalizeKey(key)
	if err != nil || normal != key {
		return 0, status.Error(codes.InvalidArgument, "malformed key")
	}
	return Shard(key), nil
}

func replyFromProto(in *mcmessage.LedgerBeginResponse) reply {
	switch {
	case in.GetGranted():
		return reply{kind: replyGranted}
	case in.GetBodyMismatch():
		return reply{kind: replyBodyMismatch}
	case in.GetRefusal() != mcmessage.LedgerRefusal_LEDGER_REFUSAL_NONE:
		kind, ok := replyByRefusal[in.GetRefusal()]
		if !ok {
			kind = replyUncertain
		}
		return reply{kind: kind}
	}
	return reply{kind: replyExisting, record: &record{
		Attempt: &mcmessage.LedgerAttempt{AttemptId: in.GetAttemptId()},
		State:   in.GetState(), Outcome: in.GetOutcome(),
	}}
}
