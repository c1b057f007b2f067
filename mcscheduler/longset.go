package mcscheduler

import (
	"math"
	"time"
)

const (
	// The set grows when its use is above growUse for growAfter and shrinks when it is
	// below shrinkUse for shrinkAfter; the gap keeps it from oscillating.
	growUse     = 0.8
	growAfter   = 2 * time.Second
	shrinkUse   = 0.4
	shrinkAfter = 30 * time.Second
	// longSetShare is the largest share of the endpoints in the set; the rest is kept
	// for short work.
	longSetShare = 0.5
	// useWindow smooths the use of the set.
	useWindow = time.Second
	// useInterval is the time between two measurements of the use.
	useInterval = 100 * time.Millisecond
)

// longSet is the number of endpoints, in rendezvous order, that long work may use.
type longSet struct {
	size int
	max  int
	// use is the smoothed demand for long work over the size of the set.
	use    float64
	usedAt time.Duration
	// aboveSince and belowSince are negative while use is on the other side.
	aboveSince time.Duration
	belowSince time.Duration
	// lent counts own long work outside the set before its first token.
	lent int
}

// bound adapts the set to the number of usable endpoints.
func (l *longSet) bound(endpoints int) {
	l.max = max(1, int(longSetShare*float64(endpoints)))
	if l.size == 0 {
		l.size, l.aboveSince, l.belowSince = 1, -1, -1
	}
	l.size = min(l.size, l.max)
}

// measure takes the number of long pieces of work that keep an endpoint busy or wait.
func (l *longSet) measure(now time.Duration, demand int) {
	share := 1 - math.Exp(-float64(now-l.usedAt)/float64(useWindow))
	l.usedAt = now
	l.use += share * (float64(demand)/float64(l.size) - l.use)
	l.aboveSince = since(l.aboveSince, now, l.use > growUse)
	l.belowSince = since(l.belowSince, now, l.use < shrinkUse)
	switch {
	case l.aboveSince >= 0 && now-l.aboveSince >= growAfter:
		l.size = min(l.max, l.size+max(1, l.size/4))
		l.aboveSince = now
	case l.belowSince >= 0 && now-l.belowSince >= shrinkAfter:
		l.size = max(1, l.size-1)
		l.belowSince = now
	}
}

// since returns the start of a condition, or -1 while it does not hold.
func since(start, now time.Duration, holds bool) time.Duration {
	if !holds {
		return -1
	}
	if start < 0 {
		return now
	}
	return start
}

// tick measures the use of the long set of the pool.
func (r *lengthAware) tick(now time.Duration, p *pool) {
	if now-p.longSet.usedAt < useInterval || len(p.live) == 0 {
		return
	}
	demand := p.lanes[laneLong].count + p.longSet.lent
	for _, e := range p.live[:min(p.longSet.size, len(p.live))] {
		rate := e.rate()
		if _, long := e.backlog(now, 0, rate); long > rate*r.s.settings.LongOverlap.Seconds() {
			demand++
		}
	}
	p.longSet.measure(now, demand)
}
