package mcentry_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
)

// startedTogether is how many requests are started at once. If hundreds connect to the endpoint at the
// same time on one processor, connecting times out and the endpoint counts as down.
const startedTogether = 20

// startRequests sends requests that run until they are ended, and returns the number of answers
// by status, with 0 for a closed connection, once all have one.
func (s *site) startRequests(requests int) (answers func() map[int]int) {
	s.t.Helper()
	s.server.CallTime = 20 * time.Second
	back := httptest.NewServer(s.server)
	s.t.Cleanup(back.Close)
	s.store.Put("config", "main", bytes.ReplaceAll(configuration(2, `"key"`), []byte(`"timeout-ms":3000`), []byte(`"timeout-ms":30000`)))
	s.store.Put("servers", "i-1", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","batch-slots":400,"state":"ready","born":6}`,
		strings.TrimPrefix(back.URL, "http://")))
	require.Eventually(s.t, func() bool { return s.instances[0].get(s.t, "/v2/", "") != http.StatusNotFound }, 5*time.Second, time.Millisecond)
	statuses := make([]int, requests)
	var sent sync.WaitGroup
	begun := time.Now()
	for i := range requests {
		sent.Go(func() {
			for statuses[i] = http.StatusServiceUnavailable; statuses[i] == http.StatusServiceUnavailable; {
				statuses[i] = s.instances[0].get(s.t, "/v2/x", "key")
			}
		})
		if (i+1)%startedTogether == 0 {
			require.Eventually(s.t, func() bool { return len(s.server.Runs()) > i }, 15*time.Second-time.Since(begun), time.Millisecond)
		}
	}
	require.Eventually(s.t, func() bool { return len(s.server.Runs()) >= requests }, 15*time.Second-time.Since(begun), time.Millisecond)
	return func() map[int]int {
		sent.Wait()
		count := make(map[int]int)
		for _, status := range statuses {
			count[status]++
		}
		return count
	}
}

// Guards against aborted requests whose connections are closed without an answer on a machine
// short of processor time: the time for their answers is a fraction of a short grace time.
func TestAbortedRequestsGetTheirAnswers(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range []struct {
		requests int
		grace    time.Duration
	}{{300, time.Second}, {50, time.Second}, {300, 2 * time.Second}} {
		t.Run(fmt.Sprintf("%d requests in %s", c.requests, c.grace), func(t *testing.T) {
			s := newSite(t, 1, func(settings *mcsetting.Settings) { settings.Forward.Grace = c.grace })
			answers := s.startRequests(c.requests)
			s.instances[0].stop()
			require.Equal(t, map[int]int{http.StatusBadGateway: c.requests}, answers())
		})
	}
}

// Guards against a second signal that is followed by closed connections, or by a long wait.
func TestSecondSignalAnswersRequestsPromptly(t *testing.T) {
	const requests = 100
	s := newSite(t, 1, func(settings *mcsetting.Settings) { settings.Forward.Grace = 20 * time.Second })
	in, answers := s.instances[0], s.startRequests(requests)
	in.stop()
	close(in.abort)
	begun := time.Now()
	require.Equal(t, map[int]int{http.StatusBadGateway: requests}, answers())
	in.ended <- <-in.ended
	require.Less(t, time.Since(begun), 2*time.Second)
}
