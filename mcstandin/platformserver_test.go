package mcstandin_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// Guards against a data race between SetFaults and running streams, which read the faults. The
// race detector reports it.
func TestSetFaultsDuringStream(t *testing.T) {
	s := &mcstandin.PlatformServer{ID: "i-1", Events: 20, EventInterval: time.Millisecond}
	server := httptest.NewServer(s)
	defer server.Close()
	answered := make(chan error, 1)
	go func() {
		answer, err := http.Get(server.URL + "/stream/a")
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
		answered <- err
	}()
	for {
		s.SetFaults(mcstandin.PlatformServerFaults{BreakAfterEvent: 30, BrokenStreams: 1})
		select {
		case err := <-answered:
			require.NoError(t, err)
			return
		default:
		}
	}
}

// Guards against a deadly prompt part that does not crash the server, or that crashes it as the
// last part: the stream on the part and the one beside it break, connections are refused until
// the server is back under a new ID, and it then crashes again.
func TestDeadlyPartCrashesTheServer(t *testing.T) {
	const part = "0badc0de"
	var crashes atomic.Int32
	address, err := mcstandin.FreeAddress()
	require.NoError(t, err)
	start := func(id string) *httptest.Server {
		listener, err := net.Listen("tcp", address)
		require.NoError(t, err)
		s := &mcstandin.PlatformServer{ID: id, Events: 1000, EventInterval: time.Millisecond, CrashOnPart: part, CrashAfterEvents: 2, CrashAfterBytes: 10}
		server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: s}}
		s.Crash = func() {
			crashes.Add(1)
			_ = listener.Close()
			go server.CloseClientConnections()
		}
		server.Start()
		return server
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	begin := func(id string, parts ...string) (*http.Response, error) {
		call := mcstandin.PlatformCall{ID: id, Path: "/stream/" + id, TimeLimit: time.Minute, PromptTokens: 300, OutputTokens: 10, Parts: parts}
		r, err := call.Request(t.Context(), address)
		require.NoError(t, err)
		return client.Do(r)
	}
	for n, id := range []string{"i-1", "i-2"} {
		server := start(id)
		beside, err := begin("beside", "5c1e07a2")
		require.NoError(t, err)
		require.Equal(t, id, beside.Header.Get("Instance-Id"))
		deadly, err := begin("deadly", "5c1e07a2", part)
		require.NoError(t, err)
		body, err := io.ReadAll(deadly.Body)
		require.Error(t, err)
		require.Equal(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata", string(body))
		_, err = io.ReadAll(beside.Body)
		require.Error(t, err)
		require.EqualValues(t, n+1, crashes.Load())
		_, err = begin("refused")
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		server.Close()
	}
	last := start("i-3")
	defer last.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, last.URL+"/read", nil)
	require.NoError(t, err)
	r.Header.Set("Prefix-Hash", "5c1e07a2:200,"+part+":100")
	answer, err := client.Do(r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.NoError(t, answer.Body.Close())
	require.EqualValues(t, 2, crashes.Load())
}
