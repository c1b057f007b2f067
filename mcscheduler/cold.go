package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

// Placement while endpoints are cold: after their start they take only a limited number of requests a
// second from all instances together, and the owner of that limit grants each of them. Asking takes
// some milliseconds and may be refused, which costs a short question more than work with a long
// objective. The loads for which this was written: a third of 45 endpoints cold at once, 40 of 100,
// and all of them.

const (
	// coldBurst is the time in which unused places on a cold endpoint accumulate. It is that of the
	// owner's grants, beyond which requests would be refused.
	coldBurst = 250 * time.Millisecond
	// coldPenaltySeconds counts against cold endpoints for short work. They are chosen once warm
	// engines outside the set have more than shortSlotShare of their slots taken, at which an engine
	// counts as well used.
	coldPenaltySeconds = outsideSetPenaltySeconds + crowdingPenaltySeconds*shortSlotShare*shortSlotShare*shortSlotShare*shortSlotShare
	// coldCallPenalty counts against cold servers of plain services, in utilization: a warm one is
	// preferred up to that utilization.
	coldCallPenalty = shortSlotShare
	// coldObjective is the time left to the objective from which on work bears asking for a grant
	// again, and is sent to cold endpoints rather than to idle warm ones, which then serve short work.
	coldObjective = time.Second
)

// coldState is the cold phase of an endpoint.
type coldState struct {
	until     time.Duration
	perSecond float64
	// usedUntil is the time up to which this instance has used the limit by its own placements.
	usedUntil time.Duration
}

// applyCold applies the listed cold phase. The placements since the last one continue to count.
func (e *endpoint) applyCold(listed marigoldcroft.Endpoint, since func(time.Time) time.Duration) {
	e.cold.until, e.cold.perSecond = 0, listed.ColdRequestsPerSecond()
	if e.cold.perSecond > 0 && !listed.ColdUntil().IsZero() {
		e.cold.until = since(listed.ColdUntil())
		e.pool.coldUntil = max(e.pool.coldUntil, e.cold.until)
	}
}

// isCold reports whether the endpoint takes only a limited number of requests.
func (e *endpoint) isCold(now time.Duration) bool { return now < e.cold.until }

// coldFull reports whether the endpoint is cold and this instance alone has used what its limit gives
// all instances. Other instances use some of it too, so further requests would be refused.
func (e *endpoint) coldFull(now time.Duration) bool {
	return e.isCold(now) && e.cold.usedUntil-now > max(0, coldBurst-seconds(1/e.cold.perSecond))
}

// chargeCold counts a placement on a cold endpoint.
func (e *endpoint) chargeCold(now time.Duration) {
	if e.isCold(now) {
		e.cold.usedUntil = max(e.cold.usedUntil, now) + seconds(1/e.cold.perSecond)
	}
}

// hasCold reports whether the pool may have cold endpoints.
func (p *pool) hasCold(now time.Duration) bool { return now < p.coldUntil }

// warmCount returns the number of usable endpoints in the item's home regions that are not cold.
func (it *item) warmCount(now time.Duration) int {
	if !it.pool.hasCold(now) {
		return it.liveCount()
	}
	n := 0
	for _, e := range it.pool.live {
		if !e.isCold(now) && !it.isOutside(e) {
			n++
		}
	}
	return n
}

// usableSlots returns the slots of the endpoint on which a prediction counts. A cold endpoint fills only
// as many as its limit does in the time for which a request holds a slot.
func (e *endpoint) usableSlots(now time.Duration, residenceSeconds float64) int {
	if !e.isCold(now) {
		return e.slots
	}
	return min(e.slots, int(math.Ceil(e.cold.perSecond*residenceSeconds)))
}

// shortSetStart returns the position in live at which the set for short work begins, which is the end
// of live. Cold endpoints within it do not count towards its size.
func (m *passModel) shortSetStart(now time.Duration, p *pool) int {
	size := m.shortSetSize(p)
	if !p.hasCold(now) {
		return len(p.live) - size
	}
	start := len(p.live)
	for start > 0 && size > 0 {
		start--
		if !p.live[start].isCold(now) {
			size--
		}
	}
	return start
}

// coldPenalty returns the seconds that count against a cold endpoint for short work. Work that misses
// its objective in any case bears the grant.
func coldPenalty(it *item) float64 {
	if it.level > 0 {
		return 0
	}
	return coldPenaltySeconds
}

// bearsGrant reports whether the work has time to wait for a grant.
func (it *item) bearsGrant(now time.Duration) bool {
	return it.level > 0 || it.objective-now >= coldObjective
}
