package mcfollow

import (
	"sync"
	"time"
)

// minOutage is the length of an outage of the store above which records may have expired during it.
const minOutage = time.Second

// outageRelevance is the age up to which the outage of the store that a peer saw is passed on with its
// copy. Records that expired in it are back a few seconds after its end.
const outageRelevance = 10 * time.Second

type (
	// outageTracker finds the outages of a store from the results of all calls to it: one begins with
	// a failed call and ends with the next answer to any call. It is safe for concurrent use.
	outageTracker struct {
		mu sync.Mutex
		// failingSince is the time of the first failed call since the last answer, or zero.
		failingSince time.Time
		last         outage
	}

	// outage is an outage that has ended, longer than minOutage.
	outage struct {
		duration time.Duration
		endedAt  time.Time
	}
)

// failed records a call without an answer.
func (t *outageTracker) failed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failingSince.IsZero() {
		t.failingSince = now
	}
}

// succeeded records an answer.
func (t *outageTracker) succeeded(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.failingSince.IsZero() && now.Sub(t.failingSince) > minOutage {
		t.last = outage{now.Sub(t.failingSince), now}
	}
	t.failingSince = time.Time{}
}

// lastSince returns the last outage if it ended at the time or later, or a zero one.
func (t *outageTracker) lastSince(at time.Time) outage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.endedAt.Before(at) {
		return outage{}
	}
	return t.last
}
