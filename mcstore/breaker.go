package mcstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

type (
	// BreakerState is the state of a circuit breaker.
	BreakerState int

	// callResult is what a finished call shows about the store's health.
	callResult int

	// permit identifies a call that the breaker has allowed.
	permit struct {
		began time.Time
		// probe is true for the only call that a half-open breaker allows.
		probe bool
	}
)

// The states of a circuit breaker. Their numeric values are exported as a metric.
const (
	// BreakerClosed allows all calls.
	BreakerClosed BreakerState = iota
	// BreakerHalfOpen allows one probe call and rejects all others until it ends.
	BreakerHalfOpen
	// BreakerOpen rejects all calls until the pause has elapsed.
	BreakerOpen
)

// The results of a call. A call is inconclusive if it shows nothing about the store's health,
// such as one cancelled by its caller.
const (
	callSucceeded callResult = iota
	callFailed
	callTimedOut
	callInconclusive
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
	mu       sync.Mutex
	state    BreakerState
	failures int
	// failedAt is when the last of the failures was counted.
	failedAt  time.Time
	meanPause time.Duration
	probeAt   time.Time
}

// allow reports whether a call may be made. The caller must pass the permit of each allowed
// call to done once.
func (b *breaker) allow() (permit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch {
	case b.state == BreakerClosed:
		return permit{began: now}, true
	case b.state == BreakerOpen && !now.Before(b.probeAt):
		b.state = BreakerHalfOpen
		return permit{began: now, probe: true}, true
	}
	return permit{}, false
}

// done records the result of an allowed call. A call that began before the breaker opened
// says nothing about the store's recovery, so only the probe's result ends the half-open
// state.
func (b *breaker) done(p permit, result callResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case p.probe:
		b.probed(result)
	case b.state != BreakerClosed:
	case result == callSucceeded:
		b.failures = 0
	case b.counts(p, result):
		b.failures++
		b.failedAt = time.Now()
		if b.failures >= breakerThreshold {
			b.open(breakerInitialPause)
		}
	}
}

// counts reports whether the result is a failure that counts. Failures of overlapping calls
// count as one, because a single event, such as a reset of all connections, ends them
// together. A timeout always counts, as the store was silent for the whole call.
func (b *breaker) counts(p permit, result callResult) bool {
	return result == callTimedOut || result == callFailed && !p.began.Before(b.failedAt)
}

// probed records the result of the probe. After an inconclusive one, the breaker opens
// again with its pause already elapsed, so that the next call becomes the probe.
func (b *breaker) probed(result callResult) {
	switch result {
	case callSucceeded:
		b.state, b.failures, b.meanPause = BreakerClosed, 0, 0
	case callInconclusive:
		b.state = BreakerOpen
	default:
		b.open(min(2*b.meanPause, breakerMaxPause))
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
