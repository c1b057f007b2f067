package mcledger

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// TestServer checks that the owner refuses invalid messages, and that gRPC carries its
// answers unchanged.
func TestServer(t *testing.T) {
	l := startLedger(t, newCluster(t.Context()))
	server := grpc.NewServer()
	mcmessage.RegisterLedgerServiceServer(server, &Server{Ledger: l})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	client := mcmessage.NewLedgerServiceClient(conn)

	now := time.Now()
	request := func(change func(r *mcmessage.LedgerBeginRequest)) *mcmessage.LedgerBeginRequest {
		r := &mcmessage.LedgerBeginRequest{
			Deployment: "d", BodyHash: make([]byte, 32),
			Attempt: &mcmessage.LedgerAttempt{Team: "t", Service: "s", Key: testKey(now, 1), AttemptId: "a", Executor: "X"},
		}
		if change != nil {
			change(r)
		}
		return r
	}
	for _, c := range []struct {
		name   string
		change func(r *mcmessage.LedgerBeginRequest)
		code   codes.Code
		want   replyKind
	}{
		{"another deployment", func(r *mcmessage.LedgerBeginRequest) { r.Deployment = "e" }, codes.PermissionDenied, 0},
		{"no attempt", func(r *mcmessage.LedgerBeginRequest) { r.Attempt = nil }, codes.InvalidArgument, 0},
		{"malformed key", func(r *mcmessage.LedgerBeginRequest) { r.Attempt.Key = "order-1" }, codes.InvalidArgument, 0},
		{"short hash", func(r *mcmessage.LedgerBeginRequest) { r.BodyHash = nil }, codes.InvalidArgument, 0},
		{"long attempt id", func(r *mcmessage.LedgerBeginRequest) {
			r.Attempt.AttemptId = string(make([]byte, maxAttemptBytes+1))
		}, codes.InvalidArgument, 0},
		{"old key", func(r *mcmessage.LedgerBeginRequest) { r.Attempt.Key = testKey(now.Add(-25*time.Hour), 1) }, codes.OK, replyExpired},
		{"first", nil, codes.OK, replyGranted},
		{"another attempt", func(r *mcmessage.LedgerBeginRequest) { r.Attempt.AttemptId = "b" }, codes.OK, replyExisting},
		{"another body", func(r *mcmessage.LedgerBeginRequest) { r.Attempt.AttemptId, r.BodyHash[0] = "c", 1 }, codes.OK, replyBodyMismatch},
	} {
		response, err := client.Begin(t.Context(), request(c.change))
		require.Equal(t, c.code, status.Code(err), c.name)
		if err == nil {
			require.Equal(t, c.want, replyFromProto(response).kind, c.name)
		}
	}
	finished, err := client.Finish(t.Context(), &mcmessage.LedgerFinishRequest{
		Deployment: "d", Attempt: request(nil).Attempt, State: stateDone,
		Outcome: &mcmessage.LedgerOutcome{Status: 200, Body: []byte("booked")},
	})
	require.NoError(t, err)
	require.True(t, finished.GetRecorded())
	response, err := client.Begin(t.Context(), request(func(r *mcmessage.LedgerBeginRequest) { r.Attempt.AttemptId = "b" }))
	require.NoError(t, err)
	require.Equal(t, marigoldcroft.ActionOutcome{Status: 200, Body: []byte("booked")}, outcomeFromProto(replyFromProto(response).record.GetOutcome()))
	require.Equal(t, "a", response.GetAttemptId())
	_, err = client.Finish(t.Context(), &mcmessage.LedgerFinishRequest{Deployment: "d", Attempt: request(nil).Attempt, State: stateStarted})
	require.Equal(t, codes.InvalidArgument, status.Code(err))
}
