package mcstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BreakerState is the state of the circuit breaker.
type BreakerState int

// The states of the circuit breaker; the numbers are the values of its metric.
const (
	// BreakerClosed lets all calls through.
	BreakerClosed BreakerState = iota
	// BreakerHalfOpen has one probe under way and refuses all other calls.
	BreakerHalfOpen
	// BreakerOpen refuses all calls until its pause has passed.
	BreakerOpen
)

const (
	// breakerFailures is the number of consecutive failures that opens the breaker.
	// Single lost answers are normal and must not open it.
	breakerFailures = 5
	// breakerPause is the first mean pause before a probe; each failed probe doubles
	// it up to breakerMaxPause, which bounds how long a recovered store goes unused.
	breakerPause    = 250 * time.Millisecond
	breakerMaxPause = 4 * time.Second
)

// breaker is a circuit breaker; its zero value is closed.
type breaker struct {
	mu       sync.Mutex
	state    BreakerState
	failures int
	pause    time.Duration
	until    time.Time
}

// allow tells whether a call may be made. Each allowed call must be followed by one
// call of done.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.state == BreakerClosed:
		return true
	case b.state == BreakerOpen && !time.Now().Before(b.until):
		b.state = BreakerHalfOpen
		return true
	}
	return false
}

// done reports the end of an allowed call. A call that says nothing about the store,
// such as one that its caller cancelled, is neither success nor failure; a half-open
// breaker then waits for another probe.
func (b *breaker) done(success, failure bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case success && b.state != BreakerOpen:
		b.state, b.failures, b.pause = BreakerClosed, 0, 0
	case failure && b.state == BreakerClosed:
		b.failures++
		if b.failures >= breakerFailures {
			b.open(breakerPause)
		}
	case failure && b.state == BreakerHalfOpen:
		b.open(min(2*b.pause, breakerMaxPause))
	case b.state == BreakerHalfOpen:
		b.state = BreakerOpen
	}
}

// open needs mu. The pause is drawn from half to one and a half of its mean, so that
// the instances of a deployment do not probe at the same moment.
func (b *breaker) open(pause time.Duration) {
	b.state, b.failures, b.pause = BreakerOpen, 0, pause
	b.until = time.Now().Add(pause/2 + rand.N(pause))
}

func (b *breaker) current() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}
