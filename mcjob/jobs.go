package mcjob

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
)

const (
	// ResultRetention is how long an ended job and its answer are kept.
	ResultRetention = time.Hour
	// SweepInterval is the time between two sweeps of an owned shard.
	SweepInterval = 5 * time.Second
	// HangGrace is how long after the deadline a sweeper leaves a running job to its
	// owner if that owner is alive.
	HangGrace = 10 * time.Second
	// StopGrace is how long a runner may take to return after its context has ended.
	// After that, the job's end is recorded without waiting for the runner.
	StopGrace = 2 * time.Second
	// OrphanGrace is how long chunks that no job refers to are kept. It must exceed
	// submitTimeout, as a submission writes its chunks before the job object.
	OrphanGrace = 10 * time.Minute

	submitTimeout      = time.Minute
	orphanScanInterval = time.Minute
	watchTimeout       = 30 * time.Second
	// minWatchInterval is the shortest time between two watch calls for one job, in
	// case a store ends watches early.
	minWatchInterval  = time.Second
	defaultMaxRunning = 16
	// maxWaitingJobs bounds the queue of jobs that wait for a free slot at the instance
	// that accepted them. Jobs beyond it are found by a sweep.
	maxWaitingJobs = 1024
)

type (
	// Peers gives the current view of other instances. The view may be stale or wrong:
	// it only affects which instance runs a job, never its final state.
	Peers interface {
		// Owns reports whether this instance sweeps the shard.
		Owns(shard int) bool
		// HasEnded reports whether the incarnation of the instance has ended.
		HasEnded(instance string, incarnation uint64) bool
	}

	// Jobs submits, runs and sweeps durable jobs at one instance. Set the exported
	// fields before calling Run; jobs run only while Run does. Owners retry store calls
	// for as long as they live, so Store should be an mcstore.Client, which limits
	// their rate.
	Jobs struct {
		Store    marigoldcroft.ObjectStore
		Identity marigoldcroft.Identity
		Runner   marigoldcroft.JobRunner
		// Peers is nil if there are no other instances.
		Peers Peers
		Log   zerolog.Logger
		// MaxRunning is the largest number of jobs that run at this instance at once; 0
		// means 16.
		MaxRunning int
		// WritesPerSecond is the limit on store writes for jobs over the whole
		// deployment; 0 means no limit.
		WritesPerSecond float64

		initOnce sync.Once
		self     owner
		store    *jobStore
		budget   *budget
		counts   counters
		shards   [ShardCount]*shard
		// runCtx ends when Run does.
		runCtx    context.Context
		cancelRun context.CancelFunc

		mu sync.Mutex
		// claims holds the claims of this instance, by job id.
		claims map[string]*claim
		// waiting holds jobs that wait for a free slot, oldest first.
		waiting []versionedJob
		// stopped is set by Release or at the end of Run; no new claims are made
		// afterwards.
		stopped bool
		tasks   sync.WaitGroup
	}

	// versionedJob is the content of a job object at a version. Writes based on it are
	// conditional on that version.
	versionedJob struct {
		document *document
		version  marigoldcroft.Version
	}

	counters struct {
		accepted, refused, claimed, reclaimed, done, failed, expired, cancelled, released, lostClaims, removed, orphans atomic.Uint64
	}
)

// init sets up the state shared by Run and the other methods, once.
func (j *Jobs) init() {
	j.initOnce.Do(func() {
		j.runCtx, j.cancelRun = context.WithCancel(context.Background())
		j.self = owner{Instance: j.Identity.Instance(), Incarnation: j.Identity.Incarnation()}
		j.budget = newBudget(j.WritesPerSecond)
		j.store = &jobStore{store: j.Store, self: j.self, budget: j.budget}
		j.claims = make(map[string]*claim)
		if j.MaxRunning <= 0 {
			j.MaxRunning = defaultMaxRunning
		}
		for i := range j.shards {
			j.shards[i] = newShard(i)
		}
	})
}

// Run runs jobs and sweeps the owned shards until ctx ends. Claims that were not given
// up by Release are then left for other instances to take over. Run must be called only
// once.
func (j *Jobs) Run(ctx context.Context) {
	j.init()
	var wg sync.WaitGroup
	wg.Go(func() { j.sweep(ctx) })
	<-ctx.Done()
	j.mu.Lock()
	// Set under mu, so that no goroutine is added to tasks after tasks.Wait below has
	// begun.
	j.stopped = true
	j.cancelRun()
	j.mu.Unlock()
	wg.Wait()
	j.tasks.Wait()
}

// SetInstances sets the number of live instances that share WritesPerSecond.
func (j *Jobs) SetInstances(n int) {
	j.init()
	j.budget.setInstances(n)
}

// hasEnded reports whether the incarnation has ended. Earlier incarnations of this
// instance always have.
func (j *Jobs) hasEnded(o owner) bool {
	if o.Instance == j.self.Instance {
		return o.Incarnation < j.self.Incarnation
	}
	return j.Peers != nil && j.Peers.HasEnded(o.Instance, o.Incarnation)
}

func (j *Jobs) owns(shard int) bool { return j.Peers == nil || j.Peers.Owns(shard) }

var (
	_ marigoldcroft.JobCommand = (*Jobs)(nil)
	_ marigoldcroft.JobQuery   = (*Jobs)(nil)
)
