package mcforward

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"marigoldcroft"
)

// maxUnlistedPauses limits the pauses that are kept of endpoints which are not listed.
const maxUnlistedPauses = 1024

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

// pausedUntil returns the time until which the endpoint wants no requests, and whether that is ahead.
func (s *statementTracker) pausedUntil(now time.Time, endpoint string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.pauses[endpoint]
	return until, now.Before(until)
}

// retain removes the statements of endpoints that are no longer listed. A pause is kept until its
// end: the record of the endpoint may lapse and return before that.
func (s *statementTracker) retain(now time.Time, listed func(endpoint string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.statements, func(name string, _ statement) bool { return !listed(name) })
	unlisted := 0
	maps.DeleteFunc(s.pauses, func(name string, until time.Time) bool {
		if listed(name) {
			return !now.Before(until)
		}
		unlisted++
		return !now.Before(until) || unlisted > maxUnlistedPauses
	})
}

// acquire asks for permission to send the request if the endpoint limits its requests. If there is
// none, the endpoint is paused until there may be, so that the request waits or goes elsewhere.
func (a *attempt) acquire(ctx context.Context) error {
	f := a.call.forwarder
	if f.Limits == nil {
		return nil
	}
	cold := f.Fleet.ColdPhase(a.endpoint).Limits(time.Now())
	granted, wait := f.Limits.Acquire(ctx, a.endpoint)
	now := time.Now()
	if cold {
		f.countColdGrant(granted)
	}
	if granted {
		if cold {
			a.grantedAt = now
		}
		return nil
	}
	a.completion.NotSent = true
	f.Dispatcher.Scheduler.PauseEndpoint(now, a.endpoint, now.Add(wait))
	if ctx.Err() != nil {
		return a.contextError(ctx, "wait for the limit of "+a.endpoint)
	}
	return failure("dispatch to "+a.endpoint, KindLimited, errors.Newf("no request allowed for %v", wait.Round(time.Millisecond)))
}

// checkUsable returns an error if the endpoint may no longer get the request that was placed there.
func (a *attempt) checkUsable() error {
	if _, ok := a.call.forwarder.Fleet.Endpoint(a.endpoint); !ok {
		a.completion.NotSent = true
		return a.leftError(a.endpoint, KindLeft)
	}
	now := time.Now()
	if until, paused := a.call.forwarder.stated.pausedUntil(now, a.endpoint); paused {
		a.completion.NotSent = true
		// The scheduler forgets a pause when the endpoint's record lapses.
		a.call.forwarder.Dispatcher.Scheduler.PauseEndpoint(now, a.endpoint, until)
		return failure("dispatch to "+a.endpoint, KindLimited, errors.New("the endpoint wants no requests"))
	}
	return a.checkCold(now)
}

// observeStatements records what the endpoint states about itself. An answer to another request, or
// of another endpoint at the address, says nothing about it.
func (a *attempt) observeStatements(status int, info marigoldcroft.ForwardResponse) {
	if info.RequestID != a.call.request.ID || status == http.StatusMisdirectedRequest {
		return
	}
	f, now := a.call.forwarder, time.Now()
	f.stated.observe(a.endpoint, info)
	if info.Leaving {
		f.Fleet.MarkLeaving(a.endpoint)
	}
	if f.Limits != nil {
		f.Limits.Observe(now, a.sentAt, a.endpoint, info.HasLimit, info.RequestsPerSecond)
	}
	if status == http.StatusServiceUnavailable && info.RetryAfter > 0 {
		f.stated.observeRefusal(now, a.endpoint, info.RetryAfter)
		f.Dispatcher.Scheduler.PauseEndpoint(now, a.endpoint, now.Add(info.RetryAfter))
	}
}

// isRefusalWithoutID reports whether the answer is a refusal of this attempt although it names no
// request. On a connection that carried an earlier request it may be a refusal sent once more.
func (a *attempt) isRefusalWithoutID(info marigoldcroft.ForwardResponse) bool {
	return info.RequestID == "" && info.NotRun && !a.reusedConnection
}
