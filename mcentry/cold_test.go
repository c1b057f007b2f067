package mcentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
)

// Guards against a cold server that gets more requests in a second than its service states, because
// instances ignore its cold phase or each of them uses all of the limit, and against a limit that goes
// unused or outlives the phase.
func TestInstancesTogetherKeepLimitOfColdEndpoint(t *testing.T) {
	const (
		perSecond = 5
		coldTime  = 8 * time.Second
	)
	s := newSite(t, 3, func(*mcsetting.Settings) {})
	cold := strings.Replace(string(configuration(2, `"key"`)), `"max-conns":50`, fmt.Sprintf(`"max-conns":50,"cold-start-s":8,"cold-per-s":%d`, perSecond), 1)
	s.store.Put("config", "main", []byte(cold))
	for _, in := range s.instances {
		require.Eventually(t, func() bool { return in.get(t, "/v2/x", "key") == http.StatusOK }, 5*time.Second, 5*time.Millisecond)
	}
	time.Sleep(settleTime)
	s.store.Put("servers", "i-1", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","batch-slots":8,"state":"ready","born":5,"cold-left-ms":%d}`,
		s.serverAddress, coldTime.Milliseconds()))
	begun := time.Now()
	time.Sleep(time.Second)
	told := time.Now()
	var callers sync.WaitGroup
	for _, in := range s.instances {
		for range 4 {
			callers.Go(func() {
				for time.Since(told) < coldTime {
					in.get(t, "/v2/x", "key")
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	runs, later := s.server.Runs(), 0
	for len(runs) > 0 && runs[0].Time.Before(told) {
		runs = runs[1:]
	}
	while := runs
	for i := range runs {
		if runs[i].Time.Sub(begun) >= coldTime {
			while, later = runs[:i], len(runs)-i
			break
		}
	}
	t.Logf("%d requests while cold, at most %d in a second, %d later", len(while), mostInWindow(while, time.Second), later)
	require.LessOrEqual(t, float64(mostInWindow(while, time.Second)), limitOverage*perSecond+limitSlack)
	require.GreaterOrEqual(t, float64(len(while)), perSecond*(coldTime-time.Second).Seconds()/2, "half of the limit is used")
	require.Greater(t, later, len(while)/2, "the limit ends with the phase")
}
