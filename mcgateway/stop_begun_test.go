package mcgateway_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// stoppingScheduler is a fake that refuses work during a stop as if it would end too late, unless
// it has begun.
type stoppingScheduler struct {
	*scheduler

	stopping bool
}

func (s *stoppingScheduler) StopBy(time.Time, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

func (s *stoppingScheduler) Submit(now time.Time, work marigoldcroft.Work) marigoldcroft.Decision {
	s.mu.Lock()
	refused := s.stopping && !work.Begun
	s.mu.Unlock()
	if refused {
		return marigoldcroft.Decision{ID: work.ID, Action: marigoldcroft.ActionRefuse, Reason: marigoldcroft.ReasonStopping}
	}
	return s.scheduler.Submit(now, work)
}

// Guards against a stop that ends work in progress by refusing its next attempt, segment or the
// combination of its segments as if it were new.
func TestStopLetsBegunWorkGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		script   map[string][]string
		template string
		content  string
	}{
		"attempt after a broken one": {map[string][]string{"a": {"~ ~ !answer_of_another_stream"}, "b": {"whole"}}, "caption", "hello"},
		"segments and combination":   {map[string][]string{"a": {"~ ~ whole"}}, "dossier", strings.Repeat("0123456789", 4000)},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := newTestGateway(c.script)
				g.Dispatcher.Scheduler = &stoppingScheduler{scheduler: g.scheduler}
				g.LargestEngineTokens = func(string) int64 { return 2000 }
				run(g)
				response := make(chan *httptest.ResponseRecorder, 1)
				go func() { response <- g.chat(t.Context(), strings.Replace(body(c.template, ""), "hello", c.content, 1)) }()
				time.Sleep(time.Second)
				g.Drain(time.Now().Add(time.Minute))
				w := <-response
				require.Equal(t, "whole", text(w), w.Body.String())
			})
		})
	}
}
