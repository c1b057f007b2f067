package mcjob

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// TestFaultAtEveryStep injects one fault into the instance that accepts, runs and
// sweeps a job, at each of its store calls in turn, from the first prompt chunk to the
// removal of the result. The job must not be lost, run forever or end twice, and none
// of its objects may be left behind.
func TestFaultAtEveryStep(t *testing.T) {
	// steps is the number of store calls of a job without faults: three to accept it
	// with its chunk, the claim, the reads of the body and the answer, the reads of the
	// sweeps, and the removal.
	const steps = 8
	cases := []struct {
		fault string
		large bool
	}{
		{"dies before", false},
		{"dies after", false},
		{"lost before", false},
		{"lost after", false},
		{"late", false},
		{"soon", false},
		{"refused", false},
		{"outage", false},
		{"slow", false},
		{"paused", false},
		{"dies before", true},
		{"dies after", true},
		{"lost after", true},
		{"paused", true},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s/large=%t", tc.fault, tc.large), func(t *testing.T) {
			answerSuffix := ""
			if tc.large {
				answerSuffix = incompressible(maxInlineAnswerBytes + 1)
			}
			step := 1
			for reached := true; reached; step++ {
				synctest.Test(t, func(t *testing.T) { reached = injectFaultAt(t, tc.fault, step, answerSuffix) })
			}
			require.Greater(t, step-1, steps, "the fault was not tried at every step")
		})
	}
}

func incompressible(length int) string {
	b := make([]byte, length)
	_, _ = rand.NewChaCha8([32]byte{}).Read(b)
	return string(b)
}

// injectFaultAt runs one job with the fault at the given store call. It returns false
// if the job made fewer calls. The suffix is appended to the answer.
func injectFaultAt(t *testing.T, fault string, step int, answerSuffix string) bool {
	name := fmt.Sprintf("call %d", step)
	in := submission("key", "body")
	id := jobID(in.Team, in.Key)
	c := newCluster(t, func(c *cluster, _ *Jobs) {
		c.fault, c.faultAt, c.shards = fault, step, map[int]bool{shardOf(id): true}
		c.sweeper.Store(0)
		c.answerSuffix = answerSuffix
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
	time.Sleep(time.Until(in.Deadline.Add(maxEndDelay)))
	require.Equal(t, marigoldcroft.JobDone, c.finalState(id), name)
	status, err = c.nodes[1].jobs.Job(t.Context(), id)
	require.NoError(t, err, name)
	require.True(t, status.Answer == "body by 0"+answerSuffix || status.Answer == "body by 1"+answerSuffix, name)
	document, _, err := c.nodes[1].jobs.readJob(t.Context(), id)
	require.NoError(t, err, name)
	time.Sleep(OrphanGrace + 3*time.Minute)
	require.Len(t, c.stored(t, answerPrefix), document.Answers.Count, "%s: orphan chunks remain", name)
	time.Sleep(ResultRetention)
	for _, prefix := range []string{jobPrefix, promptPrefix, answerPrefix} {
		require.Empty(t, c.stored(t, prefix), "%s: objects remain after the retention", name)
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
