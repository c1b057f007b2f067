package mcforward

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
)

type (
	// statementTracker holds what endpoints last stated about themselves in their answers. It is
	// safe for concurrent use.
	statementTracker struct {
		logger zerolog.Logger

		mu         sync.Mutex
		statements map[string]statement
		// pauses holds the time until which an endpoint that refused a request wants no more.
		pauses map[string]time.Time
	}

	// statement is what an endpoint states about itself. It holds at most one entry for each
	// listed endpoint; see retain.
	statement struct {
		limited   bool
		perSecond float64
		leaving   bool
	}
)

// observe records the statements of an answer and logs those that changed.
func (s *statementTracker) observe(endpoint string, answer marigoldcroft.ForwardResponse) {
	next := statement{limited: answer.HasLimit, perSecond: answer.RequestsPerSecond, leaving: answer.Leaving}
	s.mu.Lock()
	previous := s.statements[endpoint]
	switch {
	case next == statement{}:
		delete(s.statements, endpoint)
	case s.statements == nil:
		s.statements = map[string]statement{endpoint: next}
	default:
		s.statements[endpoint] = next
	}
	s.mu.Unlock()
	if next != previous {
		s.logger.Info().Str("endpoint", endpoint).Bool("limited", next.limited).Float64("perSecond", next.perSecond).
			Bool("leaving", next.leaving).Msg("endpointStated")
	}
}

// observeRefusal records for how long an endpoint that refused a request wants no more of them.
func (s *statementTracker) observeRefusal(now time.Time, endpoint string, retryAfter time.Duration) {
	s.mu.Lock()
	if s.pauses == nil {
		s.pauses = make(map[string]time.Time)
	}
	if until := now.Add(retryAfter); until.After(s.pauses[endpoint]) {
		s.pauses[endpoint] = until
	}
	s.mu.Unlock()
	s.logger.Info().Str("endpoint", endpoint).Dur("retryAfterMs", retryAfter).Msg("endpointRefused")
}

// isPaused reports whether the endpoint wants no requests at the moment.
func (s *statementTracker) isPaused(now time.Time, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.pauses[endpoint])
}

// retain removes the statements of endpoints that are no longer listed.
func (s *statementTracker) retain(listed func(endpoint string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.statements, func(name string, _ statement) bool { return !listed(name) })
	maps.DeleteFunc(s.pauses, func(name string, _ time.Time) bool { return !listed(name) })
}
