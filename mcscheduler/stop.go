package mcscheduler

import (
	"time"

	"marigoldcroft"
)

const (
	// stopMargin is the relative error of a prediction that work tolerates without being cut
	// off at the end of a planned stop. It is larger than deadlineMargin because refused work
	// runs at another instance, whereas work that is cut off is lost.
	stopMargin = 0.25
	// stopRetryAfter is the largest Retry-After of work that is refused because of a planned
	// stop. Another instance can run it at once; the jitter spreads the callers.
	stopRetryAfter = 100 * time.Millisecond
)

// StopBy refuses work, from now on, that is predicted to end after the limit. Such work that
// is queued expires at the next poll.
func (s *scheduler) StopBy(t, limit time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	s.stopping, s.stopAt = true, s.since(limit)
	for _, p := range s.poolOrder {
		for _, it := range p.parked {
			s.shortenExpiry(now, it)
		}
		for i := range p.lanes {
			s.recheckLane(now, &p.lanes[i])
		}
		p.dirty = true
	}
}

// recheckLane admits the queued items of a lane again, in order, so that each is judged by the
// work that remains ahead of it. Items that no longer fit expire at once.
func (s *scheduler) recheckLane(now time.Duration, l *lane) {
	var waiting []*item
	for it := l.first(); it != nil; it = l.first() {
		l.remove(it)
		waiting = append(waiting, it)
	}
	for _, it := range waiting {
		_, start, _ := s.policy.admit(now, it, placement{}, endpointsBusy)
		s.shortenExpiry(now, it)
		if !s.endsInTime(now, it, placement{}, start) {
			it.expiry, it.boundByStop = now, true
			s.scheduleTimer(it)
		}
		l.push(it)
	}
}

// shortenExpiry makes a waiting item expire once it could no longer end before the stop.
func (s *scheduler) shortenExpiry(now time.Duration, it *item) {
	if !s.stopping {
		return
	}
	prefill, output := s.stopSeconds(now, it)
	if latest := s.stopAt - seconds((prefill+output)*(1+stopMargin)); latest < it.expiry {
		it.expiry, it.boundByStop = latest, true
		s.scheduleTimer(it)
	}
}

// endsInTime reports whether work that starts in the given number of seconds, or at the
// placement, is predicted to end before the stop. It is true while no stop has begun.
func (s *scheduler) endsInTime(now time.Duration, it *item, at placement, start float64) bool {
	if !s.stopping {
		return true
	}
	return now+seconds(s.endSeconds(now, it, at, start)*(1+stopMargin)) <= s.stopAt
}

// endSeconds predicts the seconds until work ends that starts in the given number of seconds,
// or at the placement.
func (s *scheduler) endSeconds(now time.Duration, it *item, at placement, start float64) float64 {
	prefill, output := s.stopSeconds(now, it)
	if at.endpoint != nil {
		start = at.wait + at.unreportedWait
		prefill = max(prefill, at.firstTokenDelay)
		output *= it.pool.batchSlowdown(now, at.endpoint)
	}
	return start + prefill + output
}

// stopSeconds returns the service time by which a stop judges the item. Only the time to the
// first token counts for work that has begun.
func (s *scheduler) stopSeconds(now time.Duration, it *item) (prefill, output float64) {
	prefill, output = s.policy.serviceSeconds(now, it)
	if it.work.Begun {
		output = 0
	}
	return prefill, output
}

// batchSlowdown returns how many times longer a decoding step takes in the present batch of the
// endpoint than alone.
func (p *pool) batchSlowdown(now time.Duration, e *endpoint) float64 {
	f := &p.figures
	if f.StepTime <= 0 {
		return 1
	}
	kiloTokens := float64(e.capacity-e.free(now)) / 1000
	extra := float64(e.requests(now)+1)*f.StepTimePerRequest.Seconds() + kiloTokens*f.StepTimePerKiloToken.Seconds()
	return 1 + extra/f.StepTime.Seconds()
}

// refuseForStop returns a refusal, or an expiry, of work that would not end before the stop.
func (s *scheduler) refuseForStop(it *item, action marigoldcroft.Action) marigoldcroft.Decision {
	d := it.decision(action, marigoldcroft.ReasonStopping)
	d.RetryAfter = 1 + time.Duration(s.random.Int64N(int64(stopRetryAfter)))
	return d
}

// serviceSeconds uses what was learned, however long ago, or the settings, as either is better than
// nothing.
func (l *lengthAware) serviceSeconds(_ time.Duration, it *item) (prefill, output float64) {
	return it.prefillSeconds, float64(it.work.OutputTokens) * it.pool.cost.decodeSecondsPerToken.value
}

// serviceSeconds returns the time with as many engines as can prefill the prompt, or for plain
// services the time of a long call.
func (m *passModel) serviceSeconds(now time.Duration, it *item) (prefill, output float64) {
	p := it.pool
	if !p.publishesFigures() {
		return 0, p.calls.Predict(now, len(p.endpoints)).Seconds()
	}
	prefill = it.prefillSeconds
	if it.class != marigoldcroft.ClassShort {
		prefill /= float64(max(1, min(it.liveCount(), maxHelpers)))
	}
	return prefill, float64(it.work.OutputTokens) * p.figures.StepTime.Seconds()
}

func (b *baseline) serviceSeconds(time.Duration, *item) (prefill, output float64) { return 0, 0 }
