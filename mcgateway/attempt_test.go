package mcgateway_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
)

const deterministic = `,"seed":1,"temperature":0`

// decodeProblem returns the problem of a response, which is the body or the error event
// of a stream.
func decodeProblem(t *testing.T, text string) mcgateway.Problem {
	t.Helper()
	var event struct{ Error *mcgateway.Problem }
	problem := mcgateway.Problem{}
	if _, data, ok := strings.Cut(text, "event: error\ndata: "); ok {
		event.Error = &problem
		require.NoError(t, json.Unmarshal([]byte(strings.TrimSpace(data)), &event))
		require.NotContains(t, text, "[DONE]")
		return problem
	}
	require.NoError(t, json.Unmarshal([]byte(text), &problem))
	return problem
}

// Guards, for each way in which an attempt can end, against a wrong or truncated answer,
// a second run of work that may run only once, memory that stays reserved, and a false
// notRun.
func TestAttempts(t *testing.T) {
	type script = map[string][]string
	for name, c := range map[string]struct {
		script script
		body   string
		// text is the complete answer, or the part before the error with the code.
		text   string
		code   mcgateway.Code
		notRun bool
		calls  string
	}{
		"complete answer":                  {script{"a": {"x y z"}}, body("caption", ""), "xyz", "", false, "generate a"},
		"dies before first token":          {script{"a": {"!stream_broken", "!!stream_not_found"}, "b": {"x y"}}, body("caption", ""), "xy", "", false, "generate a resume0 a generate b"},
		"answer of another stream":         {script{"a": {"x !answer_of_another_stream"}, "b": {"x y"}}, body("caption", deterministic), "xy", "", false, "generate a generate b"},
		"answer of another stream at once": {script{"a": {"!answer_of_another_stream"}, "b": {"x y"}}, body("caption", ""), "xy", "", false, "generate a generate b"},
		"truncated, resumed":               {script{"a": {"x ~ !stream_broken", "y z"}}, body("caption", ""), "xyz", "", false, "generate a resume1 a"},
		"every resume breaks":              {script{"a": {"!stream_broken"}, "b": {"x y"}}, body("caption", ""), "xy", "", false, "generate a resume0 a resume0 a resume0 a generate b"},
		"truncated, not resumable":         {script{"a": {"x ~ !stream_broken", "!!stream_not_found"}, "b": {"x y"}}, body("caption", ""), "x", mcgateway.CodeUpstreamFailed, false, "generate a resume1 a"},
		"seed without temperature 0":       {script{"a": {"x ~ !stream_broken", "!!stream_not_found"}, "b": {"x y"}}, body("caption", `,"seed":1,"temperature":0.5`), "x", mcgateway.CodeUpstreamFailed, false, "generate a resume1 a"},
		"deterministic restart":            {script{"a": {"x y ~ !stream_broken", "!!stream_not_found"}, "b": {"xy z"}}, body("caption", deterministic), "xyz", "", false, "generate a resume2 a generate b"},
		"restart diverges":                 {script{"a": {"x y ~ !stream_broken", "!!stream_not_found"}, "b": {"x q z"}}, body("caption", deterministic), "xy", mcgateway.CodeUpstreamFailed, false, "generate a resume2 a generate b"},
		"restart ends early":               {script{"a": {"x y ~ !stream_broken", "!!stream_not_found"}, "b": {"x"}}, body("caption", deterministic), "xy", mcgateway.CodeUpstreamFailed, false, "generate a resume2 a generate b"},
		"at most once runs once":           {script{"a": {"!stream_broken", "!!stream_not_found"}, "b": {"x"}}, body("print", ""), "", mcgateway.CodeUpstreamFailed, false, "generate a resume0 a"},
		"at most once, not sent":           {script{"a": {"!!unreachable"}, "b": {"x"}}, body("print", ""), "x", "", false, "generate a generate b"},
		"at most once, refused":            {script{"a": {"!!refused"}, "b": {"x"}}, body("print", ""), "x", "", false, "generate a generate b"},
		"no endpoint reachable":            {script{"a": {"!!unreachable"}, "b": {"!!unreachable"}}, body("caption", ""), "", mcgateway.CodeOverloaded, true, "generate a generate b"},
		"refused after it may have run": {
			script{"a": {"!stream_broken", "!!stream_not_found"}, "b": {"!!unreachable"}},
			body("caption", ""),
			"", mcgateway.CodeOverloaded, false, "generate a resume0 a generate b",
		},
		"engine rejects the request": {script{"a": {"!!invalid_request"}}, body("caption", ""), "", mcgateway.CodeBadRequest, true, "generate a"},
		"engine hangs":               {script{"a": {"..."}}, body("caption", ""), "", mcgateway.CodeDeadline, false, "generate a"},
		"engine hangs mid-stream":    {script{"a": {"x ..."}}, body("caption", ""), "x", mcgateway.CodeDeadline, false, "generate a"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				b := run(newTestGateway(c.script))
				begun := time.Now()
				w := b.chat(t.Context(), strings.Replace(c.body, "{", `{"stream":true,`, 1))
				require.LessOrEqual(t, time.Since(begun), time.Minute)
				b.Wait()
				require.Equal(t, c.text, text(w), w.Body)
				require.Equal(t, c.calls, strings.Join(b.engine.calls, " "))
				require.Empty(t, b.scheduler.held)
				require.Empty(t, b.Quarantine.Entries(time.Now()), "no endpoint died")
				if c.code == "" {
					require.Contains(t, w.Body.String(), "data: [DONE]")
					return
				}
				problem := decodeProblem(t, w.Body.String())
				require.Equal(t, c.code, problem.Code)
				require.Equal(t, c.notRun, problem.NotRun)
			})
		})
	}
}

// Guards against an answer that fails, or contains a part twice, if its engine died
// before the caller received anything.
func TestUndeliveredAnswerRestarts(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		b := run(newTestGateway(map[string][]string{"a": {"x ~ y !stream_broken", "!!stream_not_found"}, "b": {"q z"}}))
		require.Equal(t, "qz", text(b.chat(t.Context(), body("caption", ""))))
	})
}

// Guards against retries that multiply the load of failing engines: of many failing
// requests, only the minimum of the retry budget is tried again.
func TestRetriesStayInBudget(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		b := run(newTestGateway(map[string][]string{"a": {"!!refused"}, "b": {"!!refused"}}))
		for range 50 {
			b.chat(t.Context(), body("caption", ""))
		}
		require.LessOrEqual(t, len(b.engine.calls), 50+5)
	})
}

// Guards against a slower attempt that keeps running after a hedge, a late first token
// without a hedge, and a hedge of work that may run only once.
func TestHedge(t *testing.T) {
	for template, c := range map[string]struct {
		script map[string][]string
		calls  string
		took   time.Duration
	}{
		"caption": {map[string][]string{"a": {"..."}, "b": {"x ~ y"}}, "generate a generate b", 1300 * time.Millisecond},
		"print":   {map[string][]string{"a": {"~ x y"}, "b": {"x"}}, "generate a", time.Second},
	} {
		bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
			b := newTestGateway(c.script)
			b.scheduler.predicted = 100 * time.Millisecond
			begun := time.Now()
			var slower int
			time.AfterFunc(800*time.Millisecond, func() {
				b.engine.mu.Lock()
				defer b.engine.mu.Unlock()
				slower = b.engine.closedStreams
			})
			require.Equal(t, "xy", text(run(b).chat(t.Context(), body(template, ""))))
			require.Equal(t, c.took, time.Since(begun))
			b.Wait()
			require.Equal(t, c.calls, strings.Join(b.engine.calls, " "))
			require.Equal(t, strings.Count(c.calls, "b"), slower, "the slower attempt is still running")
			require.Empty(t, b.scheduler.held)
		})
	}
}

// Guards against work that is lost when the scheduler recalls it before its first token,
// and against a notRun after a recall.
func TestRecalledWorkRunsAgain(t *testing.T) {
	for again, code := range map[marigoldcroft.Action]mcgateway.Code{
		marigoldcroft.ActionDispatch: "", marigoldcroft.ActionExpire: mcgateway.CodeDeadline,
	} {
		bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
			b := run(newTestGateway(map[string][]string{"a": {"...", "x y"}}))
			go func() {
				time.Sleep(time.Second)
				b.scheduler.decide(marigoldcroft.ActionRecall, "")
				time.Sleep(time.Second)
				b.scheduler.decide(again, "a")
			}()
			w := b.chat(t.Context(), body("caption", ""))
			if code == "" {
				require.Equal(t, "xy", text(w))
				return
			}
			problem := decodeProblem(t, w.Body.String())
			require.Equal(t, code, problem.Code)
			require.False(t, problem.NotRun)
		})
	}
}

// Guards against a request that outlives its deadline or its caller because a dependency
// does not answer, and against resources that it then still holds.
func TestEveryWaitIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		prepare       func(t *testing.T, b *testGateway)
		callerTimeout time.Duration
		notRun        bool
	}{
		"scheduler hangs":  {func(_ *testing.T, b *testGateway) { b.scheduler.hang = make(chan struct{}) }, time.Hour, true},
		"never dispatched": {func(_ *testing.T, b *testGateway) { b.scheduler.queue = true }, time.Hour, true},
		"home hangs": {func(t *testing.T, b *testGateway) {
			b.JoinInstance = joinInstanceAt(t, peerServer{join: acceptThenHang})
		}, time.Hour, false},
		"caller leaves queue":  {func(_ *testing.T, b *testGateway) { b.scheduler.queue = true }, time.Second, true},
		"caller leaves engine": {func(*testing.T, *testGateway) {}, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				b := run(newTestGateway(map[string][]string{"a": {"..."}}))
				c.prepare(t, b)
				ctx, cancel := context.WithTimeout(t.Context(), c.callerTimeout)
				defer cancel()
				begun := time.Now()
				problem := decodeProblem(t, b.chat(ctx, body("caption", ""), "X-Deadline-Ms", "5000", "Idempotency-Key", "k").Body.String())
				require.Equal(t, min(c.callerTimeout, 5*time.Second), time.Since(begun))
				require.Equal(t, c.notRun, problem.NotRun)
				if b.scheduler.hang != nil {
					close(b.scheduler.hang)
				}
				synctest.Wait()
				require.Empty(t, b.scheduler.held)
				require.Equal(t, b.engine.closedStreams, len(b.engine.calls))
				if c.notRun {
					require.Empty(t, b.engine.calls)
				}
			})
		})
	}
}

// stalledWriter is a connection whose caller does not read: a write blocks until the
// write deadline.
type stalledWriter struct {
	*httptest.ResponseRecorder

	deadline time.Time
}

func (w *stalledWriter) SetWriteDeadline(t time.Time) error { w.deadline = t; return nil }

func (w *stalledWriter) Write([]byte) (int, error) {
	time.Sleep(time.Until(w.deadline))
	return 0, os.ErrDeadlineExceeded
}

// Guards against a caller that does not read and thereby holds a request without limit.
func TestStalledCaller(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		b := run(newTestGateway(map[string][]string{"a": {"x y"}}))
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body("caption", `,"stream":true`)))
		r.Header.Set("Authorization", "Bearer "+callerKey)
		begun := time.Now()
		b.Handler().ServeHTTP(&stalledWriter{ResponseRecorder: httptest.NewRecorder()}, r)
		require.Equal(t, 61*time.Second, time.Since(begun), "deadline and write grace")
		b.Wait()
		require.Empty(t, b.scheduler.held)
	})
}
