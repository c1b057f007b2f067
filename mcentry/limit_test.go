package mcentry_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstandin"
)

const (
	// limitWindow, limitOverage and limitSlack are the platform's bound on the requests that an
	// endpoint gets beyond the limit that it names.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// settleTime is the time until an owner grants requests after the last instance started, with
	// the time for which instances wait until they ask again.
	settleTime = 6 * time.Second
	// usedTime is the time over which the used part of a limit is measured.
	usedTime = 6 * time.Second
)

// mostInWindow returns the largest number of the runs, in order of their time, that began within
// one window.
func mostInWindow(runs []mcstandin.PlatformRun, window time.Duration) int {
	most, first := 0, 0
	for i := range runs {
		for runs[i].Time.Sub(runs[first].Time) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against an endpoint in need that gets more requests than the limit that it names in its
// answers, because instances ignore the limit or each of them uses all of it.
func TestInstancesTogetherKeepLimitOfEndpoint(t *testing.T) {
	const perSecond = 2
	s := newSite(t, 3, func(*mcsetting.Settings) {})
	s.server.SetStatement(mcstandin.PlatformStatement{Limit: "2"})
	for _, in := range s.instances {
		in.get(t, "/v1/x", "key")
	}
	time.Sleep(500 * time.Millisecond)
	told := time.Now()
	var callers sync.WaitGroup
	for _, in := range s.instances {
		for range 4 {
			callers.Go(func() {
				for time.Since(told) < settleTime+usedTime {
					in.get(t, "/v1/x", "key")
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	runs := s.server.Runs()
	for len(runs) > 0 && runs[0].Time.Before(told) {
		runs = runs[1:]
	}
	allowed := limitOverage*perSecond*limitWindow.Seconds() + limitSlack
	t.Logf("%d requests, at most %d in %v", len(runs), mostInWindow(runs, limitWindow), limitWindow)
	require.LessOrEqual(t, float64(mostInWindow(runs, limitWindow)), allowed)
	used := 0
	for _, run := range runs {
		if run.Time.Sub(told) >= settleTime {
			used++
		}
	}
	require.GreaterOrEqual(t, float64(used), perSecond*usedTime.Seconds()/2, "half of the limit is used")
}
