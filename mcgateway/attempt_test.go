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

// TestAttempts covers each way in which an attempt can end. The caller must get the
// complete answer or an error, which says notRun only if no engine may have begun the work.
// At-most-once work must not run twice, and the scheduler must hold nothing for the request
// afterwards.
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
		"at most once, failed":             {script{"a": {"!!failed"}, "b": {"x"}}, body("print", ""), "", mcgateway.CodeUpstreamFailed, false, "generate a"},
		"failed, repeatable":               {script{"a": {"!!failed"}, "b": {"x"}}, body("caption", ""), "x", "", false, "generate a generate b"},
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
				g := run(newTestGateway(c.script))
				begun := time.Now()
				w := g.chat(t.Context(), strings.Replace(c.body, "{", `{"stream":true,`, 1))
				require.LessOrEqual(t, time.Since(begun), time.Minute)
				g.Wait()
				require.Equal(t, c.text, text(w), w.Body)
				require.Equal(t, c.calls, strings.Join(g.engine.calls, " "))
				require.Empty(t, g.scheduler.held)
				require.Empty(t, g.Quarantine.Entries(time.Now()), "no endpoint died")
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

// An engine may die after a part of the answer was produced but before the caller received
// any of it. The answer must then start over at another engine, without the discarded
// part.
func TestUndeliveredAnswerRestarts(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x ~ y !stream_broken", "!!stream_not_found"}, "b": {"q z"}}))
		require.Equal(t, "qz", text(g.chat(t.Context(), body("caption", ""))))
	})
}

// If every failing request were retried, the retries would multiply the load of failing
// engines. Of 50 requests that all fail, only the 5 retries that the retry budget always
// allows may be made.
func TestRetriesStayInBudget(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"!!refused"}, "b": {"!!refused"}}))
		for range 50 {
			g.chat(t.Context(), body("caption", ""))
		}
		require.LessOrEqual(t, len(g.engine.calls), 50+5)
	})
}

// TestHedge lets the first token arrive late. Idempotent work must then be hedged at
// another endpoint, and the slower attempt must end as soon as the hedge has produced a
// token. At-most-once work must not be hedged, as it would run twice.
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
			g := newTestGateway(c.script)
			g.scheduler.predictedFirstToken = 100 * time.Millisecond
			begun := time.Now()
			var closedEarly int
			time.AfterFunc(800*time.Millisecond, func() {
				g.engine.mu.Lock()
				defer g.engine.mu.Unlock()
				closedEarly = g.engine.closedStreams
			})
			require.Equal(t, "xy", text(run(g).chat(t.Context(), body(template, ""))))
			require.Equal(t, c.took, time.Since(begun))
			g.Wait()
			require.Equal(t, c.calls, strings.Join(g.engine.calls, " "))
			require.Equal(t, strings.Count(c.calls, "b"), closedEarly, "the slower attempt is still running")
			require.Empty(t, g.scheduler.held)
		})
	}
}

// Guards against a request that crashed an engine and takes down one more by a hedge. A hedge does
// not run isolated, so that the crash is attributed to the requests beside it as well.
func TestSuspectIsNotHedged(t *testing.T) {
	for name, crashAfter := range map[string]time.Duration{"before the hedge": 100 * time.Millisecond, "after its answer": 2 * time.Second} {
		bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
			g := run(newTestGateway(map[string][]string{"a": {"~ x"}, "b": {"~ x"}}))
			g.scheduler.predictedFirstToken = 100 * time.Millisecond
			time.AfterFunc(crashAfter, func() {
				g.engine.mu.Lock()
				defer g.engine.mu.Unlock()
				makeSuspect(g, g.engine.sent[0])
			})
			require.Equal(t, "x", text(g.chat(t.Context(), body("caption", ""))), name)
			g.Wait()
			require.Equal(t, map[string]int{"before the hedge": 1, "after its answer": 2}[name], g.engine.count(), name)
		})
	}
}

// Guards against a request that takes down a second engine by a hedge while it is being checked
// whether the first one crashed. Once it is known that it did not, the request is tried again.
func TestBrokenStreamIsNotHedged(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"!stream_broken", "!!stream_not_found"}, "b": {"x"}}))
		g.scheduler.predictedFirstToken = 100 * time.Millisecond
		g.engine.load = context.DeadlineExceeded
		during := make(chan int, 1)
		time.AfterFunc(500*time.Millisecond, func() { during <- g.engine.count() })
		require.Equal(t, "x", text(g.chat(t.Context(), body("caption", ""))))
		require.Equal(t, 2, <-during)
		require.Equal(t, "generate a resume0 a generate b", strings.Join(g.engine.calls, " "))
	})
}

// Work that the scheduler recalls before its first token must run when it is dispatched
// again. If it expires instead, the problem must not say notRun, as an engine may have
// begun the work before the recall.
func TestRecalledWorkRunsAgain(t *testing.T) {
	for again, code := range map[marigoldcroft.Action]mcgateway.Code{
		marigoldcroft.ActionDispatch: "", marigoldcroft.ActionExpire: mcgateway.CodeDeadline,
	} {
		bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
			g := run(newTestGateway(map[string][]string{"a": {"...", "x y"}}))
			go func() {
				time.Sleep(time.Second)
				g.scheduler.decide(marigoldcroft.ActionRecall, "")
				time.Sleep(time.Second)
				g.scheduler.decide(again, "a")
			}()
			w := g.chat(t.Context(), body("caption", ""))
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

// TestEveryWaitIsBounded makes one dependency at a time not answer. The request must still
// end at its deadline or when its caller disconnects, and must release what it holds at
// the scheduler and the engine.
func TestEveryWaitIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		prepare       func(t *testing.T, g *testGateway)
		callerTimeout time.Duration
		notRun        bool
	}{
		"scheduler hangs":  {func(_ *testing.T, g *testGateway) { g.scheduler.hang = make(chan struct{}) }, time.Hour, true},
		"never dispatched": {func(_ *testing.T, g *testGateway) { g.scheduler.queue = true }, time.Hour, true},
		"home hangs": {func(t *testing.T, g *testGateway) {
			g.JoinInstance = joinInstanceAt(t, peerServer{join: acceptThenHang})
		}, time.Hour, false},
		"caller leaves queue":  {func(_ *testing.T, g *testGateway) { g.scheduler.queue = true }, time.Second, true},
		"caller leaves engine": {func(*testing.T, *testGateway) {}, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := run(newTestGateway(map[string][]string{"a": {"..."}}))
				c.prepare(t, g)
				ctx, cancel := context.WithTimeout(t.Context(), c.callerTimeout)
				defer cancel()
				begun := time.Now()
				problem := decodeProblem(t, g.chat(ctx, body("caption", ""), "X-Deadline-Ms", "5000", "Idempotency-Key", "k").Body.String())
				require.Equal(t, min(c.callerTimeout, 5*time.Second), time.Since(begun))
				require.Equal(t, c.notRun, problem.NotRun)
				if g.scheduler.hang != nil {
					close(g.scheduler.hang)
				}
				synctest.Wait()
				require.Empty(t, g.scheduler.held)
				require.Equal(t, g.engine.closedStreams, len(g.engine.calls))
				if c.notRun {
					require.Empty(t, g.engine.calls)
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

// Without a write deadline, a caller that does not read its answer would hold the request
// and its engine memory forever.
func TestStalledCaller(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x y"}}))
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body("caption", `,"stream":true`)))
		r.Header.Set("Authorization", "Bearer "+callerKey)
		begun := time.Now()
		g.Handler().ServeHTTP(&stalledWriter{ResponseRecorder: httptest.NewRecorder()}, r)
		require.Equal(t, 61*time.Second, time.Since(begun), "deadline and write grace")
		g.Wait()
		require.Empty(t, g.scheduler.held)
	})
}
