package mcsoak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// seed is the seed of the run in CI.
const seed = 20261204

// regressionSeeds are seeds that failed once. Each entry needs a comment with the cause.
var regressionSeeds = []uint64{}

func newSoak() *Soak {
	return &Soak{outcomes: make(map[string]*outcome), revoked: make(map[string]time.Time), began: time.Now(), Log: io.Discard}
}

// Guards against guarantees that real processes violate under faults, and against a soak that
// cannot run: it builds the executable and runs 6 s of faults with two instances.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "marigoldcroft")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/marigoldcroft").CombinedOutput()
	require.NoError(t, err, string(output))
	for _, seed := range append([]uint64{seed}, regressionSeeds...) {
		s := &Soak{
			Binary: binary, Folder: t.TempDir(), Seed: seed, Length: 6 * time.Second, Instances: 2, Callers: 8, Log: testLog{t},
		}
		report, err := s.Run(t.Context())
		require.NoError(t, err)
		require.Empty(t, report.Broken)
		require.Positive(t, report.Answered)
	}
}

type testLog struct{ t *testing.T }

func (l testLog) Write(line []byte) (int, error) {
	l.t.Log(strings.TrimSpace(string(line)))
	return len(line), nil
}

// stream returns the body of a streamed response with the events of the given IDs.
func stream(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

// Guards against a check of responses that never fails: each invalid response that a caller
// could see is reported once, under the right guarantee.
func TestInvalidResponsesAreReported(t *testing.T) {
	all := make([]int, streamEvents)
	for n := range all {
		all[n] = n + 1
	}
	streaming := func(answer string, whole bool) func(o *outcome) {
		return func(o *outcome) { o.kind, o.responseBody, o.complete = requestKinds[2], answer, whole }
	}
	for name, c := range map[string]struct {
		change  func(o *outcome)
		promise string
	}{
		"valid":               {func(*outcome) {}, ""},
		"valid stream":        {streaming(stream(all...), true), ""},
		"interrupted stream":  {streaming(stream(1, 2)+"id: 3\ndata: to", false), ""},
		"no receipt":          {func(o *outcome) { o.hasReceipt = false }, "whole answers"},
		"foreign":             {func(o *outcome) { o.responseBody = "answer to b" }, "whole answers"},
		"short stream":        {streaming(stream(1, 2, 3), true), "whole answers"},
		"missing event":       {streaming(stream(1, 3), false), "whole answers"},
		"duplicate event":     {streaming(stream(1, 2, 2), false), "whole answers"},
		"events run together": {streaming("id: 1\ndata: toid: 1\ndata: token 1\n\n", false), "whole answers"},
		"late":                {func(o *outcome) { o.endedAt = o.sentAt.Add(callerTimeLimit + time.Second) }, "time limit"},
		"unknown route":       {func(o *outcome) { o.status = http.StatusNotFound }, "configuration"},
		"unknown key":         {func(o *outcome) { o.status = http.StatusUnauthorized }, "configuration"},
	} {
		s := newSoak()
		o := &outcome{
			id: "a", kind: requestKinds[0], instance: &instance{name: "z-1"}, key: steadyKey, sentAt: time.Now(), endedAt: time.Now(),
			status: http.StatusOK, hasReceipt: true, complete: true, responseBody: "answer to a",
		}
		c.change(o)
		s.checkOutcome(o)
		requireViolation(t, s, name, c.promise)
	}
}

func requireViolation(t *testing.T, s *Soak, name, promise string) {
	t.Helper()
	if promise == "" {
		require.Empty(t, s.report.Broken, name)
		return
	}
	require.Len(t, s.report.Broken, 1, name)
	require.Contains(t, s.report.Broken[0], promise, name)
}

// Guards against a check of runs that never fails: each request that a server must not have run
// is reported once, under the right guarantee.
func TestInvalidRunsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(o *outcome, r *http.Request, b *backend)
		times   int
		promise string
	}{
		"valid":                         {func(*outcome, *http.Request, *backend) {}, 1, ""},
		"run twice":                     {func(*outcome, *http.Request, *backend) {}, 2, "at most once"},
		"refused":                       {func(o *outcome, _ *http.Request, _ *backend) { o.status = http.StatusServiceUnavailable }, 1, "not run"},
		"other body":                    {func(o *outcome, _ *http.Request, _ *backend) { o.body = "y" }, 1, "unchanged requests"},
		"other path":                    {func(o *outcome, _ *http.Request, _ *backend) { o.path = "/order/2" }, 1, "unchanged requests"},
		"key passed":                    {func(_ *outcome, r *http.Request, _ *backend) { r.Header.Set("Authorization", "Bearer k") }, 1, "keys"},
		"other team":                    {func(_ *outcome, r *http.Request, _ *backend) { r.Header.Set("Tenant", "b") }, 1, "keys"},
		"other route":                   {func(_ *outcome, _ *http.Request, b *backend) { b.service = "pool" }, 1, "routes"},
		"revoked key":                   {func(o *outcome, _ *http.Request, _ *backend) { o.key = "gone" }, 1, "keys"},
		"interrupted by a planned stop": {func(o *outcome, _ *http.Request, _ *backend) { o.complete = false }, 1, "planned stops"},
		"evacuated":                     {func(_ *outcome, _ *http.Request, b *backend) { b.dataCentre = "y" }, 1, "evacuated data centres"},
		"leaving":                       {func(_ *outcome, _ *http.Request, b *backend) { b.leavingAt = time.Now().Add(-2 * leavingLimit) }, 1, "leaving servers"},
	} {
		s := newSoak()
		s.revoked["gone"] = time.Now().Add(-2 * revokeLimit)
		b := &backend{id: "i-1", service: "plain", server: &mcstandin.PlatformServer{ID: "i-1"}}
		s.servers = append(s.servers, b)
		s.evacuations = []evacuation{{dataCentre: "y", interval: interval{from: time.Now().Add(-2 * evacuationLimit), to: time.Now().Add(time.Minute)}}}
		s.rollingRestart = interval{from: time.Now().Add(-time.Minute), to: time.Now().Add(time.Minute)}
		o := &outcome{
			id: "a", path: "/order/1", kind: requestKinds[1], instance: &instance{name: "z-1"}, key: steadyKey,
			sentAt: time.Now(), endedAt: time.Now(), status: http.StatusOK, complete: true,
		}
		s.outcomes["a"] = o
		r := httptest.NewRequest(http.MethodPost, o.path, nil)
		r.Header.Set("Request-Id", "a")
		r.Header.Set("Tenant", team)
		c.change(o, r, b)
		for range c.times {
			b.serve(httptest.NewRecorder(), r)
		}
		s.checkRuns()
		requireViolation(t, s, name, c.promise)
	}
}

// Guards against link faults without effect: each state of a proxy must make requests fail, a
// delay must slow both directions, and resetAll must reset open connections.
func TestLinks(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	p, err := newProxy(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer p.close()
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func() error {
		answer, err := client.Get("http://" + p.address)
		if err != nil {
			return err
		}
		return answer.Body.Close()
	}
	require.NoError(t, ask())
	for _, state := range []linkState{linkStalled, linkOneWay, linkRefusing} {
		p.setLink(state, 0)
		require.Error(t, ask(), state)
		p.setLink(linkUp, 0)
		require.NoError(t, ask(), state)
	}
	p.setLink(linkUp, 100*time.Millisecond)
	began := time.Now()
	require.NoError(t, ask())
	require.GreaterOrEqual(t, time.Since(began), 200*time.Millisecond)
	p.setLink(linkUp, 0)
	conn, err := net.Dial("tcp", p.address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, ask())
	// The proxy may accept the connection later than Dial returns.
	require.Eventually(t, func() bool { return p.isTracked(conn.LocalAddr()) }, 10*time.Second, time.Millisecond)
	p.resetAll()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// isTracked reports whether the proxy has registered the client's connection.
func (p *proxy) isTracked(client net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if conn.RemoteAddr().String() == client.String() {
			return true
		}
	}
	return false
}

// Guards against a check of cold servers that never fails.
func TestTooManyRequestsToColdServerAreReported(t *testing.T) {
	const allowed = coldOverage*coldPerSecond + coldSlack
	for name, c := range map[string]struct {
		change  func(b *backend)
		n       int
		promise string
	}{
		"valid":         {func(*backend) {}, allowed, ""},
		"too many":      {func(*backend) {}, allowed + 1, "cold servers"},
		"warm":          {func(b *backend) { b.isCold = false }, allowed + 1, ""},
		"started early": {func(b *backend) { b.started = b.started.Add(-coldTime) }, allowed + 1, ""},
		"other server":  {func(b *backend) { b.id = "i-2" }, allowed + 1, ""},
		"held back":     {func(b *backend) { b.link.setLink(linkStalled, 0) }, allowed + 1, ""},
	} {
		s := newSoak()
		b := &backend{id: "i-1", service: coldService, started: time.Now(), isCold: true, server: &mcstandin.PlatformServer{ID: "i-1"}, link: &proxy{changed: make(chan struct{})}}
		s.servers = append(s.servers, b)
		c.change(b)
		r := httptest.NewRequest(http.MethodPost, "/read/1", nil)
		r.Header.Set("Target-Instance", "i-1")
		for range c.n {
			b.serve(httptest.NewRecorder(), r)
		}
		s.checkCold(b)
		requireViolation(t, s, name, c.promise)
	}
}
