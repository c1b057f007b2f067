package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// evacuatedRetryAfter is the shortest Retry-After while every endpoint that could run the work is in a
// data centre that is evacuated. An evacuation lasts for seconds at least, and callers that return
// sooner are only refused again.
const evacuatedRetryAfter = 2 * time.Second

// applyLeaving takes over from the listing whether the endpoint gets new work.
func (e *endpoint) applyLeaving(listed marigoldcroft.Endpoint) {
	if listed.Evacuated() && !e.evacuated {
		e.pool.evacuating = true
	}
	e.leaving, e.evacuated = listed.Leaving(), listed.Evacuated()
}

// evacuated reports whether all endpoints that could run the item, or any work if it is nil, are in data
// centres that are evacuated. An endpoint that is down may come back before.
func (p *pool) evacuated(it *item) bool {
	found := false
	for _, e := range p.endpoints {
		switch {
		case it != nil && (e.capacity < it.kv || it.excludes(e)):
		case e.evacuated:
			found = true
		case !e.leaving && !e.reportedLeaving:
			return false
		}
	}
	return found
}

// refuseUnplaced returns the refusal of new work that no endpoint can run. The item is nil if none was
// created, and so is the pool if the model is unknown.
func (s *scheduler) refuseUnplaced(id marigoldcroft.StreamID, p *pool, it *item) marigoldcroft.Decision {
	d := marigoldcroft.Decision{ID: id, Action: marigoldcroft.ActionRefuse, Reason: marigoldcroft.ReasonNoEndpoint, RetryAfter: s.retryAfter(0)}
	if it != nil {
		d.Class, d.Priority = it.class, it.priority
	}
	if p != nil && p.evacuated(it) {
		d.Reason, d.RetryAfter = marigoldcroft.ReasonEvacuated, s.evacuatedRetryAfter(0)
	}
	return d
}

// evacuatedRetryAfter returns the delay after which the remaining endpoints can meet the request: the
// predicted time in seconds until they have drained the queue, and as much again as jitter.
func (s *scheduler) evacuatedRetryAfter(drain float64) time.Duration {
	least := evacuatedRetryAfter
	if drain > 0 {
		least = seconds(drain)
	}
	return min(least+s.retryAfter(least.Seconds()), maxRetryAfter)
}

// expireForEvacuation ends a waiting item that an evacuation leaves without an endpoint in time.
func (s *scheduler) expireForEvacuation(it *item, drain float64) marigoldcroft.Decision {
	s.dequeue(it)
	delete(s.items, it.work.ID)
	d := it.decision(marigoldcroft.ActionExpire, marigoldcroft.ReasonEvacuated)
	d.RetryAfter = s.evacuatedRetryAfter(drain)
	s.recycle(it)
	return d
}

// readmitQueued admits the queued work of the pool again, in order, after an evacuation has taken
// endpoints: each item is judged by the work that remains ahead of it. What no longer ends in time is
// refused at once, so that its caller can go elsewhere. Work that may have run is kept, as its caller
// would lose it.
func (s *scheduler) readmitQueued(now time.Duration, p *pool, decisions []marigoldcroft.Decision) []marigoldcroft.Decision {
	p.evacuating = false
	if len(p.live) == 0 {
		return decisions
	}
	for i := range p.lanes {
		l := &p.lanes[i]
		var waiting []*item
		for it := l.first(); it != nil; it = l.first() {
			l.remove(it)
			waiting = append(waiting, it)
		}
		for _, it := range waiting {
			reason, _, drain := s.policy.admit(now, it, placement{}, endpointsBusy)
			l.push(it)
			if reason != marigoldcroft.ReasonNone && !it.work.Begun {
				decisions = append(decisions, s.expireForEvacuation(it, drain))
			}
		}
	}
	return decisions
}
