package mcgateway_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
)

// busyScheduler is a stoppingScheduler at which all work waits until the stop, which expires what
// has not begun.
type busyScheduler struct {
	stoppingScheduler

	waiting []marigoldcroft.Work
}

func (s *busyScheduler) Submit(now time.Time, work marigoldcroft.Work) marigoldcroft.Decision {
	s.mu.Lock()
	stopping := s.stopping
	if !stopping {
		s.waiting = append(s.waiting, work)
	}
	s.mu.Unlock()
	if stopping {
		return s.stoppingScheduler.Submit(now, work)
	}
	return marigoldcroft.Decision{ID: work.ID, Action: marigoldcroft.ActionWait}
}

func (s *busyScheduler) waitingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// dispatchFirst dispatches the work that has waited longest.
func (s *busyScheduler) dispatchFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = append(s.due, marigoldcroft.Decision{ID: s.waiting[0].ID, Action: marigoldcroft.ActionDispatch, Endpoint: "a"})
	s.waiting = s.waiting[1:]
}

func (s *busyScheduler) StopBy(now, limit time.Time) {
	s.stoppingScheduler.StopBy(now, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, work := range s.waiting {
		d := marigoldcroft.Decision{ID: work.ID, Action: marigoldcroft.ActionExpire, Reason: marigoldcroft.ReasonStopping, RetryAfter: time.Millisecond}
		if work.Begun {
			d.Action, d.Endpoint = marigoldcroft.ActionDispatch, "a"
		}
		s.due = append(s.due, d)
	}
}

// Guards against a stop that ends a request in segments while one of them runs, because others
// still wait for an engine. If none has been sent, the request must be refused as not run.
func TestStopLetsWaitingSegmentsOfBegunWorkGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		running int
		code    mcgateway.Code
	}{
		"one runs":  {1, ""},
		"none runs": {0, mcgateway.CodeStopping},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := newTestGateway(map[string][]string{"a": {"~ ~ ~ whole"}})
				scheduler := &busyScheduler{stoppingScheduler: stoppingScheduler{scheduler: g.scheduler}}
				g.Dispatcher.Scheduler = scheduler
				g.LargestEngineTokens = func(string) int64 { return 2000 }
				run(g)
				response := make(chan *httptest.ResponseRecorder, 1)
				go func() {
					response <- g.chat(t.Context(), strings.Replace(body("dossier", ""), "hello", strings.Repeat("0123456789", 1500), 1))
				}()
				time.Sleep(time.Second)
				require.Equal(t, 3, scheduler.waitingCount())
				if c.running > 0 {
					scheduler.dispatchFirst()
				}
				time.Sleep(time.Second)
				require.Equal(t, c.running, g.engine.count())
				g.Drain(time.Now().Add(time.Minute))
				w := <-response
				if c.code != "" {
					problem := decodeProblem(t, w.Body.String())
					require.Equal(t, c.code, problem.Code)
					require.True(t, problem.NotRun)
					return
				}
				require.Equal(t, "whole", text(w), w.Body.String())
			})
		})
	}
}
