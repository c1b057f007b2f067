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

// Guards against a joiner that misses the start of the answer, a run that ends with its
// first caller, a run that continues without callers, and an answer to a request with
// another body.
func TestIdenticalRequestsShareOneRun(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		b := run(newTestGateway(map[string][]string{"a": {"x ~ y ~ z", "..."}}))
		first, leave := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer leave()
		go b.chat(first, body("caption", ""), "Idempotency-Key", "k")
		time.Sleep(1200 * time.Millisecond)
		other := decodeProblem(t, b.chat(t.Context(), body("caption", deterministic), "Idempotency-Key", "k").Body.String())
		require.Equal(t, mcgateway.CodeKeyReused, other.Code)
		require.True(t, other.NotRun)
		require.Equal(t, "xyz", text(b.chat(t.Context(), body("caption", `,"stream":true`), "Idempotency-Key", "k")))
		require.Len(t, b.engine.calls, 1)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go b.chat(ctx, body("caption", deterministic))
		b.chat(ctx, body("caption", deterministic))
		synctest.Wait()
		require.Len(t, b.engine.calls, 2, "same body, no key")
		require.Equal(t, 2, b.engine.closedStreams, "the run continues without callers")
		require.Empty(t, b.scheduler.held)
	})
}

// Guards against a joiner that fails because the request that it joined had an earlier
// deadline.
func TestJoinerWithLaterDeadline(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		b := newTestGateway(map[string][]string{"a": {"x y"}})
		b.scheduler.queue = true
		run(b)
		go b.chat(t.Context(), body("caption", ""), "Idempotency-Key", "k", "X-Deadline-Ms", "5000")
		synctest.Wait()
		late := make(chan *httptest.ResponseRecorder)
		go func() { late <- b.chat(t.Context(), body("caption", ""), "Idempotency-Key", "k") }()
		for _, action := range []marigoldcroft.Action{marigoldcroft.ActionExpire, marigoldcroft.ActionDispatch} {
			synctest.Wait()
			b.scheduler.decide(action, "a")
			time.Sleep(time.Second)
		}
		require.Equal(t, "xy", text(<-late))
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

// Guards against identical requests at two instances that run twice and, for each way in
// which the home instance can fail, against lost, mixed up or duplicated parts of the
// answer.
func TestJoinAtHome(t *testing.T) {
	refuse := accept(&mcmessage.JoinChunk{ErrorCode: "overloaded", NotRun: true})
	fail := accept(&mcmessage.JoinChunk{ErrorCode: "upstreamFailed"})
	x := &mcmessage.JoinChunk{Text: "x"}
	const keyed = `,"stream":true`
	for name, c := range map[string]struct {
		peer  peerFunc
		extra string
		text  string
		code  mcgateway.Code
		local int
	}{
		"unreachable":             {nil, keyed, "xyz", "", 1},
		"hangs":                   {neverAccept, keyed, "xyz", "", 1},
		"refuses":                 {refuse, keyed, "xyz", "", 1},
		"fails":                   {fail, keyed, "", mcgateway.CodeUpstreamFailed, 0},
		"lost before first token": {accept(), keyed, "xyz", "", 1},
		"lost mid-stream":         {accept(x), keyed, "x", mcgateway.CodeUpstreamFailed, 0},
		"lost, deterministic":     {accept(x), keyed + deterministic, "xyz", "", 1},
		"chunk out of sequence":   {accept(&mcmessage.JoinChunk{Text: "q", Sequence: 5}), keyed, "xyz", "", 1},
		"complete":                {accept(x, &mcmessage.JoinChunk{Sequence: 1, End: true, FinishReason: "stop"}), keyed, "x", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				b := run(newTestGateway(map[string][]string{"a": {"x y z"}}))
				b.JoinInstance = joinInstanceAt(t, nil)
				if c.peer != nil {
					b.JoinInstance = joinInstanceAt(t, peerServer{join: c.peer})
				}
				w := b.chat(t.Context(), body("caption", c.extra), "Idempotency-Key", "k")
				require.Equal(t, c.text, text(w), w.Body)
				require.Len(t, b.engine.calls, c.local)
				if c.code != "" {
					require.Equal(t, c.code, decodeProblem(t, w.Body.String()).Code)
				}
			})
		})
	}
}

// Guards against two runs of one request that arrives at two instances, and against a run
// that continues after its caller left the other instance.
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

// Guards against a suspect that runs anywhere but isolated at its home instance, and
// against a false notRun if the home may have begun.
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

// Guards against requests that fail, or run concurrently, while an identical one runs as
// a crash suspect; when that one succeeds, the others are cleared.
func TestIdenticalRequestsWaitForSuspect(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		b := run(newTestGateway(map[string][]string{"a": {"x", "~ x y"}}))
		b.chat(t.Context(), body("caption", ""))
		makeSuspect(b, b.engine.sent[0])
		answers := make(chan string, 3)
		for range cap(answers) {
			go func() { answers <- text(b.chat(t.Context(), body("caption", ""))) }()
		}
		early := make(chan int, 1)
		time.AfterFunc(500*time.Millisecond, func() { early <- b.engine.count() })
		for range cap(answers) {
			require.Equal(t, "xy", <-answers)
		}
		require.Equal(t, 2, <-early, "identical requests run beside the suspect")
		require.Equal(t, 1, b.scheduler.isolated)
	})
}
