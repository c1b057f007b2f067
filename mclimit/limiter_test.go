package mclimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marigoldcroft"
	"marigoldcroft/mclimit"
)

const interval = time.Second

var start = time.Unix(1_800_000_000, 0)

func team(spec marigoldcroft.TeamSpec) marigoldcroft.Team {
	spec.Name = "studio"
	return marigoldcroft.NewTeam(spec)
}

// Each limit must reject the first request beyond it, with its own reason, and must admit a
// request again once RetryAfter has passed and a request has finished.
func TestSingleInstanceLimits(t *testing.T) {
	for name, c := range map[string]struct {
		spec   marigoldcroft.TeamSpec
		tokens int64
		long   bool
		// allowed is the number of requests admitted at the same time.
		allowed int
		reason  mclimit.Reason
	}{
		"no limit":    {marigoldcroft.TeamSpec{}, 1000, true, 50, mclimit.ReasonNone},
		"token rate":  {marigoldcroft.TeamSpec{TokensPerSecond: 100, BurstTokens: 300}, 100, false, 3, mclimit.ReasonTokenRate},
		"over burst":  {marigoldcroft.TeamSpec{TokensPerSecond: 100}, 1000, false, 1, mclimit.ReasonTokenRate},
		"concurrency": {marigoldcroft.TeamSpec{Concurrency: 4}, 1, false, 4, mclimit.ReasonConcurrency},
		"long share":  {marigoldcroft.TeamSpec{Concurrency: 4, LongShare: 0.5}, 1, true, 2, mclimit.ReasonLongShare},
	} {
		t.Run(name, func(t *testing.T) {
			l := &mclimit.Limiter{}
			for i := range c.allowed {
				require.True(t, l.Admit(start, team(c.spec), c.tokens, c.long).Allowed(), "request %d", i)
			}
			decision := l.Admit(start, team(c.spec), c.tokens, c.long)
			require.Equal(t, c.reason, decision.Reason)
			l.Finish(start, "studio", c.tokens, c.tokens, c.long)
			later := start.Add(decision.RetryAfter)
			require.True(t, l.Admit(later, team(c.spec), c.tokens, c.long).Allowed())
		})
	}
}

// Memory must grow with the number of active teams, not of configured ones: 40,000 teams
// that are active at once must fit into the 64 MB of one node, and idle teams must hold none.
func TestTeamsFitInMemory(t *testing.T) {
	const teams, heapLimit = 40_000, 64 << 20
	var before, after runtime.MemStats
	l := &mclimit.Limiter{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range teams {
		spec := marigoldcroft.TeamSpec{Name: fmt.Sprintf("team%d", i), TokensPerSecond: 100}
		require.True(t, l.Admit(start, marigoldcroft.NewTeam(spec), 1, false).Allowed())
		l.Finish(start, spec.Name, 1, 1, false)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(heapLimit))
	l.Rebalance(start.Add(59*time.Second), interval)
	require.Equal(t, teams, l.Active())
	l.Rebalance(start.Add(60*time.Second), interval)
	require.Zero(t, l.Active())
}

// Shares must follow the demand when it shifts from one instance to another. An instance
// whose first requests arrive while another one holds most of the limit must start with a
// small share, as its peer still enforces its own.
func TestShareFollowsDemand(t *testing.T) {
	limit := team(marigoldcroft.TeamSpec{TokensPerSecond: 1000})
	c := newCluster(2)
	c.step(limit, []int{10, 0})
	require.InDelta(t, 0.5, c.limiters[0].Share("studio"), 0.01)
	for range 20 {
		c.step(limit, []int{10, 0})
	}
	require.Greater(t, c.limiters[0].Share("studio"), 0.95)
	c.step(limit, []int{10, 1})
	require.Less(t, c.limiters[1].Share("studio"), 0.3)
	for range 30 {
		c.step(limit, []int{1, 10})
	}
	require.Greater(t, c.limiters[1].Share("studio"), 0.7)
}

// If each side of a partition took over the shares of instances that it no longer hears
// from, the limit would be enforced twice. Both sides must keep their last shares, and
// neither may take over the share of an instance that stopped.
func TestPartitionKeepsShares(t *testing.T) {
	limit := team(marigoldcroft.TeamSpec{TokensPerSecond: 1000})
	c := newCluster(3)
	for range 20 {
		c.step(limit, []int{5, 5, 5})
	}
	c.partitioned = []bool{true, true, true}
	c.limiters[0].SetMembers([]string{"1"})
	c.limiters[1].SetMembers([]string{"0"})
	for range 120 {
		c.step(limit, []int{10, 10, 0})
	}
	require.InDelta(t, 1.0/3, c.limiters[0].Share("studio"), 0.05)
	require.InDelta(t, 1.0/3, c.limiters[1].Share("studio"), 0.05)
}

// With six instances and a limit of two, the share of each is less than one request. If each
// admitted one regardless of its peers, six would run: the third instance must reject once
// its peers report two running requests.
func TestSmallConcurrencyCountsPeers(t *testing.T) {
	limit := team(marigoldcroft.TeamSpec{Concurrency: 2})
	c := newCluster(6)
	for i := range 2 {
		require.True(t, c.limiters[i].Admit(c.now, limit, 1, false).Allowed())
	}
	c.exchange()
	c.exchange()
	require.Equal(t, mclimit.ReasonConcurrency, c.limiters[2].Admit(c.now, limit, 1, false).Reason)
}

// Over-admission must stay within the stated bound under any demand, interrupted exchanges
// and partitions. The bound is limit x (1 + 1/n) x time, plus the limit for one propagation
// time, plus the burst, plus one request per instance.
func TestOverAdmissionBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "instances")
		const rate, tokens = 1000.0, 50
		limit := team(marigoldcroft.TeamSpec{TokensPerSecond: rate, Concurrency: 1 << 20})
		c := newCluster(n)
		steps := rapid.IntRange(10, 80).Draw(t, "steps")
		admitted := 0
		for range steps {
			demand := make([]int, n)
			for i := range demand {
				demand[i] = rapid.SampledFrom([]int{0, 0, 1, 10, 100}).Draw(t, "demand")
				if rapid.IntRange(0, 15).Draw(t, "toggle") == 0 {
					c.partitioned[i] = !c.partitioned[i]
				}
			}
			admitted += c.step(limit, demand) * tokens
		}
		seconds := float64(steps) * interval.Seconds()
		bound := rate*(1+1/float64(n))*seconds + rate*(2*interval).Seconds() + rate + float64(n)*tokens
		if float64(admitted) > bound {
			t.Fatalf("admitted %d tokens in %v s, bound %v", admitted, seconds, bound)
		}
	})
}

// The instances together must not run more requests than the limit plus one per instance: an
// instance with a share of less than one request may still admit one.
func TestConcurrencyBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		concurrency := rapid.IntRange(1, 20).Draw(t, "concurrency")
		limit := team(marigoldcroft.TeamSpec{Concurrency: concurrency})
		c := newCluster(n)
		running := 0
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			for _, l := range c.limiters {
				for range rapid.IntRange(0, 25).Draw(t, "requests") {
					if l.Admit(c.now, limit, 1, false).Allowed() {
						running++
					}
				}
			}
			c.exchange()
		}
		if running > concurrency+n {
			t.Fatalf("%d concurrent requests, limit %d with %d instances", running, concurrency, n)
		}
	})
}

// The budget is a floor plus a tenth of the recent successes. While no request succeeds it must
// stay at the floor, as retries would otherwise multiply the load on a failing group.
func TestRetryBudget(t *testing.T) {
	r := &mclimit.RetryBudget{}
	take := func(now time.Time) (n int) {
		for r.TryConsume(now, "model") {
			n++
		}
		return n
	}
	require.Equal(t, 5, take(start), "default floor")
	for range 100 {
		r.CountSuccess(start, "model")
	}
	require.Equal(t, 10, take(start), "floor plus a tenth of the successes, less the retries used")
	require.Zero(t, take(start.Add(9*time.Second)))
	require.Equal(t, 5, take(start.Add(10*time.Second)), "old successes leave the window")
}

// cluster simulates a data centre whose instances exchange usage reports once a second;
// each report arrives one interval late.
type cluster struct {
	now         time.Time
	limiters    []*mclimit.Limiter
	partitioned []bool
	reports     [][]marigoldcroft.TeamUsage
	hasReport   []bool
}

func newCluster(n int) *cluster {
	c := &cluster{now: start, partitioned: make([]bool, n), reports: make([][]marigoldcroft.TeamUsage, n), hasReport: make([]bool, n)}
	for i := range n {
		l := &mclimit.Limiter{Propagation: 2 * interval}
		var others []string
		for j := range n {
			if j != i {
				others = append(others, fmt.Sprint(j))
			}
		}
		l.SetMembers(others)
		c.limiters = append(c.limiters, l)
	}
	c.exchange()
	return c
}

// step sends requests of 50 tokens to the instances for one interval, in ten rounds of
// demand[i] requests to instance i, and returns the number of admitted requests.
func (c *cluster) step(limit marigoldcroft.Team, demand []int) int {
	admitted := 0
	const parts = 10
	for range parts {
		for i, l := range c.limiters {
			for range demand[i] {
				if l.Admit(c.now, limit, 50, false).Allowed() {
					admitted++
					l.Finish(c.now, "studio", 50, 50, false)
				}
			}
		}
		c.now = c.now.Add(interval / parts)
	}
	c.exchange()
	return admitted
}

func (c *cluster) exchange() {
	for i := range c.limiters {
		for j, l := range c.limiters {
			if i != j && c.hasReport[i] && !c.partitioned[i] && !c.partitioned[j] {
				l.ObservePeer(c.now, fmt.Sprint(i), 1, c.reports[i])
			}
		}
	}
	for i, l := range c.limiters {
		l.Rebalance(c.now, interval)
		c.reports[i], c.hasReport[i] = l.Usage(), true
	}
}
