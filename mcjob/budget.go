package mcjob

import (
	"math"
	"sync"

	"golang.org/x/time/rate"
)

// burstSeconds is the period over which an instance can accumulate its unused share.
// With hundreds of instances a share is a fraction of a job per second, so without this
// reserve uneven arrivals would be refused.
const burstSeconds = 10

// budget is this instance's share of the deployment's rate limit on store writes for
// jobs. Submissions are refused when the share is used up. Writes for jobs already
// accepted are never delayed, since their outcome must be recorded; they are charged as
// debt instead.
type budget struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	total   float64
}

// newBudget takes the limit of the whole deployment in writes per second; 0 means no
// limit.
func newBudget(total float64) *budget {
	b := &budget{limiter: rate.NewLimiter(rate.Inf, 1), total: total}
	b.setInstances(1)
	return b
}

func (b *budget) setInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total <= 0 {
		return
	}
	share := b.total / float64(max(1, n))
	b.limiter.SetLimit(rate.Limit(share))
	b.limiter.SetBurst(int(math.Max(1, share*burstSeconds)))
}

// admit takes one write from the share and returns false if none is left.
func (b *budget) admit() bool { return b.limiter.Allow() }

// charge takes n writes from the share and may leave it in debt, so that a job with
// more chunks than the burst is possible. The debt delays the admission of later jobs.
func (b *budget) charge(n int) {
	for range n {
		b.limiter.Reserve()
	}
}

// jobWrites returns the number of writes over the life of a job without faults: its
// chunks and its object are each written and deleted, and the object is updated twice.
func jobWrites(chunks int) int { return 2*(chunks+1) + 2 }
