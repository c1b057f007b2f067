package mcjob_test

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcstore"
)

// mortalStore is one instance's way to the store. It refuses all calls after a number
// of writes and loses the answers of some writes that took effect.
type mortalStore struct {
	marigoldcroft.ObjectStore
	mu sync.Mutex
	// writesLeft is the number of writes before death; negative means no death.
	writesLeft  int
	loseAnswers int
	writes      int
}

func (s *mortalStore) dead() error {
	if s.writesLeft == 0 {
		return marigoldcroft.NewFailure("call", mcstore.KindUnavailable, errors.New("the instance is dead"))
	}
	return nil
}

func (s *mortalStore) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.dead(); err != nil {
		return marigoldcroft.Object{}, err
	}
	return s.ObjectStore.Get(ctx, key)
}

func (s *mortalStore) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.dead(); err != nil {
		return "", err
	}
	version, err := s.ObjectStore.Put(ctx, key, value, expected, writeID)
	s.writesLeft--
	s.writes++
	if err == nil && (s.writesLeft == 0 || s.loseAnswers > 0) {
		s.loseAnswers--
		return "", marigoldcroft.NewFailure("put", mcstore.KindUnknown, errors.New("the answer was lost"))
	}
	return version, err
}

// members says which runs are gone; every instance owns all shards.
type members struct {
	mu   sync.Mutex
	gone map[string]bool
}

func (m *members) OwnsShard(int) bool { return true }

func (m *members) Gone(owner string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone[owner]
}

func (m *members) setGone(owner string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone[owner] = true
}

type runnerFunc func(ctx context.Context, status marigoldcroft.JobStatus, body []byte) (string, error)

func (f runnerFunc) RunJob(ctx context.Context, status marigoldcroft.JobStatus, body []byte) (string, error) {
	return f(ctx, status, body)
}

// pair is two instances on one store.
type pair struct {
	t       *testing.T
	memory  *mcstore.Memory
	members *members
	a, b    *mcjob.Jobs
	aStore  *mortalStore
	// aRuns gates the runs at a.
	aRuns chan struct{}
}

func (p *pair) submission(key string) marigoldcroft.JobSubmission {
	return marigoldcroft.JobSubmission{
		Team: "brunnholzer", Template: "dossier", Key: key, Body: []byte("read it"),
		Deadline: time.Now().Add(10 * time.Minute),
	}
}

func (p *pair) requireJob(id string, state marigoldcroft.JobState, answer string) marigoldcroft.JobStatus {
	p.t.Helper()
	job, err := p.b.Job(p.t.Context(), id)
	require.NoError(p.t, err)
	require.Equal(p.t, state, job.State, job.Error)
	require.Equal(p.t, answer, job.Answer)
	return job
}

// start runs the sweeper of an instance until the returned function is called.
func start(t *testing.T, j *mcjob.Jobs) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = j.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func inPair(t *testing.T, test func(p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		memory := &mcstore.Memory{}
		p := &pair{t: t, memory: memory, members: &members{gone: map[string]bool{}}, aRuns: make(chan struct{})}
		p.aStore = &mortalStore{ObjectStore: memory, writesLeft: -1}
		identity := func(name string) marigoldcroft.Identity {
			return marigoldcroft.NewIdentity("d", "r", "z", name, time.Now(), 1)
		}
		p.a = &mcjob.Jobs{Store: p.aStore, Identity: identity("a"), Members: p.members, WritesPerSecond: 100}
		p.a.Runner = runnerFunc(func(ctx context.Context, _ marigoldcroft.JobStatus, body []byte) (string, error) {
			select {
			case <-p.aRuns:
				return "a: " + string(body), nil
			case <-ctx.Done():
				return "", ctx.Err()
			}
		})
		p.b = &mcjob.Jobs{Store: memory, Identity: identity("b"), Members: p.members, WritesPerSecond: 100}
		p.b.Runner = runnerFunc(func(_ context.Context, _ marigoldcroft.JobStatus, body []byte) (string, error) {
			return "b: " + string(body), nil
		})
		test(p)
	})
}

// Guards against a job that is lost or doubled when its owner dies after any of its
// writes, including one whose answer it never saw.
func TestOwnerDiesAtEveryStep(t *testing.T) {
	const writesOfAJob = 4
	for writes := range writesOfAJob + 1 {
		t.Run(fmt.Sprint(writes), func(t *testing.T) {
			inPair(t, func(p *pair) {
				t := p.t
				close(p.aRuns)
				p.aStore.writesLeft = writes
				stop := start(t, p.a)
				_, err := p.a.Submit(t.Context(), p.submission("k"))
				require.Equal(t, writes < 3, err != nil, "a submission is answered once its job object is written")
				time.Sleep(20 * time.Second)
				p.members.setGone(p.a.Identity.Owner())
				stop()
				defer start(t, p.b)()
				job, err := p.b.Submit(t.Context(), p.submission("k"))
				require.NoError(t, err)
				time.Sleep(20 * time.Second)
				who := "b: read it"
				if writes == writesOfAJob {
					who = "a: read it"
				}
				p.requireJob(job.ID, marigoldcroft.JobDone, who)
				entries, err := p.memory.List(t.Context(), "jobs/", "", 10)
				require.NoError(t, err)
				require.Len(t, entries, 1)
			})
		})
	}
}

// Guards against the named faults of one job's life.
func TestJobs(t *testing.T) {
	cases := map[string]func(t *testing.T, p *pair){
		"paused owner wakes after its successor has finished": func(t *testing.T, p *pair) {
			defer start(t, p.a)()
			job, err := p.a.Submit(t.Context(), p.submission(""))
			require.NoError(t, err)
			time.Sleep(time.Second)
			require.Equal(t, uint64(1), p.requireJob(job.ID, marigoldcroft.JobRunning, "").Epoch)
			// The owner cannot reach the store while it is paused.
			p.aStore.set(0)
			p.members.setGone(p.a.Identity.Owner())
			defer start(t, p.b)()
			time.Sleep(10 * time.Second)
			require.Equal(t, uint64(2), p.requireJob(job.ID, marigoldcroft.JobDone, "b: read it").Epoch)
			p.aStore.set(-1)
			close(p.aRuns)
			time.Sleep(10 * time.Second)
			p.requireJob(job.ID, marigoldcroft.JobDone, "b: read it")
		},
		"planned stop hands the job over": func(t *testing.T, p *pair) {
			stop := start(t, p.a)
			defer stop()
			job, err := p.a.Submit(t.Context(), p.submission(""))
			require.NoError(t, err)
			time.Sleep(time.Second)
			require.Equal(t, 1, p.a.Held())
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			require.NoError(t, p.a.Release(ctx))
			stop()
			p.requireJob(job.ID, marigoldcroft.JobAccepted, "")
			defer start(t, p.b)()
			time.Sleep(time.Second)
			p.requireJob(job.ID, marigoldcroft.JobDone, "b: read it")
		},
		"planned stop ends while the store is down": func(t *testing.T, p *pair) {
			defer start(t, p.a)()
			_, err := p.a.Submit(t.Context(), p.submission(""))
			require.NoError(t, err)
			time.Sleep(time.Second)
			p.aStore.set(0)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			require.NoError(t, p.a.Release(ctx))
			require.Less(t, time.Since(began), 30*time.Second)
		},
		"answers of all writes lost": func(t *testing.T, p *pair) {
			close(p.aRuns)
			p.aStore.loseAnswers = 10
			defer start(t, p.a)()
			job, err := p.a.Submit(t.Context(), p.submission(""))
			require.NoError(t, err)
			time.Sleep(20 * time.Second)
			require.Equal(t, uint64(1), p.requireJob(job.ID, marigoldcroft.JobDone, "a: read it").Epoch)
		},
		"cancelled at another instance": func(t *testing.T, p *pair) {
			defer start(t, p.a)()
			job, err := p.a.Submit(t.Context(), p.submission(""))
			require.NoError(t, err)
			time.Sleep(time.Second)
			require.NoError(t, p.b.Cancel(t.Context(), job.ID))
			require.NoError(t, p.b.Cancel(t.Context(), job.ID))
			time.Sleep(6 * time.Second)
			require.Zero(t, p.a.Held(), "the run must be stopped")
			p.requireJob(job.ID, marigoldcroft.JobCancelled, "")
		},
		"deadline passes, then the result is removed": func(t *testing.T, p *pair) {
			defer start(t, p.a)()
			submission := p.submission("")
			submission.Deadline = time.Now().Add(3 * time.Second)
			job, err := p.a.Submit(t.Context(), submission)
			require.NoError(t, err)
			time.Sleep(9 * time.Second)
			p.requireJob(job.ID, marigoldcroft.JobExpired, "")
			time.Sleep(mcjob.DefaultRetention + 10*time.Second)
			_, err = p.b.Job(t.Context(), job.ID)
			require.True(t, mcjob.IsNotFound(err))
			entries, err := p.memory.List(t.Context(), "job", "", 10)
			require.NoError(t, err)
			require.Empty(t, entries)
		},
		"key used again": func(t *testing.T, p *pair) {
			first, err := p.a.Submit(t.Context(), p.submission("k"))
			require.NoError(t, err)
			second, err := p.b.Submit(t.Context(), p.submission("k"))
			require.NoError(t, err)
			require.Equal(t, first.ID, second.ID)
			other := p.submission("k")
			other.Body = []byte("something else")
			_, err = p.b.Submit(t.Context(), other)
			require.Equal(t, mcjob.KindKeyReused, marigoldcroft.FailureKind[mcjob.Kind](err))
			other.Team = "copo"
			third, err := p.b.Submit(t.Context(), other)
			require.NoError(t, err)
			require.NotEqual(t, first.ID, third.ID)
		},
		"budget used up": func(t *testing.T, p *pair) {
			var err error
			for range 200 {
				if _, err = p.a.Submit(t.Context(), p.submission("")); err != nil {
					break
				}
			}
			require.True(t, mcjob.IsBudget(err), err)
			writes := p.aStore.writes
			_, err = p.a.Submit(t.Context(), p.submission(""))
			require.True(t, mcjob.IsBudget(err))
			require.Equal(t, writes, p.aStore.writes, "a refusal makes no store call")
			time.Sleep(time.Second)
			_, err = p.a.Submit(t.Context(), p.submission(""))
			require.NoError(t, err)
		},
		"large body in several chunks": func(t *testing.T, p *pair) {
			defer start(t, p.b)()
			submission := p.submission("")
			// Random bytes from a fixed seed do not compress.
			submission.Body = make([]byte, 2<<20)
			rand.New(rand.NewSource(1)).Read(submission.Body)
			p.b.Runner = runnerFunc(func(_ context.Context, _ marigoldcroft.JobStatus, body []byte) (string, error) {
				return fmt.Sprint(string(body) == string(submission.Body)), nil
			})
			job, err := p.a.Submit(t.Context(), submission)
			require.NoError(t, err)
			time.Sleep(6 * time.Second)
			p.requireJob(job.ID, marigoldcroft.JobDone, "true")
		},
		"malformed ids": func(t *testing.T, p *pair) {
			for _, id := range []string{"", "x", "1-", "64-" + strings.Repeat("0", 36), "01-00000000-0000-0000-0000-000000000000", "../../config/head"} {
				_, err := p.a.Job(t.Context(), id)
				require.True(t, mcjob.IsNotFound(err), id)
			}
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { inPair(t, func(p *pair) { test(p.t, p) }) })
	}
}

func (s *mortalStore) set(writesLeft int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writesLeft = writesLeft
}
