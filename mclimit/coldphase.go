package mclimit

import (
	"maps"
	"time"

	"marigoldcroft"
)

const (
	// coldGrantBurst is grantBurst for cold endpoints, whose bound holds for each second: at most
	// 1.25 times the rate is granted in one, which leaves the rest of the bound to requests that are
	// delayed on their way.
	coldGrantBurst = 250 * time.Millisecond
	// coldAskTimeout limits the question to the owner about a cold endpoint to half of the shortest
	// objective for a first event, 250 ms, so that the work can still go elsewhere.
	coldAskTimeout = 125 * time.Millisecond
	// silentTime is how long an owner that did not answer is not asked about any cold endpoint. The
	// loss of a data centre leaves a third of the endpoints without their owners.
	silentTime = time.Second
	// announcedColdStep is the least extension of a cold phase that peers are told. Each instance that reads
	// a record states the end a little differently.
	announcedColdStep = 500 * time.Millisecond
)

// coldPhase returns the cold phase of the endpoint as this instance knows it. mu must not be held.
func (l *EndpointLimiter) coldPhase(endpoint string) marigoldcroft.ColdPhase {
	if l.Cold == nil {
		return marigoldcroft.ColdPhase{}
	}
	return l.Cold(endpoint)
}

// AnnounceCold tells the other instances of the endpoint's cold phase if this instance is the owner.
// Only the owner does, as all instances together would send as many records as there are of them.
func (l *EndpointLimiter) AnnounceCold(now time.Time, endpoint string, phase marigoldcroft.ColdPhase) {
	if !phase.Limits(now) || l.Ownership.Owner(endpoint) != l.Ownership.Self {
		return
	}
	l.mu.Lock()
	e := l.limits[endpoint]
	if e == nil && len(l.limits) < maxLimits {
		e = &endpointLimit{limit: marigoldcroft.NewEndpointLimit(marigoldcroft.EndpointLimitSpec{Endpoint: endpoint})}
		if l.limits == nil {
			l.limits = make(map[string]*endpointLimit)
		}
		l.limits[endpoint] = e
	}
	if e != nil {
		e.observeCold(now, phase)
	}
	l.mu.Unlock()
	l.announceCold(now, endpoint)
}

// announceCold announces the phase that the owner applies unless the last record has it. Instances do
// not pass on what such a record says as their own knowledge: with clocks that differ, the phase would
// grow with each exchange. mu must not be held.
func (l *EndpointLimiter) announceCold(now time.Time, endpoint string) {
	l.mu.Lock()
	e := l.limits[endpoint]
	if e == nil || !e.cold.Limits(now) || e.cold.Until.Sub(e.limit.Cold().Until) < announcedColdStep {
		l.mu.Unlock()
		return
	}
	next := marigoldcroft.NewEndpointLimit(marigoldcroft.EndpointLimitSpec{
		Endpoint: endpoint, Version: max(uint64(max(0, now.UnixMilli())), e.limit.Version()+1),
		Limited: e.limit.Limited(), PerSecond: e.limit.PerSecond(), Cold: e.cold,
	})
	e.limit = next
	l.mu.Unlock()
	l.Announce(next)
}

// observeCold extends the cold phase that the owner applies. An instance that learns late of the end
// of a phase only delays requests. When a phase begins, one request is granted at once and all others
// at the rate, because requests that were sent without a grant may still arrive.
func (e *endpointLimit) observeCold(now time.Time, phase marigoldcroft.ColdPhase) {
	if !phase.Limits(now) {
		return
	}
	if !e.cold.Limits(now) {
		e.cold, e.grants, e.refilledAt = phase, 1, now
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

// isSilent reports whether the owner did not answer lately or is suspected to be out of reach.
func (l *EndpointLimiter) isSilent(now time.Time, owner string) bool {
	l.mu.Lock()
	silent := now.Before(l.silentUntil[owner])
	l.mu.Unlock()
	return silent || l.Silent != nil && l.Silent(owner)
}

// markSilent records that the owner did not answer.
func (l *EndpointLimiter) markSilent(now time.Time, owner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.silentUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if l.silentUntil == nil {
		l.silentUntil = make(map[string]time.Time)
	}
	l.silentUntil[owner] = now.Add(silentTime)
}
