package mcgateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcgateway"
)

// TestStopTellsEachRequestItsState stops a gateway while a request is in each phase. One that
// waits must be refused as not run while the stop lasts; one that was sent must get its time,
// and must not be said not to have run if it is ended.
func TestStopTellsEachRequestItsState(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		queue  bool
		// abort ends the stop a second after it began.
		abort  bool
		code   mcgateway.Code
		notRun bool
		// took is the time from the begin of the stop to the end of the request.
		took time.Duration
	}{
		"waits":                   {"x y", true, false, mcgateway.CodeStopping, true, 0},
		"runs to its end":         {"~ ~ ~ x y", false, false, "", false, 2 * time.Second},
		"sent, aborted":           {"...", false, true, mcgateway.CodeStopping, false, time.Second},
		"in a stream and aborted": {"x ...", false, true, mcgateway.CodeStopping, false, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := run(newTestGateway(map[string][]string{"a": {c.script}}))
				g.scheduler.queue = c.queue
				response := make(chan *httptest.ResponseRecorder, 1)
				go func() { response <- g.chat(t.Context(), strings.Replace(body("print", ""), "{", `{"stream":true,`, 1)) }()
				time.Sleep(time.Second)
				g.Drain(time.Now().Add(10 * time.Second))
				begun := time.Now()
				if c.abort {
					time.AfterFunc(time.Second, g.Abort)
				}
				w := <-response
				require.Equal(t, c.took, time.Since(begun))
				synctest.Wait()
				require.Empty(t, g.scheduler.held)
				if c.code == "" {
					require.Contains(t, w.Body.String(), "[DONE]")
					return
				}
				problem := decodeProblem(t, w.Body.String())
				require.Equal(t, c.code, problem.Code)
				require.Equal(t, c.notRun, problem.NotRun)
			})
		})
	}
}

// A request that arrives after the lame-duck time must get a refusal that says that it did not
// run and when to come back, instead of a closed connection.
func TestStopRefusesNewRequests(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x"}}))
		g.Drain(time.Now().Add(time.Minute))
		require.Equal(t, "x", text(g.chat(t.Context(), body("caption", ""))), "requests of the lame-duck time are served")
		g.RefuseNew()
		problem := decodeProblem(t, g.chat(t.Context(), body("caption", "")).Body.String())
		require.Equal(t, mcgateway.CodeStopping, problem.Code)
		require.True(t, problem.NotRun)
		require.Positive(t, problem.RetryAfterMs)
		require.Len(t, g.engine.calls, 1)
	})
}

// deadlineWriter is a response writer that counts the changes of its read deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder

	changes int
}

func (w *deadlineWriter) SetReadDeadline(time.Time) error { w.changes++; return nil }

// A request whose body cannot be read must leave nothing behind for the planned stop: what it
// left would keep its connection in memory until then.
func TestFailedBodyLeavesNothingBehind(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x"}}))
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", iotest.ErrReader(io.ErrUnexpectedEOF))
		r.Header.Set("Authorization", "Bearer "+callerKey)
		w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		g.Handler().ServeHTTP(w, r)
		require.Equal(t, http.StatusBadRequest, w.Code)
		before := w.changes
		g.Drain(time.Now())
		synctest.Wait()
		require.Equal(t, before, w.changes)
	})
}
