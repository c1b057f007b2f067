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
	// SweepInterval is the time between two lists of an owned shard.
	SweepInterval = 5 * time.Second
	// HangGrace is how long after its deadline a job of a live owner is left to it.
	HangGrace = 10 * time.Second
	// StopGrace is how long a runner whose context has ended may take to return before
	// its job is recorded without it.
	StopGrace = 2 * time.Second
	// OrphanGrace is how long chunks that no job refers to are kept. It must exceed
	// submitLimit, as the chunks are written before the job.
	OrphanGrace = 10 * time.Minute

	submitTimeout      = time.Minute
	orphanScanInterval = time.Minute
	watchTimeout       = 30 * time.Second
	// minWatchInterval bounds the calls to a store that ends watches early.
	minWatchInterval  = time.Second
	defaultMaxRunning = 16
	// maxWaitingJobs bounds the jobs that wait for a place at the instance that accepted
	// them; a sweep finds those beyond it.
	maxWaitingJobs = 1024
)

type (
	// Peers tells the jobs about other instances. Its answers may lag or be wrong: they
	// steer who runs a job, and the final state does not depend on them.
	Peers interface {
		// Owns tells whether this instance sweeps the shard.
		Owns(shard int) bool
		// Gone tells whether the incarnation of the instance has ended.
		Gone(instance string, incarnation uint64) bool
	}

	// Jobs submits, runs and sweeps durable jobs at one instance. Its exported fields
	// are set before Run, and Run must be under way for jobs to run. Owners retry for as
	// long as they live; Store is best an mcstore.Client, which bounds their rate.
	Jobs struct {
		Store    marigoldcroft.ObjectStore
		Identity marigoldcroft.Identity
		Runner   marigoldcroft.JobRunner
		// Peers is nil where this instance works alone.
		Peers Peers
		Log   zerolog.Logger
		// MaxRunning bounds the jobs that run here at once; 0 means 16.
		MaxRunning int
		// WritesPerSecond is the rate of store writes for jobs of the whole deployment; 0
		// means no limit.
		WritesPerSecond float64

		initOnce sync.Once
		self     owner
		store    *jobStore
		budget   *budget
		counts   counters
		shards   [ShardCount]*shard
		// runCtx ends with Run.
		runCtx    context.Context
		cancelRun context.CancelFunc

		mu sync.Mutex
		// claims has the claims of this instance, by job.
		claims map[string]*claim
		// waiting has the accepted jobs that found no place, oldest first.
		waiting []versionedJob
		// stopped is true from Release or the end of Run; no claim is made any more.
		stopped bool
		tasks   sync.WaitGroup
	}

	// versionedJob is a job object that may be claimed at its version.
	versionedJob struct {
		document *document
		version  marigoldcroft.Version
	}

	counters struct {
		accepted, refused, claimed, takenOver, done, failed, expired, cancelled, released, lostClaims, removed, orphans atomic.Uint64
	}
)

// init makes the parts that Run and the methods share.
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

// Run runs jobs and sweeps the owned shards until ctx ends. Claims that Release has
// not given up are then left to be taken over. It is called once.
func (j *Jobs) Run(ctx context.Context) {
	j.init()
	var wg sync.WaitGroup
	wg.Go(func() { j.sweep(ctx) })
	<-ctx.Done()
	j.mu.Lock()
	// Under mu, so that no goroutine joins owners after the wait below has begun.
	j.stopped = true
	j.cancelRun()
	j.mu.Unlock()
	wg.Wait()
	j.tasks.Wait()
}

// SetInstances changes the number of live instances that share WritesPerSecond.
func (j *Jobs) SetInstances(n int) {
	j.init()
	j.budget.setInstances(n)
}

// hasEnded tells whether the incarnation has ended. Earlier runs of this instance have.
func (j *Jobs) hasEnded(o owner) bool {
	if o.Instance == j.self.Instance {
		return o.Incarnation < j.self.Incarnation
	}
	return j.Peers != nil && j.Peers.Gone(o.Instance, o.Incarnation)
}

func (j *Jobs) owns(shard int) bool { return j.Peers == nil || j.Peers.Owns(shard) }

var (
	_ marigoldcroft.JobCommand = (*Jobs)(nil)
	_ marigoldcroft.JobQuery   = (*Jobs)(nil)
)
