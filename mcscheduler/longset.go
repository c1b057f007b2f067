package mcscheduler

import (
	"math"
	"time"
)

const (
	// The set grows when its use is above growUtilization for growAfter and shrinks when it is
	// below shrinkUse for shrinkAfter; the gap keeps it from oscillating.
	growUtilization   = 0.8
	growAfter         = 2 * time.Second
	shrinkUtilization = 0.4
	shrinkAfter       = 30 * time.Second
	// maxLongSetShare is the largest share of the endpoints in the set; the rest is kept
	// for short work.
	maxLongSetShare = 0.5
	// utilizationWindow smooths the use of the set.
	utilizationWindow = time.Second
	// utilizationInterval is the time between two measurements of the use.
	utilizationInterval = 100 * time.Millisecond
)

// longSet is the number of endpoints, in rendezvous order, that long work may use.
type longSet struct {
	size int
	max  int
	// utilization is the smoothed demand for long work over the size of the set.
	utilization float64
	measuredAt  time.Duration
	// aboveSince and belowSince are negative while use is on the other side.
	aboveSince time.Duration
	belowSince time.Duration
	// lent counts own long work outside the set before its first token.
	lent int
}

// setEndpointCount adapts the set to the number of usable endpoints.
func (l *longSet) setEndpointCount(endpoints int) {
	l.max = max(1, int(maxLongSetShare*float64(endpoints)))
	if l.size == 0 {
		l.size, l.aboveSince, l.belowSince = 1, -1, -1
	}
	l.size = min(l.size, l.max)
}

// observeDemand takes the number of long pieces of work that keep an endpoint busy or wait.
func (l *longSet) observeDemand(now time.Duration, demand int) {
	share := 1 - math.Exp(-float64(now-l.measuredAt)/float64(utilizationWindow))
	l.measuredAt = now
	l.utilization += share * (float64(demand)/float64(l.size) - l.utilization)
	l.aboveSince = conditionStart(l.aboveSince, now, l.utilization > growUtilization)
	l.belowSince = conditionStart(l.belowSince, now, l.utilization < shrinkUtilization)
	switch {
	case l.aboveSince >= 0 && now-l.aboveSince >= growAfter:
		l.size = min(l.max, l.size+max(1, l.size/4))
		l.aboveSince = now
	case l.belowSince >= 0 && now-l.belowSince >= shrinkAfter:
		l.size = max(1, l.size-1)
		l.belowSince = now
	}
}

// conditionStart returns the start of a condition, or -1 while it does not hold.
func conditionStart(start, now time.Duration, holds bool) time.Duration {
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
	if now-p.longSet.measuredAt < utilizationInterval || len(p.live) == 0 {
		return
	}
	demand := p.lanes[laneLong].count + p.longSet.lent
	for _, e := range p.live[:min(p.longSet.size, len(p.live))] {
		rate := e.rate()
		if _, long := e.backlog(now, 0, rate); long > rate*r.s.settings.LongOverlap.Seconds() {
			demand++
		}
	}
	p.longSet.observeDemand(now, demand)
}
