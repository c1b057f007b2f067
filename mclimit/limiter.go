// Package mclimit limits teams and retries. It is pure: time comes in with each call,
// and nothing here does input or output.
package mclimit

import (
	"math"
	"sync"
	"time"

	"marigoldcroft"
)

type (
	// Reason names the limit that refused a request; its text is a metric label.
	Reason string

	// Verdict is the answer to one request of a team.
	Verdict struct {
		// Reason is empty when the request may run.
		Reason     Reason
		RetryAfter time.Duration
	}

	// Limiter enforces this instance's share of each team's limits. Its exported
	// fields are set before the first call. Safe for use from many goroutines.
	Limiter struct {
		// Propagation is the time in which a report of one instance reaches all
		// others of the data centre; 0 means defaultPropagation.
		Propagation time.Duration
		// Allotment returns the data centre's part of a team's limits, 0 to 1; nil
		// means all of them.
		Allotment func(team string) float64

		mu    sync.Mutex
		peers map[string]*peer
		teams map[string]*bucket
	}

	// bucket is what one active team uses, here and at peers.
	bucket struct {
		rate, burst float64
		concurrency int
		// level is in tokens; it goes below 0 by at most one request.
		level   float64
		filled  time.Time
		used    time.Time
		running int
		long    int
		// share is what this instance claims and reports; granted is what it enforces.
		// granted <= share, and a raised share is enforced only after peers saw it.
		share, granted float64
		claimed        time.Time
		offered        float64
		// demand is in tokens a second, refused requests included.
		demand float64
		peers  []peerShare
	}
)

// The limits that refuse requests.
const (
	ReasonNone        Reason = ""
	ReasonTokenRate   Reason = "teamTokenRate"
	ReasonConcurrency Reason = "teamConcurrency"
	ReasonLongShare   Reason = "teamLongShare"
)

const (
	defaultPropagation = 2 * time.Second
	// idleAfter is the time after which an unused team's bucket is dropped.
	idleAfter = time.Minute
)

// Allowed tells whether the request may run.
func (v Verdict) Allowed() bool { return v.Reason == ReasonNone }

// Admit charges a request of the team with its estimated tokens. Each allowed request
// is ended with Finish. A request is allowed while the bucket holds anything, so that
// one larger than the instance's burst can run; the debt delays the next ones.
func (l *Limiter) Admit(now time.Time, team marigoldcroft.Team, tokens int64, long bool) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.active(now, team)
	b.offered += float64(tokens)
	b.refill(now)
	if b.rate > 0 && b.level <= 0 {
		return Verdict{ReasonTokenRate, b.untilPositive()}
	}
	if b.concurrency > 0 {
		if b.running >= b.allowedRunning() {
			return Verdict{ReasonConcurrency, l.propagation()}
		}
		if long && b.long >= b.allowedLong(team.LongShare()) {
			return Verdict{ReasonLongShare, l.propagation()}
		}
	}
	b.level -= float64(tokens)
	b.running++
	if long {
		b.long++
	}
	return Verdict{}
}

// Finish ends a request that Admit allowed and corrects its charge to the tokens that
// it used.
func (l *Limiter) Finish(now time.Time, team string, charged, used int64, long bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.teams[team]
	if b == nil {
		return
	}
	b.refill(now)
	b.level = min(b.level+float64(charged-used), b.burst*b.granted)
	b.used = now
	b.running--
	if long {
		b.long--
	}
}

// active returns the team's bucket with the limits of the current configuration.
func (l *Limiter) active(now time.Time, team marigoldcroft.Team) *bucket {
	b := l.bucketOf(team.Name())
	part := 1.0
	if l.Allotment != nil {
		part = l.Allotment(team.Name())
	}
	b.rate, b.burst = team.TokensPerSecond()*part, team.BurstTokens()*part
	if b.burst == 0 {
		b.burst = b.rate
	}
	b.concurrency = 0
	if team.Concurrency() > 0 {
		b.concurrency = max(1, int(float64(team.Concurrency())*part))
	}
	if b.used.IsZero() {
		b.share = b.firstShare(len(l.peers) + 1)
		b.granted, b.claimed, b.filled = b.share, now, now
		b.level = b.burst * b.granted
	}
	b.used = now
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
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.level += elapsed.Seconds() * b.rate * b.granted
		b.filled = now
	}
	b.level = min(b.level, b.burst*b.granted)
}

// untilPositive is the time after which the bucket holds something again.
func (b *bucket) untilPositive() time.Duration {
	seconds := (1 - b.level) / (b.rate * b.granted)
	return time.Duration(min(seconds, idleAfter.Seconds()) * float64(time.Second))
}

// allowedRunning is this instance's part of the team's concurrency. A share of less
// than one request still lets one run while peers report less than the limit.
func (b *bucket) allowedRunning() int {
	own := int(math.Floor(float64(b.concurrency)*b.granted + 1e-9))
	if own > 0 {
		return own
	}
	for _, p := range b.peers {
		own += int(p.concurrency)
	}
	if own < b.concurrency {
		return 1
	}
	return 0
}

func (b *bucket) allowedLong(share float64) int {
	if share == 0 {
		return b.concurrency
	}
	return max(1, int(float64(b.concurrency)*b.granted*share))
}
