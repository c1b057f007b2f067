package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// PauseEndpoint keeps new work from the endpoint until the given time.
func (s *scheduler) PauseEndpoint(t time.Time, name string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(t)
	e := s.endpoints[name]
	if e == nil {
		return
	}
	e.pausedUntil = max(e.pausedUntil, s.since(until))
	e.pool.pausedUntil = max(e.pool.pausedUntil, e.pausedUntil)
	e.pool.dirty = true
}

// isPaused reports whether the endpoint may not get new work.
func (e *endpoint) isPaused(now time.Duration) bool { return e.pausedUntil > now }

// resumesAt returns the time at which the first endpoint that could run the item takes new work
// again. It returns now if there is one that is not paused, or none that could run the item.
func (p *pool) resumesAt(now time.Duration, it *item) time.Duration {
	if p.pausedUntil <= now {
		return now
	}
	earliest := noDeadline
	for _, e := range p.live {
		if e.capacity >= it.kv && !it.excludes(e) {
			earliest = min(earliest, e.pausedUntil)
		}
	}
	if earliest == noDeadline {
		return now
	}
	return max(now, earliest)
}

// pausedPastExpiry reports whether all endpoints that could run the item are paused for longer than
// it can wait.
func (p *pool) pausedPastExpiry(now time.Duration, it *item) bool {
	resumes := p.resumesAt(now, it)
	return resumes > now && resumes >= it.expiry
}

// refuseForPause returns a refusal, or an expiry, of work that no endpoint takes in time. The jitter
// spreads the callers after the end of the pause.
func (s *scheduler) refuseForPause(now time.Duration, it *item, action marigoldcroft.Action) marigoldcroft.Decision {
	d := it.decision(action, marigoldcroft.ReasonPaused)
	d.RetryAfter = min(it.pool.resumesAt(now, it)-now+s.retryAfter(0), maxRetryAfter)
	return d
}
