package mcforward_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
)

// placeIn puts the servers into data centres.
func (b *testBed) placeIn(dataCentres ...string) {
	b.t.Helper()
	var records []marigoldcroft.Record[marigoldcroft.EndpointRecord]
	for i, name := range dataCentres {
		record := b.record(i)
		record.Value.DataCentre = name
		records = append(records, record)
	}
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Snapshot: true, Records: records})
}

// Guards against requests to an evacuated data centre by first attempts, by retries of requests that
// failed and by streams that are resumed, and against requests that run there and are cut off.
func TestRequestsLeaveAnEvacuatedDataCentre(t *testing.T) {
	for _, path := range []string{"/again/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			b := newTestBed(t, 4)
			b.placeIn("y", "y", "z", "z")
			for _, s := range b.servers {
				s.EventInterval, s.CallTime = 50*time.Millisecond, 300*time.Millisecond
			}
			answers := make(chan callerResponse, 8)
			for range cap(answers) {
				go func() { answers <- b.get(path) }()
			}
			require.Eventually(t, func() bool { return len(b.runs()) == cap(answers) }, 5*time.Second, time.Millisecond)
			b.forwarder.Fleet.SetEvacuated([]string{"z"})
			before := len(b.servers[2].Runs()) + len(b.servers[3].Runs())
			require.Positive(t, before)
			// Those of one data centre fail, so that they are tried again.
			for _, s := range b.httpServers[:1] {
				s.CloseClientConnections()
			}
			for range cap(answers) {
				answer := <-answers
				require.Equal(t, http.StatusOK, answer.status)
				require.False(t, answer.broken)
			}
			for range cap(answers) {
				go func() { answers <- b.get(path) }()
			}
			for range cap(answers) {
				require.Equal(t, http.StatusOK, (<-answers).status)
			}
			require.Equal(t, before, len(b.servers[2].Runs())+len(b.servers[3].Runs()))
		})
	}
}

// Guards against requests that wait, or are sent, while all data centres are evacuated.
func TestAllDataCentresAreEvacuated(t *testing.T) {
	b := newTestBed(t, 2)
	b.placeIn("y", "z")
	b.forwarder.Fleet.SetEvacuated([]string{"y", "z"})
	begun := time.Now()
	answer := b.get("/once/x")
	require.Equal(t, http.StatusServiceUnavailable, answer.status)
	require.Less(t, time.Since(begun), time.Second, "before its deadline")
	require.NotEmpty(t, answer.header.Get("Retry-After"))
	require.Contains(t, answer.body, string(marigoldcroft.ReasonEvacuated))
	require.Empty(t, b.runs())
	b.forwarder.Fleet.SetEvacuated(nil)
	require.Equal(t, http.StatusOK, b.get("/once/x").status)
}

// Guards against a request that was placed before the evacuation and is sent after it, to an engine or
// with a helper in the data centre, because reservations took long; and against memory that stays
// reserved.
func TestPlacedRequestIsNotSentAfterTheEvacuation(t *testing.T) {
	// The prompt is placed on all engines, each in a data centre of its own: one answers, and the others
	// keep parts of it.
	names := []string{"w", "x", "y", "z"}
	for evacuated, name := range names {
		t.Run(name, func(t *testing.T) {
			b, recorder := newLargePromptBed(t, len(names))
			b.placeIn(names...)
			recorder.onReserve = func() {
				if recorder.reserves == len(names)-1 {
					b.forwarder.Fleet.SetEvacuated([]string{name})
				}
			}
			r := b.request(http.MethodPost, "/stream/x", "prompt")
			r.Header.Set("Token-Counts", "210000,10")
			b.send(r)
			require.GreaterOrEqual(t, recorder.reserves, len(names)-1)
			require.Empty(t, b.servers[evacuated].Runs())
			for _, run := range b.runs() {
				require.NotContains(t, run.Header.Get("Helpers"), b.httpServers[evacuated].Listener.Addr().String())
			}
			require.Eventually(t, func() bool { return recorder.remaining() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against calls to an evacuated data centre that renew memory which was reserved there before,
// and against work that runs and loses that memory.
func TestReservedMemoryIsKeptByOneLastCall(t *testing.T) {
	b, recorder := newLargePromptBed(t, 2)
	b.placeIn("y", "z")
	var longest atomic.Int64
	b.forwarder.Reservations = holdRecorder{recorder, &longest}
	for _, s := range b.servers {
		s.EventInterval = 800 * time.Millisecond
	}
	answered := make(chan callerResponse, 1)
	go func() {
		r := b.request(http.MethodPost, "/patient/stream/x", "prompt")
		r.Header.Set("Token-Counts", "110000,10")
		r.Header.Set("Deadline-Ms", "40000")
		answered <- b.send(r)
	}()
	require.Eventually(t, func() bool { return len(b.runs()) == 1 }, 5*time.Second, time.Millisecond)
	helper := "z"
	if len(b.servers[1].Runs()) == 1 {
		helper = "y"
	}
	calls := func() int {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return recorder.reserves
	}
	before := calls()
	b.forwarder.Fleet.SetEvacuated([]string{helper})
	require.Equal(t, http.StatusOK, (<-answered).status)
	require.Equal(t, before+1, calls())
	require.Greater(t, time.Duration(longest.Load()), 30*time.Second, "until the deadline")
	require.Equal(t, 1, recorder.remaining(), "nothing is sent there afterwards")
}

// holdRecorder records the longest time for which memory was reserved.
type holdRecorder struct {
	*reservationRecorder
	longest *atomic.Int64
}

func (r holdRecorder) Reserve(ctx context.Context, address, id string, tokens int64, hold time.Duration) error {
	r.longest.Store(max(r.longest.Load(), int64(hold)))
	return r.reservationRecorder.Reserve(ctx, address, id, tokens, hold)
}

// Guards against health checks and new connections to an evacuated data centre, and against an endpoint
// that was down when the evacuation began and gets no work after it.
func TestEvacuatedEndpointIsNotChecked(t *testing.T) {
	b := newTestBed(t, 2)
	b.placeIn("y", "z")
	require.Eventually(t, func() bool {
		b.get("/again/x")
		return len(b.servers[1].Runs()) > 0
	}, 5*time.Second, time.Millisecond)
	// The endpoint refuses connections and is taken out of rotation.
	address := b.httpServers[1].Listener.Addr().String()
	b.httpServers[1].CloseClientConnections()
	b.httpServers[1].Close()
	var contacts atomic.Int64
	down := func() bool {
		b.get("/again/x")
		return contacts.Load() == 0 && b.forwarder.Dispatcher.Scheduler.Explain(time.Now(), marigoldcroft.Work{
			ID: marigoldcroft.NewStreamID("probe", 1), Model: "s", PromptTokens: 1, Exclude: []string{b.servers[0].ID}, Deadline: time.Now().Add(time.Second),
		}).Reason == marigoldcroft.ReasonNoEndpoint
	}
	require.Eventually(t, down, 5*time.Second, time.Millisecond)
	b.forwarder.Fleet.SetEvacuated([]string{"z"})
	// Connections that were about to be opened, to see whether the endpoint has crashed, are refused by then.
	time.Sleep(500 * time.Millisecond)
	back := &httptest.Server{Listener: listen(t, address), Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		contacts.Add(1)
		b.servers[1].ServeHTTP(w, r)
	})}}
	back.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			contacts.Add(1)
		}
	}
	back.Start()
	t.Cleanup(back.Close)
	time.Sleep(2500 * time.Millisecond)
	require.Zero(t, contacts.Load())
	b.forwarder.ConfirmReturned(marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: b.servers[1].ID, Address: address, DataCentre: "z", Pool: "s"}), 1)
	time.Sleep(100 * time.Millisecond)
	require.Zero(t, contacts.Load(), "the record of the endpoint has returned")
	before := len(b.servers[1].Runs())
	b.forwarder.Fleet.SetEvacuated(nil)
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, b.get("/again/x").status)
		return len(b.servers[1].Runs()) > before
	}, 10*time.Second, 5*time.Millisecond)
}

// Guards against connections to an evacuated data centre that stay open after the evacuation.
func TestIdleConnectionsAreClosed(t *testing.T) {
	b := newTestBed(t, 1)
	closed := make(chan struct{}, 16)
	server := httptest.NewUnstartedServer(b.servers[0])
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	b.httpServers[0] = server
	b.placeIn("z")
	require.Equal(t, http.StatusOK, b.get("/again/x").status)
	b.forwarder.Fleet.SetEvacuated([]string{"z"})
	b.forwarder.CloseUnused(time.Now())
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "the connection stays open")
	}
}
