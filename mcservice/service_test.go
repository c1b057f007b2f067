package mcservice_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"marigoldcroft"
	"marigoldcroft/mcledger"
	"marigoldcroft/mcservice"
	"marigoldcroft/mcstandin"
	"marigoldcroft/mcstore"
)

// serve returns an endpoint that serves handler on loopback.
func serve(t *testing.T, handler http.Handler) marigoldcroft.Endpoint {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "desk-1", Kind: marigoldcroft.EndpointService, Address: server.URL})
}

func newClient(t *testing.T, cfg mcservice.Config) *mcservice.Client {
	client := mcservice.NewClient(cfg)
	t.Cleanup(client.CloseIdle)
	return client
}

// A call with a key must be sent only once, and must not be reported as not sent if it may
// have run. net/http repeats a request whose reused connection breaks, so each case first
// makes a query that leaves an open connection for the call.
func TestCallIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name         string
		method, body string
		faults       mcstandin.ServiceFaults
		// callerLeaves is true if the caller cancels once the service has received the
		// call.
		callerLeaves bool
		kind         mcservice.Kind
		runs         int
	}{
		{"no fault", "POST", "x", mcstandin.ServiceFaults{}, false, "", 1},
		{"answer lost", "POST", "x", mcstandin.ServiceFaults{LostResponses: 1}, false, mcservice.KindAnswerLost, 1},
		{"answer lost, no body", "POST", "", mcstandin.ServiceFaults{LostResponses: 1}, false, mcservice.KindAnswerLost, 1},
		{"answer lost, GET", "GET", "", mcstandin.ServiceFaults{LostResponses: 1}, false, mcservice.KindAnswerLost, 1},
		{"dies before it runs", "POST", "x", mcstandin.ServiceFaults{DieBefore: true}, false, mcservice.KindAnswerLost, 0},
		{"dies after it ran", "POST", "x", mcstandin.ServiceFaults{DieAfter: true}, false, mcservice.KindAnswerLost, 1},
		{"slow", "POST", "x", mcstandin.ServiceFaults{SlowMs: 50}, true, mcservice.KindAnswerLost, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := mcstandin.NewService("desk", 1)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			endpoint := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.callerLeaves && r.URL.Path == "/book" {
					// The whole body is read first: if the connection closed earlier, the
					// call would end before it runs.
					body, _ := io.ReadAll(r.Body)
					r.Body = io.NopCloser(bytes.NewReader(body))
					cancel()
				}
				service.ServeHTTP(w, r)
			}))
			client := newClient(t, mcservice.Config{Wrap: func(next http.RoundTripper) http.RoundTripper {
				return otelhttp.NewTransport(next)
			}})
			_, err := client.Load(t.Context(), endpoint)
			require.NoError(t, err)
			service.SetFaults(c.faults)
			answer, err := client.Call(ctx, endpoint, marigoldcroft.ServiceCall{
				Key: "k", Method: c.method, Path: "/book?n=1", Body: []byte(c.body),
			})
			require.Equal(t, c.kind, marigoldcroft.FailureKind[mcservice.Kind](err), "error: %v", err)
			require.False(t, marigoldcroft.NotSent(err))
			if c.kind == "" {
				require.Equal(t, http.StatusOK, answer.Status)
				require.Equal(t, "application/json", answer.Header.Get("Content-Type"))
			}
			require.Eventually(t, func() bool { return service.Runs()["k"] == c.runs }, 20*time.Second, time.Millisecond)
		})
	}
}

// TestCallBounds checks the size limits of bodies and that a redirect is returned and not
// followed, which would send the call again. A call that fails before it is sent must be
// reported as not sent, so that the caller may try it elsewhere.
func TestCallBounds(t *testing.T) {
	var calls atomic.Int64
	live := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if r.URL.Path == "/moved" {
			http.Redirect(w, r, "/large", http.StatusFound)
			return
		}
		_, _ = w.Write(make([]byte, 1001))
	}))
	closed := httptest.NewServer(nil)
	closed.Close()
	dead := marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Address: closed.URL})
	for _, c := range []struct {
		name     string
		endpoint marigoldcroft.Endpoint
		path     string
		body     int
		kind     mcservice.Kind
		status   int
		calls    int64
	}{
		{"nothing listens", dead, "/", 1, mcservice.KindNotSent, 0, 0},
		{"body too large", live, "/", 1001, mcservice.KindNotSent, 0, 0},
		{"path without a slash", live, "@127.0.0.2/", 1, mcservice.KindNotSent, 0, 0},
		{"answer too large", live, "/large", 1000, mcservice.KindTooLarge, 0, 1},
		{"redirect", live, "/moved", 1, "", http.StatusFound, 1},
	} {
		calls.Store(0)
		client := newClient(t, mcservice.Config{MaxBodyBytes: 1000, MaxAnswerBytes: 1000})
		answer, err := client.Call(t.Context(), c.endpoint, marigoldcroft.ServiceCall{
			Key: "k", Method: "POST", Path: c.path, Body: make([]byte, c.body),
		})
		require.Equal(t, c.kind, marigoldcroft.FailureKind[mcservice.Kind](err), "%s: %v", c.name, err)
		require.Equal(t, c.kind == mcservice.KindNotSent, marigoldcroft.NotSent(err), c.name)
		require.Equal(t, c.status, answer.Status, c.name)
		require.Equal(t, c.calls, calls.Load(), c.name)
	}
}

// A status query must find a call only after the service has recorded it, and must return
// the recorded answer. A service without status queries must look as if it did not know
// the call.
func TestStatusAndLoad(t *testing.T) {
	service := mcstandin.NewService("desk", 1)
	endpoint := serve(t, service)
	client := newClient(t, mcservice.Config{})
	_, known, err := client.Status(t.Context(), endpoint, "k")
	require.True(t, err == nil && !known)
	answer, err := client.Call(t.Context(), endpoint, marigoldcroft.ServiceCall{Key: "k", Method: "POST", Path: "/book"})
	require.NoError(t, err)
	status, known, err := client.Status(t.Context(), endpoint, "k")
	require.True(t, err == nil && known)
	require.Equal(t, answer.Body, status.Body)
	service.SetFaults(mcstandin.ServiceFaults{NoStatus: true, Leaving: true})
	_, known, err = client.Status(t.Context(), endpoint, "k")
	require.True(t, err == nil && !known)
	report, err := client.Load(t.Context(), endpoint)
	require.NoError(t, err)
	require.True(t, report.Leaving)
	require.Equal(t, "desk", report.Endpoint)
}

// Two instances retry each action several times while the store and the service lose
// answers, as happens when connections break. Each action must still run exactly once. The
// connections are real, so that the retries of net/http take part. Seed 1 drives the
// faults.
func TestRetriesOverHTTP(t *testing.T) {
	const actions, tries = 40, 3
	store := mcstandin.NewObjectStore(1)
	storeURL := serve(t, store).Address()
	store.SetFaults(mcstandin.ObjectStoreFaults{LostResponses: 0.3})
	service := mcstandin.NewService("desk", 1)
	endpoint := serve(t, service)
	service.SetFaults(mcstandin.ServiceFaults{LostResponses: 0.3, NoStatus: true})
	client := newClient(t, mcservice.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var executors []*mcledger.Executor
	for _, name := range []string{"A", "B"} {
		ledger := &mcledger.Ledger{
			Store:    mcstore.NewClient(mcstore.ClientConfig{Store: &mcstore.HTTP{BaseURL: storeURL}}),
			Identity: marigoldcroft.NewIdentity("d", "r", "dc", name, time.Now(), 1),
		}
		go ledger.Run(ctx)
		executors = append(executors, &mcledger.Executor{Ledger: ledger, Service: client})
	}
	kinds := make(chan mcledger.ResultKind, actions*tries*len(executors))
	keys := make([]string, actions)
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
		for range tries {
			for _, e := range executors {
				go func() {
					kinds <- e.Execute(ctx, mcledger.Call{
						Key: marigoldcroft.NewActionKey("t", "desk", keys[i]), Endpoints: []marigoldcroft.Endpoint{endpoint},
						Call: marigoldcroft.ServiceCall{Method: "POST", Path: "/book", Body: []byte("x")},
					}).Kind
				}()
			}
		}
	}
	count := make(map[mcledger.ResultKind]int)
	for range cap(kinds) {
		count[<-kinds]++
	}
	for _, e := range executors {
		e.Wait()
	}
	for _, key := range keys {
		require.Equal(t, 1, service.Runs()[key], "runs of %s; results: %v", key, count)
	}
	require.Zero(t, count[mcledger.ResultStoreUnavailable], "results: %v", count)
	require.Positive(t, count[mcledger.ResultRan])
	require.Less(t, count[mcledger.ResultRan], actions, "some answers of the service are lost")
}

// Hop-by-hop headers must not reach the service, nor an idempotency key among the caller's
// headers: only the key of the call counts.
func TestHeaders(t *testing.T) {
	var got http.Header
	endpoint := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header }))
	_, err := newClient(t, mcservice.Config{}).Call(t.Context(), endpoint, marigoldcroft.ServiceCall{
		RequestID: "r1", Method: "POST", Path: "/",
		Header: http.Header{"Connection": {"close"}, "Te": {"trailers"}, "X-Shop": {"7"}, mcservice.IdempotencyKeyHeader: {"forged"}},
	})
	require.NoError(t, err)
	var names []string
	for name := range got {
		names = append(names, name)
	}
	require.ElementsMatch(t, strings.Fields("Content-Length User-Agent X-Request-Id X-Shop"), names)
	require.Equal(t, "r1", got.Get(mcservice.RequestIDHeader))
}

// A service in trouble may send bytes without end. A call must end with an error after a
// bounded number of bytes, must count as one that may have run, and its connection must be
// closed.
func TestEndlessServiceAnswers(t *testing.T) {
	head := func(*http.Request) string { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" }
	for _, server := range []*mcstandin.EndlessServer{
		{Rest: "these bytes are no answer "},
		{Start: func(*http.Request) string {
			return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
		}, Rest: "x", Pause: 50 * time.Millisecond},
		{Start: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, Rest: "X-A: b\r\n"},
		{Start: head, Rest: "1;a"},
		{Start: head, Rest: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	} {
		endpoint := serve(t, server)
		client := newClient(t, mcservice.Config{})
		begun := time.Now()
		_, err := client.Call(t.Context(), endpoint, marigoldcroft.ServiceCall{Key: "k", Method: "POST", Path: "/book", Body: []byte("x")})
		require.Error(t, err)
		require.False(t, marigoldcroft.NotSent(err))
		require.Less(t, time.Since(begun), 10*time.Second)
		require.Less(t, server.Sent(), int64(64<<20))
		require.Eventually(t, func() bool { return server.Serving() == 0 }, 5*time.Second, time.Millisecond, "the connection is still open")
	}
}
