package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// Explain returns what Submit would decide. It restores the state of the random source,
// so that later decisions are unaffected.
func (s *scheduler) Explain(t time.Time, work marigoldcroft.Work) marigoldcroft.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	source := *s.source
	defer func() { *s.source = source }()
	it, at, d := s.evaluate(now, work)
	if it == nil {
		return d
	}
	if d.Action == marigoldcroft.ActionDispatch {
		d.Endpoint = at.endpoint.name
		d.Priority = s.priority(it)
	}
	s.recycle(it)
	return d
}

// InFlight returns this instance's own work on each endpoint that has any.
func (s *scheduler) InFlight() map[string]marigoldcroft.InFlight {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := make(map[string]marigoldcroft.InFlight)
	for name, e := range s.endpoints {
		if e.own.count > 0 || e.own.prefill > 0 {
			result[name] = marigoldcroft.InFlight{
				Short: e.shortInFlight, Long: e.longInFlight, PrefillTokens: e.publishedPrefill(s.now), KVTokens: e.own.kv,
			}
		}
	}
	return result
}

// Queued returns the number of waiting requests.
func (s *scheduler) Queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued
}
