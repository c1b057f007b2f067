package mcscheduler

import (
	"math"
	"time"
)

const (
	// The set grows when its utilization stays above growUtilization for growAfter, and
	// shrinks when it stays below shrinkUtilization for shrinkAfter. The gap between
	// the two prevents oscillation.
	growUtilization   = 0.8
	growAfter         = 2 * time.Second
	shrinkUtilization = 0.4
	shrinkAfter       = 30 * time.Second
	// maxLongSetShare is the largest share of the endpoints in the set; the others are
	// kept for short work.
	maxLongSetShare = 0.5
	// utilizationWindow is the smoothing window of the utilization.
	utilizationWindow = time.Second
	// utilizationInterval is the time between two measurements of the utilization.
	utilizationInterval = 100 * time.Millisecond
)

// longSet is the set of endpoints, the first size ones in rendezvous order, that long
// work may use.
type longSet struct {
	size int
	max  int
	// utilization is the smoothed ratio of the demand for long work to the size of the
	// set.
	utilization float64
	measuredAt  time.Duration
	// aboveSince and belowSince are the times since which utilization has been above
	// growUtilization or below shrinkUtilization, or negative.
	aboveSince time.Duration
	belowSince time.Duration
	// lent counts own long requests outside the set that have no first token yet.
	lent int
}

// setEndpointCount adapts the bounds of the set to the number of usable endpoints.
func (l *longSet) setEndpointCount(endpoints int) {
	l.max = max(1, int(maxLongSetShare*float64(endpoints)))
	if l.size == 0 {
		l.size, l.aboveSince, l.belowSince = 1, -1, -1
	}
	l.size = min(l.size, l.max)
}

// observeDemand records the number of long requests that occupy an endpoint or wait,
// and resizes the set.
func (l *longSet) observeDemand(now time.Duration, demand int) {
	weight := 1 - math.Exp(-float64(now-l.measuredAt)/float64(utilizationWindow))
	l.measuredAt = now
	l.utilization += weight * (float64(demand)/float64(l.size) - l.utilization)
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

// conditionStart returns the time since which a condition has held, or -1 while it does
// not hold.
func conditionStart(start, now time.Duration, holds bool) time.Duration {
	if !holds {
		return -1
	}
	if start < 0 {
		return now
	}
	return start
}

// tick measures the utilization of the pool's long set.
func (l *lengthAware) tick(now time.Duration, p *pool) {
	if now-p.longSet.measuredAt < utilizationInterval || len(p.live) == 0 {
		return
	}
	demand := p.lanes[laneLong].count + p.longSet.lent
	for _, e := range p.live[:min(p.longSet.size, len(p.live))] {
		rate := e.rate()
		if _, long := e.backlog(now, 0, rate); long > rate*l.s.settings.LongOverlap.Seconds() {
			demand++
		}
	}
	p.longSet.observeDemand(now, demand)
}
