package mcgateway_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/test/bufconn"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// peerFunc is the Join method of a fake peer.
type peerFunc func(*mcmessage.JoinRequest, grpc.ServerStreamingServer[mcmessage.JoinChunk]) error

type peerServer struct {
	mcmessage.UnimplementedStreamServiceServer

	join peerFunc
}

func (p peerServer) Join(in *mcmessage.JoinRequest, stream grpc.ServerStreamingServer[mcmessage.JoinChunk]) error {
	return p.join(in, stream)
}

// connectPeer serves the peer in memory and returns a client of it.
func connectPeer(t *testing.T, peer mcmessage.StreamServiceServer) mcmessage.StreamServiceClient {
	t.Helper()
	const bufferBytes = 1 << 16
	listener := bufconn.Listen(bufferBytes)
	server := grpc.NewServer(grpc.WaitForHandlers(true))
	mcmessage.RegisterStreamServiceServer(server, peer)
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	conn, err := grpc.NewClient("passthrough:peer", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(); server.Stop(); <-done })
	return mcmessage.NewStreamServiceClient(conn)
}

// Identical requests share one run. A joiner must get the answer from its start, also if
// the first caller has left in the meantime; the run must end once all callers have left.
// A request with the same idempotency key but another body must be refused, not answered
// with the result of the first one.
func TestIdenticalRequestsShareOneRun(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x ~ y ~ z", "..."}}))
		first, leave := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer leave()
		go g.chat(first, body("caption", ""), "Idempotency-Key", "k")
		time.Sleep(1200 * time.Millisecond)
		other := decodeProblem(t, g.chat(t.Context(), body("caption", deterministic), "Idempotency-Key", "k").Body.String())
		require.Equal(t, mcgateway.CodeKeyReused, other.Code)
		require.True(t, other.NotRun)
		require.Equal(t, "xyz", text(g.chat(t.Context(), body("caption", `,"stream":true`), "Idempotency-Key", "k")))
		require.Len(t, g.engine.calls, 1)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go g.chat(ctx, body("caption", deterministic))
		g.chat(ctx, body("caption", deterministic))
		synctest.Wait()
		require.Len(t, g.engine.calls, 2, "same body, no key")
		require.Equal(t, 2, g.engine.closedStreams, "the run continues without callers")
		require.Empty(t, g.scheduler.held)
	})
}

// If the request that a joiner joined expires in the queue, and the joiner has a later
// deadline, the joiner must start over instead of failing.
func TestJoinerWithLaterDeadline(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := newTestGateway(map[string][]string{"a": {"x y"}})
		g.scheduler.queue = true
		run(g)
		go g.chat(t.Context(), body("caption", ""), "Idempotency-Key", "k", "X-Deadline-Ms", "5000")
		synctest.Wait()
		joinerResponse := make(chan *httptest.ResponseRecorder)
		go func() { joinerResponse <- g.chat(t.Context(), body("caption", ""), "Idempotency-Key", "k") }()
		for _, action := range []marigoldcroft.Action{marigoldcroft.ActionExpire, marigoldcroft.ActionDispatch} {
			synctest.Wait()
			g.scheduler.decide(action, "a")
			time.Sleep(time.Second)
		}
		require.Equal(t, "xy", text(<-joinerResponse))
	})
}

// accept accepts a request and sends the chunks, one a second.
func accept(chunks ...*mcmessage.JoinChunk) peerFunc {
	return func(_ *mcmessage.JoinRequest, s grpc.ServerStreamingServer[mcmessage.JoinChunk]) error {
		_ = s.SendHeader(metadata.Pairs("accepted", "1"))
		for _, c := range chunks {
			_ = s.Send(c)
			time.Sleep(time.Second)
		}
		return nil
	}
}

// neverAccept blocks until the call ends; acceptThenHang accepts the request first.
func neverAccept(_ *mcmessage.JoinRequest, s grpc.ServerStreamingServer[mcmessage.JoinChunk]) error {
	<-s.Context().Done()
	return nil
}

func acceptThenHang(in *mcmessage.JoinRequest, s grpc.ServerStreamingServer[mcmessage.JoinChunk]) error {
	_ = s.SendHeader(metadata.Pairs("accepted", "1"))
	return neverAccept(in, s)
}

// joinInstanceAt returns a JoinInstance function that always names the peer; a nil peer cannot be
// reached.
func joinInstanceAt(t *testing.T, peer mcmessage.StreamServiceServer) func(string) (mcmessage.StreamServiceClient, bool) {
	if peer == nil {
		return func(string) (mcmessage.StreamServiceClient, bool) { return nil, false }
	}
	client := connectPeer(t, peer)
	return func(string) (mcmessage.StreamServiceClient, bool) { return client, false }
}

// TestJoinAtHome covers each way in which the home instance can fail. The request must run
// on this instance if it still can, with no part of the answer lost, duplicated or mixed
// with that of the home. If the home answers, the request must not run a second time.
func TestJoinAtHome(t *testing.T) {
	refuse := accept(&mcmessage.JoinChunk{ErrorCode: "overloaded", NotRun: true})
	fail := accept(&mcmessage.JoinChunk{ErrorCode: "upstreamFailed"})
	x := &mcmessage.JoinChunk{Text: "x"}
	const streamed = `,"stream":true`
	for name, c := range map[string]struct {
		peer  peerFunc
		extra string
		text  string
		code  mcgateway.Code
		local int
	}{
		"unreachable":             {nil, streamed, "xyz", "", 1},
		"hangs":                   {neverAccept, streamed, "xyz", "", 1},
		"refuses":                 {refuse, streamed, "xyz", "", 1},
		"fails":                   {fail, streamed, "", mcgateway.CodeUpstreamFailed, 0},
		"lost before first token": {accept(), streamed, "xyz", "", 1},
		"lost mid-stream":         {accept(x), streamed, "x", mcgateway.CodeUpstreamFailed, 0},
		"lost, deterministic":     {accept(x), streamed + deterministic, "xyz", "", 1},
		"chunk out of sequence":   {accept(&mcmessage.JoinChunk{Text: "q", Sequence: 5}), streamed, "xyz", "", 1},
		"complete":                {accept(x, &mcmessage.JoinChunk{Sequence: 1, End: true, FinishReason: "stop"}), streamed, "x", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := run(newTestGateway(map[string][]string{"a": {"x y z"}}))
				g.JoinInstance = joinInstanceAt(t, nil)
				if c.peer != nil {
					g.JoinInstance = joinInstanceAt(t, peerServer{join: c.peer})
				}
				w := g.chat(t.Context(), body("caption", c.extra), "Idempotency-Key", "k")
				require.Equal(t, c.text, text(w), w.Body)
				require.Len(t, g.engine.calls, c.local)
				if c.code != "" {
					require.Equal(t, c.code, decodeProblem(t, w.Body.String()).Code)
				}
			})
		})
	}
}

// A request that arrives at two instances must run only once, at its home. If the caller at
// the other instance disconnects, the run at the home must end, too.
func TestJoinThroughTwoGateways(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		home, entry := run(newTestGateway(map[string][]string{"a": {"x ~ y ~ z"}})), run(newTestGateway(map[string][]string{"a": {"never"}}))
		entry.JoinInstance = joinInstanceAt(t, &mcgateway.StreamServer{Gateway: home.Gateway})
		ctx, leave := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer leave()
		go home.chat(ctx, body("caption", ""), "Idempotency-Key", "k")
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, "xyz", text(entry.chat(t.Context(), body("caption", ""), "Idempotency-Key", "k")))
		require.Len(t, home.engine.calls, 1)
		require.Empty(t, entry.engine.calls)
		gone, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		home.engine.script["a"] = []string{"..."}
		entry.chat(gone, body("caption", ""), "Idempotency-Key", "k2")
		synctest.Wait()
		require.Empty(t, home.scheduler.held, "the run continues although its caller left the other instance")
	})
}

// A crash suspect may run only at its home instance, isolated from other suspects. If the
// home cannot be reached the request fails, and if the home may have begun the work the
// problem must not say notRun.
func TestSuspectRunsOnlyAtHome(t *testing.T) {
	for name, c := range map[string]struct {
		peer   string
		text   string
		notRun bool
	}{
		"self": {"self", "xy", false}, "unreachable": {"none", "", true},
		"peer": {"gateway", "xy", false}, "peer hangs": {"hang", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				home, entry := run(newTestGateway(map[string][]string{"a": {"x y"}})), run(newTestGateway(map[string][]string{"a": {"x y"}}))
				var client mcmessage.StreamServiceClient
				switch c.peer {
				case "gateway":
					client = connectPeer(t, &mcgateway.StreamServer{Gateway: home.Gateway})
				case "hang":
					client = connectPeer(t, peerServer{join: neverAccept})
				}
				var suspect mcquarantine.Fingerprint
				entry.SuspectInstance = func(f mcquarantine.Fingerprint) (mcmessage.StreamServiceClient, bool) {
					suspect = f
					return client, c.peer == "self"
				}
				entry.chat(t.Context(), body("caption", ""))
				makeSuspect(entry, entry.engine.sent[0])
				entry.engine.calls = nil
				w := entry.chat(t.Context(), body("caption", ""))
				require.NotZero(t, suspect)
				require.Equal(t, c.text, text(w), w.Body)
				if c.text == "" {
					require.Equal(t, 503, w.Code)
					require.Equal(t, c.notRun, decodeProblem(t, w.Body.String()).NotRun)
				}
				require.Equal(t, c.peer == "self", len(entry.engine.calls) == 1)
				require.Equal(t, map[string]int{"self": 1}[c.peer], entry.scheduler.isolated)
				require.Equal(t, map[string]int{"gateway": 1}[c.peer], home.scheduler.isolated)
			})
		})
	}
}

// While a request runs as a crash suspect, identical requests must wait: if they ran too,
// they could crash further engines. When the first one succeeds, all of them are cleared
// of suspicion and must succeed without isolation.
func TestIdenticalRequestsWaitForSuspect(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x", "~ x y"}}))
		g.chat(t.Context(), body("caption", ""))
		makeSuspect(g, g.engine.sent[0])
		answers := make(chan string, 3)
		for range cap(answers) {
			go func() { answers <- text(g.chat(t.Context(), body("caption", ""))) }()
		}
		early := make(chan int, 1)
		time.AfterFunc(500*time.Millisecond, func() { early <- g.engine.count() })
		for range cap(answers) {
			require.Equal(t, "xy", <-answers)
		}
		require.Equal(t, 2, <-early, "identical requests run beside the suspect")
		require.Equal(t, 1, g.scheduler.isolated)
	})
}
