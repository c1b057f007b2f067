package mclimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
)

const (
	// minGrantRate is the rate in requests per second that is granted at the least. Only an answer
	// shows that an endpoint has ended its limit, so requests must go on even at a limit of 0.
	minGrantRate = 0.1
	// grantBurst is the time in which unused grants accumulate, up to one request at the least.
	grantBurst = 500 * time.Millisecond
	// askTimeout limits the question to the owner, which answers within milliseconds.
	askTimeout = 250 * time.Millisecond
	// unansweredWait is the time until the owner is asked again after it did not answer.
	unansweredWait = 500 * time.Millisecond
	// minGrantWait and maxGrantWait bound the time until an instance asks again after a refusal.
	minGrantWait = 20 * time.Millisecond
	maxGrantWait = 3 * time.Second
	// askerMemory is how long a refused instance counts as one that waits for a grant.
	askerMemory = 3 * time.Second
	// renewAfter is the age at which the record of a limit that lasts is written again, so that
	// peers keep it.
	renewAfter = 10 * time.Minute
	// maxLimits limits the endpoints whose limits are kept, and the waiting instances of each.
	maxLimits = 4096
)

type (
	// EndpointLimiter keeps the limits that endpoints state on the requests of all instances
	// together, and those of cold endpoints; the smaller one applies. One instance, the owner, grants the requests to an endpoint; the others ask it
	// before each request. Without the owner's answer no request is sent. Exported fields are set
	// before use. It is safe for concurrent use.
	EndpointLimiter struct {
		Ownership *Ownership
		// Ask asks the owner for a grant.
		Ask func(ctx context.Context, owner string, limit marigoldcroft.EndpointLimit, cold marigoldcroft.ColdPhase) (Grant, error)
		// Cold returns the cold phase of the endpoint as this instance knows it. Nil means that no
		// endpoint is cold.
		Cold func(endpoint string) marigoldcroft.ColdPhase
		// Silent reports whether the instance is suspected to be out of reach. It is not asked about cold
		// endpoints then, as the work can go elsewhere at once. Nil means that none is.
		Silent func(owner string) bool
		// Announce sends a changed limit to the other instances; it must not block.
		Announce func(limit marigoldcroft.EndpointLimit)
		Logger   zerolog.Logger

		mu     sync.Mutex
		limits map[string]*endpointLimit
		// silentUntil holds the time until which an owner that did not answer is not asked about cold
		// endpoints.
		silentUntil map[string]time.Time
	}

	// Grant is the owner's answer to an instance that wants to send a request.
	Grant struct {
		Granted bool
		// Wait is the time after which the instance may ask again if Granted is false.
		Wait time.Duration
		// Limit is the limit as the owner knows it.
		Limit marigoldcroft.EndpointLimit
	}

	// endpointLimit is the limit of one endpoint.
	endpointLimit struct {
		limit marigoldcroft.EndpointLimit
		// cold is the cold phase that the owner applies: the longest of those that it and the
		// instances that asked it know.
		cold marigoldcroft.ColdPhase
		// learnedAt is when this instance last learned that the limit holds.
		learnedAt time.Time
		// grants is the number of unused grants at refilledAt. The bucket is empty when this
		// instance becomes the owner.
		grants     float64
		refilledAt time.Time
		// askers holds when the instances that wait for a grant were last refused one.
		askers map[string]time.Time
	}
)

// Observe takes what an endpoint stated in an answer to a request that was sent at sentAt. An answer
// without a limit ends a limit only if the request was sent after this instance learned of it, as
// answers can overtake each other.
func (l *EndpointLimiter) Observe(now, sentAt time.Time, endpoint string, limited bool, perSecond float64) {
	if next, changed := l.observe(now, sentAt, endpoint, limited, perSecond); changed {
		l.Announce(next)
	}
}

// observe stores what an endpoint stated. It returns the record to announce and true if peers must
// learn of it.
func (l *EndpointLimiter) observe(now, sentAt time.Time, endpoint string, limited bool, perSecond float64) (marigoldcroft.EndpointLimit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.limits[endpoint]
	known := e != nil && e.limit.Limited()
	if !limited && (!known || !sentAt.After(e.learnedAt)) {
		return marigoldcroft.EndpointLimit{}, false
	}
	spec := marigoldcroft.EndpointLimitSpec{Endpoint: endpoint, Version: uint64(max(0, now.UnixMilli())), Limited: limited}
	if limited {
		spec.PerSecond = perSecond
	}
	if e != nil {
		spec.Version, spec.Cold = max(spec.Version, e.limit.Version()+1), e.limit.Cold()
	}
	next := marigoldcroft.NewEndpointLimit(spec)
	if known && limited && next.PerSecond() == e.limit.PerSecond() {
		e.learnedAt = now
		if next.Version()-e.limit.Version() < uint64(renewAfter.Milliseconds()) {
			return next, false
		}
	}
	return next, l.put(now, next, "endpoint")
}

// Merge takes limits that peers know of.
func (l *EndpointLimiter) Merge(now time.Time, limits []marigoldcroft.EndpointLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range limits {
		l.put(now, limit, "peer")
	}
}

// put stores a limit unless the known one is as new, and reports whether it did.
func (l *EndpointLimiter) put(now time.Time, limit marigoldcroft.EndpointLimit, source string) bool {
	e := l.limits[limit.Endpoint()]
	switch {
	case e == nil && len(l.limits) >= maxLimits:
		return false
	case e == nil:
		e = &endpointLimit{}
		if l.limits == nil {
			l.limits = make(map[string]*endpointLimit)
		}
		l.limits[limit.Endpoint()] = e
	case !limit.Newer(e.limit):
		return false
	}
	changed := limit.Limited() != e.limit.Limited() || limit.PerSecond() != e.limit.PerSecond()
	e.limit, e.learnedAt = limit, now
	if changed {
		l.Logger.Info().Str("endpoint", limit.Endpoint()).Bool("limited", limit.Limited()).Float64("perSecond", limit.PerSecond()).
			Uint64("version", limit.Version()).Str("source", source).Msg("endpointLimitChanged")
	}
	return true
}

// Retain forgets the limits of endpoints that are no longer listed.
func (l *EndpointLimiter) Retain(listed func(endpoint string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.limits {
		if !listed(name) {
			delete(l.limits, name)
		}
	}
}

// Acquire asks for permission to send one request to the endpoint. It returns false and the time
// after which to ask again if none may be sent now.
func (l *EndpointLimiter) Acquire(ctx context.Context, endpoint string) (granted bool, wait time.Duration) {
	now := time.Now()
	limit := l.limit(endpoint)
	cold := l.coldPhase(endpoint)
	if !limit.Limited() && !cold.Limits(now) && !limit.Cold().Limits(now) {
		return true, 0
	}
	owner := l.Ownership.Owner(endpoint)
	if owner == l.Ownership.Self || owner == "" {
		g := l.Grant(now, owner, limit, cold)
		return g.Granted, g.Wait
	}
	timeout := askTimeout
	if !limit.Limited() {
		if l.isSilent(now, owner) {
			return false, unansweredWait
		}
		timeout = coldAskTimeout
	}
	asking, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g, err := l.Ask(asking, owner, limit, cold)
	if err != nil {
		if ctx.Err() == nil {
			l.markSilent(time.Now(), owner)
		}
		l.Logger.Info().Str("endpoint", endpoint).Str("owner", owner).Err(err).Msg("limitOwnerUnreachable")
		return false, unansweredWait
	}
	if g.Limit.Endpoint() == endpoint && g.Limit.Version() > 0 {
		l.Merge(time.Now(), []marigoldcroft.EndpointLimit{g.Limit})
	}
	return g.Granted, max(g.Wait, minGrantWait)
}

// limit returns the limit that the endpoint stated last, or one of version 0 if it stated none.
func (l *EndpointLimiter) limit(endpoint string) marigoldcroft.EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.limits[endpoint]; e != nil {
		return e.limit
	}
	return marigoldcroft.NewEndpointLimit(marigoldcroft.EndpointLimitSpec{Endpoint: endpoint})
}

// Grant answers an instance that wants to send a request to an endpoint of which this instance is
// the owner. limit and cold are what the instance knows.
func (l *EndpointLimiter) Grant(now time.Time, instance string, limit marigoldcroft.EndpointLimit, cold marigoldcroft.ColdPhase) Grant {
	known := l.coldPhase(limit.Endpoint())
	defer l.announceCold(now, limit.Endpoint())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(now, limit, "peer")
	e := l.limits[limit.Endpoint()]
	if e == nil {
		return Grant{Wait: maxGrantWait, Limit: limit}
	}
	e.observeCold(now, cold)
	e.observeCold(now, known)
	e.observeCold(now, e.limit.Cold())
	rate, burst, limited := e.rate(now)
	if !limited {
		return Grant{Granted: true, Limit: e.limit}
	}
	share, wait := l.Ownership.Share(now, limit.Endpoint())
	if share <= 0 {
		e.grants, e.refilledAt, e.askers = 0, time.Time{}, nil
		return Grant{Wait: min(max(wait, minGrantWait), maxGrantWait), Limit: e.limit}
	}
	rate = max(rate*share, minGrantRate)
	e.refill(now, rate, burst)
	if e.grants >= 1 {
		e.grants--
		delete(e.askers, instance)
		return Grant{Granted: true, Limit: e.limit}
	}
	// The wait is random up to half of the time in which all waiting instances are served, so that
	// they share the grants and together ask often enough to use them.
	wait = secondsOf((1-e.grants)/rate) + jitter(secondsOf(float64(e.countAsker(now, instance))/rate/2))
	return Grant{Wait: min(max(wait, minGrantWait), maxGrantWait), Limit: e.limit}
}

// refill adds the grants since the last call.
func (e *endpointLimit) refill(now time.Time, rate float64, burst time.Duration) {
	if !e.refilledAt.IsZero() {
		e.grants += now.Sub(e.refilledAt).Seconds() * rate
	}
	e.grants = max(0, min(e.grants, max(1, rate*burst.Seconds())))
	e.refilledAt = now
}

// countAsker records that the instance waits for a grant and returns how many do.
func (e *endpointLimit) countAsker(now time.Time, instance string) int {
	for name, at := range e.askers {
		if now.Sub(at) > askerMemory {
			delete(e.askers, name)
		}
	}
	if e.askers == nil {
		e.askers = make(map[string]time.Time)
	}
	if _, known := e.askers[instance]; known || len(e.askers) < maxLimits {
		e.askers[instance] = now
	}
	return len(e.askers)
}

// jitter returns a random time of up to d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(max(d, 1))))
}

// secondsOf converts seconds to a duration of at most an hour.
func secondsOf(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
