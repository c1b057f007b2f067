package mcstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BreakerState is the state of a circuit breaker.
type BreakerState int

// The states of a circuit breaker. Their numeric values are exported as a metric.
const (
	// BreakerClosed allows all calls.
	BreakerClosed BreakerState = iota
	// BreakerHalfOpen allows one probe call and rejects all others until it ends.
	BreakerHalfOpen
	// BreakerOpen rejects all calls until the pause has elapsed.
	BreakerOpen
)

const (
	// breakerThreshold is the number of consecutive failures that opens the breaker.
	// Isolated lost responses are normal and must not open it.
	breakerThreshold = 5
	// breakerInitialPause is the mean pause before the first probe. Each failed probe
	// doubles it up to breakerMaxPause, which limits how long a recovered store stays
	// unused.
	breakerInitialPause = 250 * time.Millisecond
	breakerMaxPause     = 4 * time.Second
)

// breaker is a circuit breaker. The zero value is closed.
type breaker struct {
	mu        sync.Mutex
	state     BreakerState
	failures  int
	meanPause time.Duration
	probeAt   time.Time
}

// allow reports whether a call may be made. The caller must call done once for each
// allowed call.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.state == BreakerClosed:
		return true
	case b.state == BreakerOpen && !time.Now().Before(b.probeAt):
		b.state = BreakerHalfOpen
		return true
	}
	return false
}

// done records the result of an allowed call. A call that shows nothing about the store's
// health, such as one cancelled by its caller, is neither a success nor a failure. If it
// was the probe of a half-open breaker, the breaker opens again with its pause already
// elapsed, so that the next call becomes the probe.
func (b *breaker) done(success, failure bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case success && b.state != BreakerOpen:
		b.state, b.failures, b.meanPause = BreakerClosed, 0, 0
	case failure && b.state == BreakerClosed:
		b.failures++
		if b.failures >= breakerThreshold {
			b.open(breakerInitialPause)
		}
	case failure && b.state == BreakerHalfOpen:
		b.open(min(2*b.meanPause, breakerMaxPause))
	case b.state == BreakerHalfOpen:
		b.state = BreakerOpen
	}
}

// open requires mu to be held. The actual pause is random, between 0.5 and 1.5 times the
// mean, so that the instances of a deployment do not probe at the same time.
func (b *breaker) open(pause time.Duration) {
	b.state, b.failures, b.meanPause = BreakerOpen, 0, pause
	b.probeAt = time.Now().Add(pause/2 + rand.N(pause))
}

func (b *breaker) currentState() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}
