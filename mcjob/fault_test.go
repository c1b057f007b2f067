package mcjob

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// Guards against jobs that are lost, run for ever, end twice or leave objects behind
// when a fault hits the instance that accepted, ran and swept them, at each of its
// store calls from the first prompt chunk to the removal of the result.
func TestFaultAtEveryStep(t *testing.T) {
	// steps is the number of store calls of a job without faults: three to accept with
	// its chunk, a claim, the body, the answer, the reads of the sweeps and the removal.
	const steps = 8
	for _, fault := range []string{
		"dies before", "dies after", "lost before", "lost after", "late", "soon", "refused", "outage", "slow", "paused",
	} {
		t.Run(fault, func(t *testing.T) {
			step := 1
			for reached := true; reached; step++ {
				synctest.Test(t, func(t *testing.T) { reached = faultAt(t, fault, step) })
			}
			require.Greater(t, step-1, steps, "the fault was not tried at every step")
		})
	}
}

// faultAt returns false if the job had fewer than step calls.
func faultAt(t *testing.T, fault string, step int) bool {
	name := fmt.Sprintf("%s at call %d", fault, step)
	in := submission("key", "body")
	id := jobID(in.Team, in.Key)
	c := newCluster(t, func(c *cluster, _ *Jobs) {
		c.fault, c.faultAt, c.shards = fault, step, map[int]bool{shardOf(id): true}
		c.sweeper.Store(0)
	})
	status, err := submitTo(t, c, 0, in)
	if IsKind(err, KindRefused) {
		time.Sleep(4 * time.Second)
		require.Empty(t, c.stored(t, jobPrefix), "%s: recorded although refused", name)
	}
	for err != nil {
		time.Sleep(time.Second)
		require.True(t, time.Now().Before(in.Deadline), "%s: never accepted: %v", name, err)
		status, err = submitTo(t, c, 1, in)
	}
	require.Equal(t, id, status.ID, name)
	time.Sleep(time.Until(in.Deadline.Add(endBound)))
	require.Equal(t, marigoldcroft.JobDone, c.ended(id), name)
	status, err = c.nodes[1].jobs.Job(t.Context(), id)
	require.NoError(t, err, name)
	require.Contains(t, []string{"body by 0", "body by 1"}, status.Answer, name)
	time.Sleep(ResultRetention + OrphanGrace + 3*time.Minute)
	for _, prefix := range []string{jobPrefix, promptPrefix, answerPrefix} {
		require.Empty(t, c.stored(t, prefix), "%s: left behind", name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(t, c.violations, name)
	return c.calls >= step
}

func submitTo(t *testing.T, c *cluster, index int, in marigoldcroft.JobSubmission) (marigoldcroft.JobStatus, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return c.nodes[index].jobs.Submit(ctx, in)
}
