package mcgateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcjob"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcstore"
)

var requestID = regexp.MustCompile(`"requestId":"[^"]*"`)

// A caller must be able to tell from the error what is wrong with its request: which field
// or header, and which limit. As malformed input is refused before any work is sent, each
// error must say notRun. The golden file holds the status and body of each case.
func TestMalformedInput(t *testing.T) {
	g := newTestGateway(map[string][]string{"a": {"x"}})
	const post, chat, jobs = http.MethodPost, "/v1/chat/completions", "/v1/jobs"
	var got strings.Builder
	for _, c := range []struct {
		name, method, path, body string
		header                   []string
	}{
		{"no key", post, chat, body("caption", ""), []string{"Authorization", ""}},
		{"wrong key", post, chat, body("caption", ""), []string{"Authorization", "Bearer wrong"}},
		{"unknown template", post, chat, body("nothing", ""), nil},
		{"unknown template in header", post, chat, body("caption", ""), []string{"X-Template", "nothing"}},
		{"template of a service", post, chat, body("orders", ""), nil},
		{"not JSON", post, chat, `{"model":`, nil},
		{"wrong type", post, chat, `{"messages":"hello"}`, nil},
		{"no messages", post, chat, `{"model":"caption"}`, nil},
		{"too much output", post, chat, body("caption", `,"max_tokens":101`), nil},
		{"negative output", post, chat, body("caption", `,"max_tokens":-1`), nil},
		{"too many tokens", post, chat, strings.Replace(body("caption", ""), "hello", strings.Repeat("a", 250_000), 1), nil},
		{"huge body", post, chat, strings.Replace(body("caption", ""), "hello", strings.Repeat("a", 1<<20), 1), nil},
		{"malformed deadline", post, chat, body("caption", ""), []string{"X-Deadline-Ms", "soon"}},
		{"long key", post, chat, body("caption", ""), []string{"Idempotency-Key", strings.Repeat("k", 257)}},
		{"no jobs here", post, jobs, body("caption", ""), nil},
		{"no job here", http.MethodGet, jobs + "/j1", "", nil},
	} {
		w := g.request(t.Context(), c.method, c.path, c.body, c.header...)
		require.Equal(t, 4, w.Code/100, c.name)
		require.True(t, decodeProblem(t, w.Body.String()).NotRun, c.name)
		fmt.Fprintf(&got, "%s: %d %s", c.name, w.Code, requestID.ReplaceAllString(w.Body.String(), `"requestId":""`))
	}
	require.Empty(t, g.engine.calls)
	goldie.New(t).Assert(t, "malformed", []byte(got.String()))
}

// A caller that does not finish sending its body must get an error after BodyReadTimeout;
// else it could hold connections and memory for as long as it likes.
func TestSlowBodyTimesOut(t *testing.T) {
	g := newTestGateway(map[string][]string{"a": {"x"}})
	server := httptest.NewServer(g.Handler())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", callerKey)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.Contains(t, string(text), "body: not received within 200ms")
	require.Empty(t, g.engine.calls)
}

// FuzzChat looks for request bodies that make the gateway panic, and for refused requests
// that reached an engine or do not say notRun.
func FuzzChat(f *testing.F) {
	f.Add(body("caption", `,"stream":true,"seed":1,"temperature":0`))
	f.Add(`{"messages":[{"role":"user","content":"\ud800"}],"max_tokens":1e3}`)
	f.Add(`[{"messages":null}]`)
	f.Fuzz(func(t *testing.T, text string) {
		g := newTestGateway(map[string][]string{"a": {"x"}})
		w := g.chat(t.Context(), text)
		if w.Code != http.StatusOK {
			require.True(t, decodeProblem(t, w.Body.String()).NotRun)
			require.Empty(t, g.engine.calls)
		}
		g.Wait()
	})
}

// TestTeamLimits allows the team one request at once. A second one must be refused while
// the first runs, and a later one must be served, which fails if the limit is not
// released. 50 requests that the scheduler refuses must not be charged to the team's
// tokens, as they did not run.
func TestTeamLimits(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"~ x", "x"}}))
		g.TeamLimits = &mclimit.Limiter{DataCentreFraction: func(string) float64 { return 0.01 }}
		first := make(chan int, 1)
		go func() { first <- g.chat(t.Context(), body("caption", "")).Code }()
		synctest.Wait()
		w := g.chat(t.Context(), body("caption", ""))
		require.Equal(t, http.StatusTooManyRequests, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		require.Equal(t, mcgateway.CodeTeamLimit, decodeProblem(t, w.Body.String()).Code)
		require.True(t, decodeProblem(t, w.Body.String()).NotRun)
		require.Equal(t, http.StatusOK, <-first)
		g.scheduler.refusals = 50
		for range 50 {
			require.Equal(t, http.StatusServiceUnavailable, g.chat(t.Context(), body("caption", "")).Code)
		}
		require.Equal(t, http.StatusOK, g.chat(t.Context(), body("caption", "")).Code)
	})
}

// fakeJobs is a job store in which Submit returns err and the job ID selects the result of
// Job.
type fakeJobs struct {
	submission marigoldcroft.JobSubmission
	err        error
}

func (j *fakeJobs) Submit(_ context.Context, s marigoldcroft.JobSubmission) (marigoldcroft.JobStatus, error) {
	j.submission = s
	return marigoldcroft.JobStatus{ID: "j1", Team: s.Team, State: marigoldcroft.JobAccepted}, j.err
}

func (*fakeJobs) Cancel(context.Context, string) error { return nil }

func (*fakeJobs) Job(_ context.Context, id string) (marigoldcroft.JobStatus, error) {
	switch id {
	case "j1":
		return marigoldcroft.JobStatus{ID: id, Team: "studio"}, nil
	case "j2":
		return marigoldcroft.JobStatus{ID: id, Team: "other"}, nil
	case "j3":
		return marigoldcroft.JobStatus{}, errors.New("store is down")
	}
	return marigoldcroft.JobStatus{}, marigoldcroft.NewFailure("get", mcstore.KindNotFound, nil)
}

// TestJobHandlers checks that a caller cannot see the jobs of other teams. If recording a
// job fails, notRun must be true only if the job was certainly not recorded; otherwise a
// caller that submits it again could run it twice.
func TestJobHandlers(t *testing.T) {
	g := newTestGateway(nil)
	store := &fakeJobs{}
	g.Jobs, g.JobStatus = store, store
	w := g.request(t.Context(), http.MethodPost, "/v1/jobs", body("caption", ""), "Idempotency-Key", "k")
	require.Equal(t, http.StatusAccepted, w.Code)
	require.Equal(t, "/v1/jobs/j1", w.Header().Get("Location"))
	require.Equal(t, []any{"studio", "caption", "k", uint64(3)}, []any{store.submission.Team, store.submission.Template, store.submission.Key, store.submission.TemplateRevision})
	for id, code := range map[string]int{"j1": 200, "j2": 404, "j3": 503, "j4": 404} {
		require.Equal(t, code, g.request(t.Context(), http.MethodGet, "/v1/jobs/"+id, "").Code, id)
	}
	submitFailure := func(kind mcjob.Kind, cause mcstore.Kind) error {
		return marigoldcroft.NewFailure("submit", kind, marigoldcroft.NewFailure("put", cause, nil))
	}
	for _, c := range []struct {
		err    error
		code   int
		notRun bool
	}{
		{submitFailure(mcjob.KindRefused, mcstore.KindRateLimited), 503, true},
		{submitFailure(mcjob.KindRefused, mcstore.KindUnavailable), 503, true},
		{submitFailure(mcjob.KindUnknown, mcstore.KindOutcomeUnknown), 503, false},
		{submitFailure(mcjob.KindInvalid, mcstore.KindTooLarge), 413, true},
		{submitFailure(mcjob.KindInvalid, mcstore.KindUnavailable), 400, true},
		{marigoldcroft.NewFailure("submit", mcjob.KindKeyReused, nil), 422, true},
		{errors.New("lost"), 503, false},
	} {
		store.err = c.err
		w := g.request(t.Context(), http.MethodPost, "/v1/jobs", body("caption", ""))
		require.Equal(t, c.code, w.Code, c.err)
		require.Equal(t, c.notRun, decodeProblem(t, w.Body.String()).NotRun, c.err)
	}
}

// An accepted job must not fail because the scheduler refuses it for a while: it is tried
// again, until its deadline and no longer.
func TestRunJob(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x y"}}))
		status := marigoldcroft.JobStatus{ID: "j1", Team: "studio", Template: "caption", Deadline: time.Now().Add(10 * time.Second)}
		canonical, err := json.Marshal(json.RawMessage(body("caption", "")))
		require.NoError(t, err)
		g.scheduler.refusals = 3
		answer, err := g.RunJob(t.Context(), status, canonical)
		require.NoError(t, err)
		require.Equal(t, "xy", answer)
		g.scheduler.refusals = 1 << 20
		_, err = g.RunJob(t.Context(), status, canonical)
		var problem *mcgateway.Problem
		require.ErrorAs(t, err, &problem)
		require.True(t, problem.NotRun)
		require.False(t, time.Now().After(status.Deadline.Add(time.Second)))
	})
}

// Neither the caller's key nor its hash may appear in the log, and no response may contain
// the key, whether the request succeeds, is malformed, is not authorized or fails at the
// engine.
func TestKeyIsNeverLogged(t *testing.T) {
	g := newTestGateway(map[string][]string{"a": {"x", "!!refused"}})
	for _, c := range [][]string{
		{body("caption", "")},
		{body("caption", "")},
		{"{"},
		{body("nothing", "")},
		{body("caption", ""), "Authorization", "Bearer other-" + callerKey},
		{body("caption", ""), "Authorization", callerKey},
	} {
		w := g.chat(t.Context(), c[0], c[1:]...)
		require.NotContains(t, w.Body.String(), callerKey)
	}
	g.Wait()
	require.Contains(t, g.log.String(), "requestEnded")
	require.NotContains(t, g.log.String(), callerKey)
	require.NotContains(t, g.log.String(), mcgateway.KeyHash(callerKey))
}

// In the first second after a start, an instance does not know how much memory the engines
// have, and assumes a size. A job that is larger than that must wait for their reports instead
// of failing for good as too large; it may have been accepted and taken over from another
// instance. Once the memory is known, a refusal as too large is final.
func TestLargeJobWaitsForTheEnginesReports(t *testing.T) {
	for _, c := range []struct {
		name  string
		known int64
		code  mcgateway.Code
	}{
		{"not reported", 0, ""},
		{"reported", 1 << 20, mcgateway.CodeTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := run(newTestGateway(map[string][]string{"a": {"x y"}}))
				g.LargestEngineTokens = func(string) int64 { return c.known }
				g.scheduler.refusals, g.scheduler.refusalReason = 2, marigoldcroft.ReasonTooLarge
				status := marigoldcroft.JobStatus{ID: "j1", Team: "studio", Template: "caption", Deadline: time.Now().Add(time.Minute)}
				answer, err := g.RunJob(t.Context(), status, []byte(body("caption", "")))
				if c.code == "" {
					require.NoError(t, err)
					require.Equal(t, "xy", answer)
					return
				}
				var problem *mcgateway.Problem
				require.ErrorAs(t, err, &problem)
				require.Equal(t, c.code, problem.Code)
			})
		})
	}
}
