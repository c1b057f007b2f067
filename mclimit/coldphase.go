package mclimit

import (
	"time"

	"marigoldcroft"
)

// coldGrantBurst is grantBurst for cold endpoints, whose bound holds for each second: at most
// 1.25 times the rate is granted in one, which leaves the rest of the bound to requests that are
// delayed on their way.
const coldGrantBurst = 250 * time.Millisecond

// coldPhase returns the cold phase of the endpoint as this instance knows it. mu must not be held.
func (l *EndpointLimiter) coldPhase(endpoint string) marigoldcroft.ColdPhase {
	if l.Cold == nil {
		return marigoldcroft.ColdPhase{}
	}
	return l.Cold(endpoint)
}

// observeCold extends the cold phase that the owner applies. An instance that learns late of the end
// of a phase only delays requests. When a phase begins the bucket is emptied, because requests that
// were sent without a grant may still arrive.
func (e *endpointLimit) observeCold(now time.Time, phase marigoldcroft.ColdPhase) {
	if !phase.Limits(now) {
		return
	}
	if !e.cold.Limits(now) {
		e.cold, e.grants, e.refilledAt = phase, 0, now
		return
	}
	e.cold.PerSecond = min(e.cold.PerSecond, phase.PerSecond)
	if phase.Until.After(e.cold.Until) {
		e.cold.Until = phase.Until
	}
}

// rate returns the requests a second that all instances together may send, and the time in which
// unused grants accumulate.
func (e *endpointLimit) rate(now time.Time) (perSecond float64, burst time.Duration, limited bool) {
	cold := e.cold.Limits(now)
	switch {
	case cold && e.limit.Limited():
		return min(e.cold.PerSecond, e.limit.PerSecond()), coldGrantBurst, true
	case cold:
		return e.cold.PerSecond, coldGrantBurst, true
	}
	return e.limit.PerSecond(), grantBurst, e.limit.Limited()
}
