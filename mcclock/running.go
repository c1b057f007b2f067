package mcclock

import (
	"sync"
	"time"
)

const (
	runningTick = 100 * time.Millisecond
	// maxRunningStep is the most that counts of the time between two readings. It allows for ticks
	// that come late.
	maxRunningStep = 2 * runningTick
	// runningIdleTime is the time after the last call of Elapsed in which ticks continue.
	runningIdleTime = 10 * time.Second
)

// RunningTime measures the time in which the process runs, without its pauses: a process that was
// stopped by a signal or by its hypervisor continues without notice, and only its ticks have not
// come. The zero value is ready to use. It is safe for concurrent use.
type RunningTime struct {
	mu      sync.Mutex
	elapsed time.Duration
	// countedAt is the time up to which elapsed was counted, or zero.
	countedAt time.Time
	// usedAt is when Elapsed was last called.
	usedAt  time.Time
	ticking bool
}

// Elapsed returns the running time since the first call. Of the time between two calls more than
// runningIdleTime apart, it may leave out the rest.
func (r *RunningTime) Elapsed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.count(now)
	r.usedAt = now
	if !r.ticking {
		r.ticking = true
		time.AfterFunc(runningTick, r.tick)
	}
	return r.elapsed
}

func (r *RunningTime) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.count(now)
	if r.ticking = now.Sub(r.usedAt) < runningIdleTime; r.ticking {
		time.AfterFunc(runningTick, r.tick)
	}
}

func (r *RunningTime) count(now time.Time) {
	if !r.countedAt.IsZero() {
		r.elapsed += min(now.Sub(r.countedAt), maxRunningStep)
	}
	r.countedAt = now
}
