package mcjob

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// ignoreContext runs longer than all tested bounds without regard to its context.
func ignoreContext(context.Context, *node, []byte) (string, error) {
	time.Sleep(5 * time.Minute)
	return "late", nil
}

func untilStopped(ctx context.Context, _ *node, _ []byte) (string, error) {
	<-ctx.Done()
	return "", context.Cause(ctx)
}

// TestSubmit compares the result of a submission with what the store holds afterwards.
// A caller that gets a wrong result loses its job or submits it twice.
func TestSubmit(t *testing.T) {
	down := func(_ *testing.T, c *cluster) { c.down.Store(true) }
	accept := func(key string) func(*testing.T, *cluster) {
		return func(t *testing.T, c *cluster) {
			// One job uses up a thousandth of the budget.
			c.nodes[1].jobs.SetInstances(1000)
			_, err := submitTo(t, c, 1, submission(key, "body"))
			require.NoError(t, err)
		}
	}
	stop := func(t *testing.T, c *cluster) { require.NoError(t, c.nodes[1].jobs.Release(t.Context())) }
	cases := []struct {
		name    string
		prepare func(t *testing.T, c *cluster)
		// index is the instance to which the job is submitted.
		index   int
		change  func(s *marigoldcroft.JobSubmission)
		kind    Kind
		store   mcstore.Kind
		objects int
	}{
		{"new", nil, 0, nil, "", "", 1},
		{"same key at another instance", accept("key"), 0, nil, "", "", 1},
		{"same key of another team", accept("key"), 0, func(s *marigoldcroft.JobSubmission) { s.Team = "other" }, "", "", 2},
		{"no key", accept("key"), 0, func(s *marigoldcroft.JobSubmission) { s.Key = "" }, "", "", 2},
		{"same key, other body", accept("key"), 0, func(s *marigoldcroft.JobSubmission) { s.Body = nil }, KindKeyReused, "", 1},
		{"same key, other template", accept("key"), 0, func(s *marigoldcroft.JobSubmission) { s.Template = "" }, KindKeyReused, "", 1},
		{"body too large", nil, 0, func(s *marigoldcroft.JobSubmission) {
			s.Body = make([]byte, MaxBodyBytes+1)
		}, KindInvalid, mcstore.KindTooLarge, 0},
		{"deadline passed", nil, 0, func(s *marigoldcroft.JobSubmission) {
			s.Deadline = time.Now()
		}, KindInvalid, mcstore.KindUnavailable, 0},
		{"store down, no key", down, 0, func(s *marigoldcroft.JobSubmission) { s.Key = "" }, KindRefused, mcstore.KindUnavailable, 0},
		{"store down, an earlier submission may be recorded", down, 0, nil, KindUnknown, mcstore.KindOutcomeUnknown, 0},
		{"over budget", accept("first"), 1, nil, KindRefused, mcstore.KindRateLimited, 1},
		{"over budget, recorded before", accept("key"), 1, nil, "", "", 1},
		{"stopped", stop, 1, nil, KindRefused, mcstore.KindUnavailable, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, func(_ *cluster, j *Jobs) { j.WritesPerSecond = 100 })
				if tc.prepare != nil {
					tc.prepare(t, c)
				}
				in := submission("key", "body")
				if tc.change != nil {
					tc.change(&in)
				}
				_, err := submitTo(t, c, tc.index, in)
				require.Equal(t, tc.kind, marigoldcroft.FailureKind[Kind](err), "%v", err)
				require.Equal(t, tc.store, marigoldcroft.FailureKind[mcstore.Kind](err), "%v", err)
				require.Len(t, c.stored(t, jobPrefix), tc.objects)
			})
		})
	}
}

// TestConcurrentSubmit submits one key at two instances at once, so that neither finds
// the job of the other. There must be one job, and it must have the prompt of the
// submission that created it.
func TestConcurrentSubmit(t *testing.T) {
	for _, bodies := range [][2]string{{"same", "same"}, {"one", "two"}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			var status [2]marigoldcroft.JobStatus
			var errs [2]error
			var wg sync.WaitGroup
			for i, body := range bodies {
				wg.Go(func() { status[i], errs[i] = submitTo(t, c, i, submission("key", body)) })
			}
			wg.Wait()
			winner := 0
			if errs[0] != nil {
				winner = 1
			}
			require.NoError(t, errs[winner])
			if bodies[0] == bodies[1] {
				require.NoError(t, errs[1-winner])
				require.Equal(t, status[0].ID, status[1].ID)
			} else {
				require.True(t, IsKind(errs[1-winner], KindKeyReused))
			}
			time.Sleep(jobTimeout)
			got, err := c.nodes[0].jobs.Job(t.Context(), status[winner].ID)
			require.NoError(t, err)
			require.Contains(t, got.Answer, bodies[winner])
			require.Len(t, c.stored(t, promptPrefix), 1)
		})
	}
}

// TestFinalState checks that the state, error and answer of a job match the outcome of
// its run, and that the job ends within the bound even if the runner hangs, the owner
// pauses or the store is down.
func TestFinalState(t *testing.T) {
	large := incompressible(3 << 20)
	answer := func(answer string, err error) func(context.Context, *node, []byte) (string, error) {
		return func(context.Context, *node, []byte) (string, error) { return answer, err }
	}
	cases := []struct {
		name   string
		run    func(ctx context.Context, n *node, body []byte) (string, error)
		during func(t *testing.T, c *cluster, id string)
		state  marigoldcroft.JobState
		answer string
		reason string
		// latest is the longest time from submission to the end; 0 means 2 s.
		latest time.Duration
	}{
		{"done", answer("yes", nil), nil, marigoldcroft.JobDone, "yes", "", 0},
		{"done with a large answer", answer(large, nil), nil, marigoldcroft.JobDone, large, "", 0},
		{"answer too large", answer(strings.Repeat("x", MaxBodyBytes+1), nil), nil, marigoldcroft.JobFailed, "", "the answer has", 0},
		{"failed", answer("", errors.New("engine lost")), nil, marigoldcroft.JobFailed, "", "engine lost", 0},
		{"runner stops at the deadline", untilStopped, nil, marigoldcroft.JobExpired, "", "deadline", jobTimeout + time.Second},
		{"runner ignores the deadline", ignoreContext, nil, marigoldcroft.JobExpired, "", "deadline", jobTimeout + StopGrace + time.Second},
		{"live owner hangs", ignoreContext, func(_ *testing.T, c *cluster, _ string) {
			time.Sleep(time.Second)
			c.nodes[0].disconnected.Store(true)
		}, marigoldcroft.JobExpired, "", "deadline", jobTimeout + maxEndDelay},
		{"store down past the deadline", untilStopped, func(_ *testing.T, c *cluster, _ string) {
			c.outage(2 * jobTimeout)
		}, marigoldcroft.JobExpired, "", "deadline", 2*jobTimeout + maxEndDelay},
		{"objects of its shard cannot be read", func(ctx context.Context, n *node, _ []byte) (string, error) {
			if n.index == 0 {
				return untilStopped(ctx, n, nil)
			}
			return "yes", nil
		}, func(t *testing.T, c *cluster, id string) {
			for i, name := range []string{"", unreadableName, "another format"} {
				_, err := c.Memory.Put(t.Context(), jobPrefix+id[:2]+"/ "+name, []byte(`{"format":2}`[:12*i/2]), "", "")
				require.NoError(t, err)
			}
			time.Sleep(time.Second)
			c.nodes[0].crash()
		}, marigoldcroft.JobDone, "yes", "", detection + SweepInterval + 2*time.Second},
		{"prompt lost", answer("", nil), func(t *testing.T, c *cluster, _ string) {
			entry := c.stored(t, promptPrefix)[0]
			require.NoError(t, c.Memory.Delete(t.Context(), entry.Key, entry.Version, ""))
		}, marigoldcroft.JobFailed, "", "prompt", 0},
		{"cancelled while it runs", untilStopped, func(t *testing.T, c *cluster, id string) {
			time.Sleep(time.Second)
			require.Equal(t, int32(1), c.running.Load())
			require.NoError(t, c.nodes[1].jobs.Cancel(t.Context(), id))
			require.NoError(t, c.nodes[0].jobs.Cancel(t.Context(), id))
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, c.running.Load(), "the runner's context has not ended")
		}, marigoldcroft.JobCancelled, "", "", 0},
		{"cancelled after its end", answer("yes", nil), func(t *testing.T, c *cluster, id string) {
			time.Sleep(time.Second)
			require.True(t, IsKind(c.nodes[1].jobs.Cancel(t.Context(), id), KindEnded))
		}, marigoldcroft.JobDone, "yes", "", 0},
		{"paused owner resumes after its successor", func(_ context.Context, n *node, _ []byte) (string, error) {
			if n.index == 0 {
				n.pause()
				n.waitWhilePaused()
			}
			return []string{"paused owner", "successor"}[n.index], nil
		}, nil, marigoldcroft.JobDone, "successor", "", 2*SweepInterval + time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, func(c *cluster, _ *Jobs) { c.run = tc.run })
				begin := time.Now()
				status, err := submitTo(t, c, 0, submission("", "body"))
				require.NoError(t, err)
				if tc.during != nil {
					tc.during(t, c, status.ID)
				}
				objects := len(c.stored(t, jobPrefix))
				time.Sleep(10 * time.Minute)
				require.Len(t, c.stored(t, jobPrefix), objects)
				status, err = c.nodes[1].jobs.Job(t.Context(), status.ID)
				require.NoError(t, err)
				require.Equal(t, tc.state, status.State, status.Error)
				require.True(t, tc.answer == status.Answer, "the answer differs")
				require.Contains(t, status.Error, tc.reason)
				document, _, err := c.nodes[1].jobs.readJob(t.Context(), status.ID)
				require.NoError(t, err)
				if tc.latest == 0 {
					tc.latest = 2 * time.Second
				}
				require.LessOrEqual(t, document.Finished.Sub(begin), tc.latest)
				require.Empty(t, c.violations)
			})
		})
	}
}

// TestCancelRacesWithDone cancels a job at about the time at which its owner writes the
// done state. Cancel must not report success for a job that is done, or an error for a
// job that it cancelled.
func TestCancelRacesWithDone(t *testing.T) {
	seen := make(map[marigoldcroft.JobState]bool)
	for shift := -2 * callLatency; shift <= 2*callLatency; shift += callLatency / 4 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			status, err := submitTo(t, c, 0, submission("", "body"))
			require.NoError(t, err)
			for c.running.Load() == 0 {
				time.Sleep(callLatency / 4)
			}
			time.Sleep(time.Second + shift)
			cancelErr := c.nodes[1].jobs.Cancel(t.Context(), status.ID)
			time.Sleep(time.Second)
			state := c.finalState(status.ID)
			seen[state] = true
			if cancelErr == nil {
				require.Equal(t, marigoldcroft.JobCancelled, state)
			} else {
				require.True(t, IsKind(cancelErr, KindEnded), cancelErr)
				require.Equal(t, marigoldcroft.JobDone, state)
			}
			require.Empty(t, c.violations)
		})
	}
	require.Len(t, seen, 2, "the cancellation must win at some offsets and lose at others")
}

// TestMaxRunning checks that no more than MaxRunning jobs run at once, and that each
// queued job starts when a slot becomes free.
func TestMaxRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, func(_ *cluster, j *Jobs) { j.MaxRunning = 2 })
		c.nodes[1].disconnected.Store(true)
		const count = 10
		for range count {
			_, err := submitTo(t, c, 0, submission("", "body"))
			require.NoError(t, err)
		}
		// Each run takes a second.
		for done := uint64(0); done < count; done += 2 {
			require.Equal(t, done, c.nodes[0].jobs.Counts().Done)
			time.Sleep(500 * time.Millisecond)
			require.Equal(t, int32(2), c.running.Load())
			time.Sleep(550 * time.Millisecond)
		}
		require.Equal(t, uint64(count), c.nodes[0].jobs.Counts().Done)
	})
}

// TestBudget fails if the budget counts submissions instead of their writes, or if the
// share of an instance does not follow the number of instances.
func TestBudget(t *testing.T) {
	const rate = 60
	for _, instances := range []int{1, 5, 20} {
		burst := burstSeconds * rate / instances / 6
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, func(_ *cluster, j *Jobs) { j.WritesPerSecond = rate })
			c.nodes[0].jobs.SetInstances(instances)
			for range 2 {
				time.Sleep((burstSeconds + 1) * time.Second)
				accepted := 0
				for range 2 * burst {
					_, err := submitTo(t, c, 0, submission("", "body"))
					if err == nil {
						accepted++
					} else {
						require.Equal(t, mcstore.KindRateLimited, marigoldcroft.FailureKind[mcstore.Kind](err))
					}
				}
				// The share is replenished while the calls are made.
				require.GreaterOrEqual(t, accepted, burst)
				require.LessOrEqual(t, accepted, burst+1+burst/10)
			}
		})
	}
}

// TestRelease stops an instance that has running and queued jobs. None may be lost,
// another instance must be able to claim them, and giving up a claim must not raise the
// epoch.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, func(c *cluster, j *Jobs) {
			j.MaxRunning = 2
			c.run = func(ctx context.Context, n *node, body []byte) (string, error) {
				if n.index == 0 {
					return untilStopped(ctx, n, body)
				}
				return "", nil
			}
		})
		var ids []string
		for range 3 {
			status, err := submitTo(t, c, 0, submission("", "body"))
			require.NoError(t, err)
			ids = append(ids, status.ID)
		}
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, c.nodes[0].jobs.Release(t.Context()))
		document, _, err := c.nodes[1].jobs.readJob(t.Context(), ids[0])
		require.NoError(t, err)
		require.Equal(t, marigoldcroft.JobAccepted, document.State)
		require.Equal(t, uint64(1), document.Epoch)
		require.Zero(t, document.Owner)
		require.Equal(t, uint64(2), c.nodes[0].jobs.Counts().Released)
		c.sweeper.Store(0)
		time.Sleep(2 * SweepInterval)
		require.Equal(t, uint64(2), c.nodes[0].jobs.Counts().Claimed, "a stopped instance claimed a job")
		c.sweeper.Store(1)
		time.Sleep(3*SweepInterval + 3*time.Second)
		for _, id := range ids {
			require.Equal(t, marigoldcroft.JobDone, c.finalState(id))
		}
		counts := c.nodes[1].jobs.Counts()
		require.Equal(t, []uint64{3, 2, 3}, []uint64{counts.Claimed, counts.Reclaimed, counts.Done})
		require.Empty(t, c.violations)
	})
}
