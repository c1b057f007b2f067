package mcjob

import (
	"math"
	"sync"

	"golang.org/x/time/rate"
)

// burstSeconds is the time for which an unused share is kept. With hundreds of
// instances a share is a fraction of a job a second, and arrivals are uneven.
const burstSeconds = 10

// budget is this instance's share of the store writes for jobs. Submissions are
// refused when it is used up; writes for accepted jobs are never held back, since
// their outcome must be recorded, and count as debt instead.
type budget struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	total   float64
}

// newBudget takes the rate of the whole deployment in writes a second; 0 means no limit.
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

// admit takes one write, or none if the share is used up.
func (b *budget) admit() bool { return b.limiter.Allow() }

// charge takes n writes, into debt if need be, so that a job with more chunks than the
// burst is possible and delays those after it.
func (b *budget) charge(n int) {
	for range n {
		b.limiter.Reserve()
	}
}

// jobWrites is the number of writes of a job's whole life without faults: its chunks
// and its object are written and removed, and the object is updated twice.
func jobWrites(chunks int) int { return 2*(chunks+1) + 2 }
