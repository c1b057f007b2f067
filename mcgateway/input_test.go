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

// Guards against malformed input reported as possibly run, and against errors that do not
// name the field and the limit. The golden file holds status and body of each case.
func TestMalformedInput(t *testing.T) {
	b := newTestGateway(map[string][]string{"a": {"x"}})
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
		w := b.request(t.Context(), c.method, c.path, c.body, c.header...)
		require.Equal(t, 4, w.Code/100, c.name)
		require.True(t, decodeProblem(t, w.Body.String()).NotRun, c.name)
		fmt.Fprintf(&got, "%s: %d %s", c.name, w.Code, requestID.ReplaceAllString(w.Body.String(), `"requestId":""`))
	}
	require.Empty(t, b.engine.calls)
	goldie.New(t).Assert(t, "malformed", []byte(got.String()))
}

// Guards against a caller that holds a connection by sending its body slowly.
func TestSlowBodyTimesOut(t *testing.T) {
	b := newTestGateway(map[string][]string{"a": {"x"}})
	server := httptest.NewServer(b.Handler())
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
	require.Empty(t, b.engine.calls)
}

// Guards against input that ends the process, and against refused input that reaches an
// engine.
func FuzzChat(f *testing.F) {
	f.Add(body("caption", `,"stream":true,"seed":1,"temperature":0`))
	f.Add(`{"messages":[{"role":"user","content":"\ud800"}],"max_tokens":1e3}`)
	f.Add(`[{"messages":null}]`)
	f.Fuzz(func(t *testing.T, text string) {
		b := newTestGateway(map[string][]string{"a": {"x"}})
		w := b.chat(t.Context(), text)
		if w.Code != http.StatusOK {
			require.True(t, decodeProblem(t, w.Body.String()).NotRun)
			require.Empty(t, b.engine.calls)
		}
		b.Wait()
	})
}

// Guards against team limits that are not applied or not released, and against charges
// for work that did not run: with one request allowed at once, the second is refused
// until the first has ended, and refused requests use no tokens.
func TestTeamLimits(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		b := run(newTestGateway(map[string][]string{"a": {"~ x", "x"}}))
		b.TeamLimits = &mclimit.Limiter{DataCentreFraction: func(string) float64 { return 0.01 }}
		first := make(chan int, 1)
		go func() { first <- b.chat(t.Context(), body("caption", "")).Code }()
		synctest.Wait()
		w := b.chat(t.Context(), body("caption", ""))
		require.Equal(t, http.StatusTooManyRequests, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		require.Equal(t, mcgateway.CodeTeamLimit, decodeProblem(t, w.Body.String()).Code)
		require.True(t, decodeProblem(t, w.Body.String()).NotRun)
		require.Equal(t, http.StatusOK, <-first)
		b.scheduler.refusals = 50
		for range 50 {
			require.Equal(t, http.StatusServiceUnavailable, b.chat(t.Context(), body("caption", "")).Code)
		}
		require.Equal(t, http.StatusOK, b.chat(t.Context(), body("caption", "")).Code)
	})
}

// jobs is a job store in which Submit returns err and the job ID selects the result of
// Job.
type jobs struct {
	submission marigoldcroft.JobSubmission
	err        error
}

func (j *jobs) Submit(_ context.Context, s marigoldcroft.JobSubmission) (marigoldcroft.JobStatus, error) {
	j.submission = s
	return marigoldcroft.JobStatus{ID: "j1", Team: s.Team, State: marigoldcroft.JobAccepted}, j.err
}

func (*jobs) Cancel(context.Context, string) error { return nil }

func (*jobs) Job(_ context.Context, id string) (marigoldcroft.JobStatus, error) {
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

// Guards against a caller that sees a job of another team, and against notRun for a job
// that may have been recorded.
func TestJobHandlers(t *testing.T) {
	b := newTestGateway(nil)
	store := &jobs{}
	b.Jobs, b.JobStatus = store, store
	w := b.request(t.Context(), http.MethodPost, "/v1/jobs", body("caption", ""), "Idempotency-Key", "k")
	require.Equal(t, http.StatusAccepted, w.Code)
	require.Equal(t, "/v1/jobs/j1", w.Header().Get("Location"))
	require.Equal(t, []any{"studio", "caption", "k", uint64(3)}, []any{store.submission.Team, store.submission.Template, store.submission.Key, store.submission.TemplateRevision})
	for id, code := range map[string]int{"j1": 200, "j2": 404, "j3": 503, "j4": 404} {
		require.Equal(t, code, b.request(t.Context(), http.MethodGet, "/v1/jobs/"+id, "").Code, id)
	}
	stored := func(kind mcjob.Kind, cause mcstore.Kind) error {
		return marigoldcroft.NewFailure("submit", kind, marigoldcroft.NewFailure("put", cause, nil))
	}
	for _, c := range []struct {
		err    error
		code   int
		notRun bool
	}{
		{stored(mcjob.KindRefused, mcstore.KindRateLimited), 503, true},
		{stored(mcjob.KindRefused, mcstore.KindUnavailable), 503, true},
		{stored(mcjob.KindUnknown, mcstore.KindOutcomeUnknown), 503, false},
		{stored(mcjob.KindInvalid, mcstore.KindTooLarge), 413, true},
		{stored(mcjob.KindInvalid, mcstore.KindUnavailable), 400, true},
		{marigoldcroft.NewFailure("submit", mcjob.KindKeyReused, nil), 422, true},
		{errors.New("lost"), 503, false},
	} {
		store.err = c.err
		w := b.request(t.Context(), http.MethodPost, "/v1/jobs", body("caption", ""))
		require.Equal(t, c.code, w.Code, c.err)
		require.Equal(t, c.notRun, decodeProblem(t, w.Body.String()).NotRun, c.err)
	}
}

// Guards against a job that fails because the scheduler refused it for a while, and
// against one that outlives its deadline.
func TestRunJob(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		b := run(newTestGateway(map[string][]string{"a": {"x y"}}))
		status := marigoldcroft.JobStatus{ID: "j1", Team: "studio", Template: "caption", Deadline: time.Now().Add(10 * time.Second)}
		canonical, err := json.Marshal(json.RawMessage(body("caption", "")))
		require.NoError(t, err)
		b.scheduler.refusals = 3
		answer, err := b.RunJob(t.Context(), status, canonical)
		require.NoError(t, err)
		require.Equal(t, "xy", answer)
		b.scheduler.refusals = 1 << 20
		_, err = b.RunJob(t.Context(), status, canonical)
		var problem *mcgateway.Problem
		require.ErrorAs(t, err, &problem)
		require.True(t, problem.NotRun)
		require.False(t, time.Now().After(status.Deadline.Add(time.Second)))
	})
}

// Guards against a caller's key in the log, whatever the result of the request.
func TestKeyIsNeverLogged(t *testing.T) {
	b := newTestGateway(map[string][]string{"a": {"x", "!!refused"}})
	for _, c := range [][]string{
		{body("caption", "")},
		{body("caption", "")},
		{"{"},
		{body("nothing", "")},
		{body("caption", ""), "Authorization", "Bearer other-" + callerKey},
		{body("caption", ""), "Authorization", callerKey},
	} {
		w := b.chat(t.Context(), c[0], c[1:]...)
		require.NotContains(t, w.Body.String(), callerKey)
	}
	b.Wait()
	require.Contains(t, b.log.String(), "requestEnded")
	require.NotContains(t, b.log.String(), callerKey)
	require.NotContains(t, b.log.String(), mcgateway.KeyHash(callerKey))
}
