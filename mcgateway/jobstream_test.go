package mcgateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// fakeJobQuery returns one state after the other; an empty one stands for a read that
// fails.
type fakeJobQuery struct{ states []marigoldcroft.JobState }

func (j *fakeJobQuery) Job(context.Context, string) (marigoldcroft.JobStatus, error) {
	state := j.states[0]
	if len(j.states) > 1 {
		j.states = j.states[1:]
	}
	if state == "" {
		return marigoldcroft.JobStatus{}, errors.New("store is down")
	}
	return marigoldcroft.JobStatus{ID: "j1", Team: "studio", State: state, Answer: "text", Deadline: time.Now().Add(time.Minute)}, nil
}

// TestJobStream follows jobs that succeed, expire or never end, also while reads of the
// job fail. The stream must report how the job ended, and only that of a job that is done
// may have the end marker.
func TestJobStream(t *testing.T) {
	const accepted, running, done, readFails = marigoldcroft.JobAccepted, marigoldcroft.JobRunning, marigoldcroft.JobDone, marigoldcroft.JobState("")
	cases := []struct {
		name   string
		states []marigoldcroft.JobState
		// events are the states that are sent; complete is true if the end marker follows
		// them.
		events   []string
		complete bool
		code     string
	}{
		{"done", []marigoldcroft.JobState{accepted, running, running, done}, []string{"accepted", "running", "done"}, true, ""},
		{"reads fail for a while", []marigoldcroft.JobState{running, readFails, readFails, done}, []string{"running", "done"}, true, ""},
		{"expired", []marigoldcroft.JobState{running, marigoldcroft.JobExpired}, []string{"running", "expired"}, false, "upstreamFailed"},
		{"never ends", []marigoldcroft.JobState{running}, []string{"running"}, false, "deadline"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(nil)
				g.JobStatus = &fakeJobQuery{states: c.states}
				w := g.request(t.Context(), http.MethodGet, "/v1/jobs/j1/stream", "")
				text := w.Body.String()
				var events []string
				for _, part := range strings.Split(text, `"state":"`)[1:] {
					state, _, _ := strings.Cut(part, `"`)
					events = append(events, state)
				}
				require.Equal(t, c.events, events, text)
				require.Equal(t, c.complete, strings.Contains(text, "data: [DONE]"), text)
				require.Equal(t, c.code != "", strings.Contains(text, "event: error"), text)
				require.Contains(t, text, c.code)
			})
		})
	}
}
