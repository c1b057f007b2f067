package mcjob

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

// step is one random action of the property test below.
type step struct {
	action string
	node   int
	key    string
	body   string
	amount int
}

var stepGenerator = rapid.Custom(func(t *rapid.T) step {
	return step{
		rapid.SampledFrom([]string{
			"submit", "submit", "submit", "cancel", "restart", "die", "pause", "lose", "lose", "cut", "outage", "release", "sleep", "sleep",
		}).Draw(t, "action"),
		rapid.IntRange(0, 1).Draw(t, "node"),
		fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")),
		rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "body"),
		rapid.IntRange(1, 20).Draw(t, "amount"),
	}
})

// TestEveryAcceptedJobEndsOnce runs two instances under random interleavings with
// crashes, pauses, lost responses, outages, cancellations and planned stops. No accepted
// job may end late, never or twice, or in another state than a successful cancellation
// calls for. Both instances sweep all shards, as instances do while their views of each
// other differ.
func TestEveryAcceptedJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(stepGenerator, 5, 40).Draw(rt, "steps")
		seconds := rapid.IntRange(1, 30).Draw(rt, "seconds")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = runSteps(t, steps, time.Duration(seconds)*time.Second) })
		if len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}

func runSteps(t *testing.T, steps []step, length time.Duration) []string {
	c := newCluster(t, func(c *cluster, j *Jobs) {
		j.MaxRunning = 2
		c.sweeper.Store(-1)
		c.shards = make(map[int]bool)
		for _, s := range steps {
			c.shards[shardOf(jobID("team", s.key))] = true
		}
		c.run = func(ctx context.Context, _ *node, body []byte) (string, error) {
			if !mcclock.Sleep(ctx, length) {
				return "", ctx.Err()
			}
			return string(body), nil
		}
	})
	accepted := make(map[string]time.Time)
	cancelled := make(map[string]bool)
	for _, s := range steps {
		n := c.nodes[s.node]
		amount := time.Duration(s.amount) * time.Second
		switch s.action {
		case "submit":
			in := submission(s.key, s.body)
			if status, err := submitTo(t, c, s.node, in); err == nil {
				accepted[status.ID] = status.Deadline
			}
		case "cancel":
			id := jobID("team", s.key)
			if n.jobs.Cancel(t.Context(), id) == nil {
				cancelled[id] = true
			}
		case "restart":
			c.restart(t, s.node)
		case "die":
			n.crash()
		case "pause":
			n.pause()
		case "lose":
			n.lostWrites.Store(int32(s.amount))
		case "cut":
			n.disconnected.Store(true)
			time.AfterFunc(amount, func() {
				c.noteFault()
				n.disconnected.Store(false)
			})
		case "outage":
			c.outage(amount)
		case "release":
			_ = n.jobs.Release(t.Context())
		case "sleep":
			time.Sleep(amount)
		}
	}
	for i, n := range c.nodes {
		if n.dead.Load() {
			c.restart(t, i)
		}
	}
	time.Sleep(jobTimeout + 30*time.Second + 2*maxEndDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	problems := c.violations
	for id, deadline := range accepted {
		switch state := c.final[id]; {
		case state == "":
			problems = append(problems, fmt.Sprintf("%s, deadline %s, did not end", id, deadline))
		case cancelled[id] != (state == marigoldcroft.JobCancelled):
			problems = append(problems, fmt.Sprintf("%s is %s, cancelled: %t", id, state, cancelled[id]))
		}
	}
	return problems
}
