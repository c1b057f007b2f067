package mcforward_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcstandin"
)

// requireDeadRefused sends requests with the part "dead", otherwise unlike, until one of them is
// refused for it.
func requireDeadRefused(b *testBed, path string) {
	b.t.Helper()
	var last callerResponse
	require.Eventually(b.t, func() bool {
		r := b.request(http.MethodPost, path, "prompt")
		r.URL.Path += r.Header.Get("Request-Id")
		r.Header.Set("Prefix-Hash", "dead:410,"+r.Header.Get("Request-Id")+":250")
		last = b.send(r)
		return last.status == http.StatusServiceUnavailable
	}, 10*time.Second, 200*time.Millisecond)
	require.Contains(b.t, last.body, "part dead of the prompt")
}

// A process that crashes may break its connections some time before its port refuses new ones. A
// crash must be detected then as well, or the deadly part reaches one endpoint after another.
func TestDeadlyPartIsFoundIfPortClosesLate(t *testing.T) {
	b := newTestBed(t, 10)
	var crashed atomic.Int64
	for i := range b.servers {
		b.httpServers[i].Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			crashed.Add(1)
			time.AfterFunc(150*time.Millisecond, func() { _ = b.httpServers[i].Listener.Close() })
			panic(http.ErrAbortHandler)
		})
	}
	requireDeadRefused(b, "/solo/stream/")
	require.LessOrEqual(t, crashed.Load(), int64(5))
}

// An endpoint that crashes once it has sent the head of an answer without a length may close the
// connection in order. Its empty body must not count as proof that the part is harmless.
func TestDeadlyPartIsFoundByCleanEnd(t *testing.T) {
	b := newTestBed(t, 10)
	var crashed atomic.Int64
	for i := range b.servers {
		b.httpServers[i].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			crashed.Add(1)
			_ = b.httpServers[i].Listener.Close()
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nResponse-Seal: seal\r\n\r\n")
			_ = conn.Close()
		})
	}
	requireDeadRefused(b, "/again/")
	require.LessOrEqual(t, crashed.Load(), int64(5))
}

// A stream that breaks long after its first event must be resumed although one of its parts is
// suspected: a deadly part crashes endpoints when the answer begins.
func TestBrokenStreamWithSuspectedPartIsResumed(t *testing.T) {
	b := newTestBed(t, 2)
	for _, s := range b.servers {
		s.EventInterval = 350 * time.Millisecond
	}
	b.forwarder.Quarantine.Merge(time.Now(), []*mcmessage.QuarantineEntry{{
		Fingerprint: uint64(mcquarantine.PartFingerprint("s", "aa")), Crashes: 1, Version: 1, Part: true,
		ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
	}})
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Prefix-Hash", "aa:800,b1:250")
	r.Header.Set("Deadline-Ms", "3000")
	answer := make(chan callerResponse, 1)
	go func() { answer <- b.send(r) }()
	require.Eventually(t, func() bool { return len(b.runs()) == 1 }, 5*time.Second, time.Millisecond)
	for _, s := range b.servers {
		if len(s.Runs()) == 1 {
			s.SetFaults(mcstandin.PlatformServerFaults{BreakAfterEvent: 5, BrokenStreams: 1})
		}
	}
	got := <-answer
	require.Equal(t, http.StatusOK, got.status)
	require.False(t, got.broken, "%d runs", len(b.runs()))
}

// An endpoint that is back under its old name before the probe must count as crashed: its record
// has a higher incarnation than the one that was listed when the streams broke.
func TestQuickRestartUnderOldNameIsACrash(t *testing.T) {
	b := newTestBed(t, 1)
	id := marigoldcroft.NewStreamID("request", 1)
	dead := mcquarantine.PartFingerprint("s", "dead")
	b.forwarder.Quarantine.Begin(time.Now(), "i-0", id, 1, []mcquarantine.Fingerprint{dead})
	b.forwarder.Quarantine.StreamBroken(time.Now(), "i-0", id)
	b.forwarder.EndpointEnded("i-0", b.forwarder.Fleet.Incarnation("i-0")+1)
	require.NotEmpty(t, b.suspects)
}

// A request whose copies crash endpoints while it waits for one must not take down one more: it is
// refused as not run if it was quarantined, and served if it is a suspect.
func TestRequestSuspectedDuringTheWait(t *testing.T) {
	for crashes, status := range map[uint32]int{1: http.StatusOK, 2: http.StatusServiceUnavailable} {
		b := newTestBed(t, 1)
		b.servers[0].CallTime = 300 * time.Millisecond
		running := b.occupy("/once/x")
		waiting := b.sendInBackground("/again/suspect")
		require.Eventually(t, func() bool { return b.forwarder.Dispatcher.Scheduler.Queued() == 1 }, 5*time.Second, time.Millisecond)
		now := time.Now()
		b.forwarder.Quarantine.Merge(now, []*mcmessage.QuarantineEntry{{
			Fingerprint: uint64(mcquarantine.FingerprintOf("team", []byte("GET /again/suspect\n"))),
			Crashes:     crashes, Quarantined: crashes == 2, Version: 1, ExpiresUnixMs: now.Add(time.Minute).UnixMilli(),
		}})
		got := <-waiting
		require.Equal(t, status, got.status, got.body)
		if status != http.StatusOK {
			require.Contains(t, got.body, `"notRun":true`)
			require.Len(t, b.runs(), serverSlots)
		}
		for _, response := range running {
			require.Equal(t, http.StatusOK, (<-response).status)
		}
	}
}
