// Package mclimit enforces each team's limits on its token rate, its concurrent requests and
// the long ones among these, and bounds retries. It performs no I/O and reads no clock: the
// current time is passed to each call.
package mclimit

import (
	"math"
	"sync"
	"time"

	"marigoldcroft"
)

type (
	// Reason names the limit that rejected a request; its value is a metric label.
	Reason string

	// Decision is the result of an admission check.
	Decision struct {
		// Reason is empty when the request was admitted.
		Reason Reason
		// RetryAfter is the delay after which a rejected request may be admitted.
		RetryAfter time.Duration
	}

	// Limiter enforces this instance's share of each team's limits, which are divided
	// among the instances of the data centre. Exported fields must be set before the
	// first call. It is safe for concurrent use.
	Limiter struct {
		// Propagation is the time within which a usage report of one instance reaches
		// all others of the data centre; 0 means defaultPropagation.
		Propagation time.Duration
		// DataCentreFraction returns the fraction of a team's limits that this data centre may
		// use, 0 to 1; nil means 1 for every team.
		DataCentreFraction func(team string) float64

		mu    sync.Mutex
		peers map[string]*peer
		teams map[string]*bucket
	}

	// bucket is the token bucket of one active team, with its running requests and the
	// usage that peers reported for the team.
	bucket struct {
		rate, burst float64
		concurrency int
		// level is the number of available tokens; it is negative by at most the size of
		// one request.
		level       float64
		refilledAt  time.Time
		usedAt      time.Time
		running     int
		runningLong int
		// share is the fraction of the limits that this instance claims in its reports to
		// peers; enforcedShare is the fraction that it enforces. enforcedShare <= share: an
		// increase takes effect only after peers have received it.
		share, enforcedShare float64
		// raisedAt is when share was set initially or last increased.
		raisedAt time.Time
		// requestedTokens is the number of tokens requested since the last Rebalance.
		requestedTokens float64
		// demand is the smoothed rate of requested tokens per second, rejected requests
		// included.
		demand      float64
		peerReports []peerReport
	}
)

// The limits that reject requests. ReasonNone means that the request was admitted.
const (
	ReasonNone        Reason = ""
	ReasonTokenRate   Reason = "teamTokenRate"
	ReasonConcurrency Reason = "teamConcurrency"
	ReasonLongShare   Reason = "teamLongShare"
)

const (
	defaultPropagation = 2 * time.Second
	// idleAfter is the time without requests after which a team's bucket is removed.
	idleAfter = time.Minute
)

// Allowed reports whether the request may run.
func (d Decision) Allowed() bool { return d.Reason == ReasonNone }

// Admit checks a request against the team's limits and, if it is admitted, charges its
// estimated tokens. The caller must call Finish for each admitted request. A request is
// admitted while the bucket's level is positive, so that one larger than the instance's
// burst can run; the negative level then delays later requests.
func (l *Limiter) Admit(now time.Time, team marigoldcroft.Team, tokens int64, long bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.activeBucket(now, team)
	b.requestedTokens += float64(tokens)
	b.refill(now)
	if b.rate > 0 && b.level <= 0 {
		return Decision{ReasonTokenRate, b.untilPositive()}
	}
	if b.concurrency > 0 {
		if b.running >= b.runningLimit() {
			return Decision{ReasonConcurrency, l.propagation()}
		}
		if long && b.runningLong >= b.longLimit(team.LongShare()) {
			return Decision{ReasonLongShare, l.propagation()}
		}
	}
	b.level -= float64(tokens)
	b.running++
	if long {
		b.runningLong++
	}
	return Decision{}
}

// Finish ends a request that Admit admitted and replaces its estimated charge by the
// tokens that it used.
func (l *Limiter) Finish(now time.Time, team string, charged, used int64, long bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.teams[team]
	if b == nil {
		return
	}
	b.refill(now)
	b.level = min(b.level+float64(charged-used), b.burst*b.enforcedShare)
	b.usedAt = now
	b.running--
	if long {
		b.runningLong--
	}
}

// activeBucket returns the team's bucket, creating it if needed, with its limits updated
// from the current configuration and this data centre's fraction.
func (l *Limiter) activeBucket(now time.Time, team marigoldcroft.Team) *bucket {
	b := l.bucketOf(team.Name())
	fraction := 1.0
	if l.DataCentreFraction != nil {
		fraction = l.DataCentreFraction(team.Name())
	}
	b.rate, b.burst = team.TokensPerSecond()*fraction, team.BurstTokens()*fraction
	if b.burst == 0 {
		b.burst = b.rate
	}
	b.concurrency = 0
	if team.Concurrency() > 0 {
		b.concurrency = max(1, int(float64(team.Concurrency())*fraction))
	}
	if b.usedAt.IsZero() {
		b.share = b.initialShare(len(l.peers) + 1)
		b.enforcedShare, b.raisedAt, b.refilledAt = b.share, now, now
		b.level = b.burst * b.enforcedShare
	}
	b.usedAt = now
	return b
}

func (l *Limiter) bucketOf(team string) *bucket {
	b := l.teams[team]
	if b == nil {
		if l.teams == nil {
			l.teams = make(map[string]*bucket)
		}
		b = &bucket{}
		l.teams[team] = b
	}
	return b
}

func (l *Limiter) propagation() time.Duration {
	if l.Propagation == 0 {
		return defaultPropagation
	}
	return l.Propagation
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += elapsed.Seconds() * b.rate * b.enforcedShare
		b.refilledAt = now
	}
	b.level = min(b.level, b.burst*b.enforcedShare)
}

// untilPositive returns the time until the bucket holds one token, at most idleAfter.
func (b *bucket) untilPositive() time.Duration {
	seconds := (1 - b.level) / (b.rate * b.enforcedShare)
	return time.Duration(min(seconds, idleAfter.Seconds()) * float64(time.Second))
}

// runningLimit returns the number of requests that the team may run at once at this
// instance. If the enforced share amounts to less than one request, it returns 1 while
// the concurrency that peers report is below the limit, and 0 otherwise.
func (b *bucket) runningLimit() int {
	own := int(math.Floor(float64(b.concurrency)*b.enforcedShare + 1e-9))
	if own > 0 {
		return own
	}
	for _, p := range b.peerReports {
		own += int(p.concurrency)
	}
	if own < b.concurrency {
		return 1
	}
	return 0
}

// longLimit returns the number of long requests that may run at once at this instance,
// at least 1. A share of 0 means that long requests have no limit of their own.
func (b *bucket) longLimit(share float64) int {
	if share == 0 {
		return b.concurrency
	}
	return max(1, int(float64(b.concurrency)*b.enforcedShare*share))
}
