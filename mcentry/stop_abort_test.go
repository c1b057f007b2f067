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

// Guards against aborted requests whose connections are closed without an answer on a machine
// short of processor time: the time for their answers is a fraction of a short grace time.
func TestAbortedRequestsGetTheirAnswers(t *testing.T) {
	const requests = 300
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newSite(t, 1, func(settings *mcsetting.Settings) { settings.Forward.Grace = time.Second })
	in := s.instances[0]
	s.server.CallTime = 20 * time.Second
	back := httptest.NewServer(s.server)
	defer back.Close()
	s.store.Put("config", "main", bytes.ReplaceAll(configuration(1, `"key"`), []byte(`"max-conns":50`), []byte(`"max-conns":400`)))
	s.store.Put("servers", "i-1", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","batch-slots":400,"state":"ready","born":6}`,
		strings.TrimPrefix(back.URL, "http://")))
	statuses := make([]int, requests)
	var sent sync.WaitGroup
	for i := range requests {
		sent.Go(func() {
			for statuses[i] = http.StatusServiceUnavailable; statuses[i] == http.StatusServiceUnavailable; {
				statuses[i] = in.get(t, "/v1/x", "key")
			}
		})
	}
	require.Eventually(t, func() bool { return len(s.server.Runs()) >= requests }, 2*time.Second, time.Millisecond)
	in.stop()
	sent.Wait()
	count := make(map[int]int)
	for _, status := range statuses {
		count[status]++
	}
	require.Equal(t, map[int]int{http.StatusBadGateway: requests}, count)
}
