package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

// This file decides what runs beside what when capacity is short: short streams beside long prefills,
// and late work beside work that can still meet its objective. Load: a peak at which short work would
// otherwise use every engine. docs/design/yielding.md gives the reasons and the alternatives.

const (
	// demandInterval is the time between two estimates of the demand for long prefill. It is below the
	// age of the peers' reports, so that estimates add no delay of their own.
	demandInterval = 100 * time.Millisecond
	// demandMemory is the time constant of the mean of the estimates. Long requests come a few times a
	// second; a shorter one made the number of reserved engines follow single requests.
	demandMemory = 2 * time.Second
	// longStreamPasses is the usual number of passes in which a long answer is decoded: long answers of
	// the deployments have 15 to 21 events.
	longStreamPasses = 20
	// reservedShare is the share of the engines that is reserved for long work. With a tenth, reads of
	// 45,000 tokens waited past their objective more often than without a reservation.
	reservedShare = 0.15
	// minLongEngines is the demand for long prefill, in engines, below which none is reserved.
	minLongEngines = 0.2
	// reserveBelow and releaseAbove are the utilizations of the reserved engines by long prefill, and
	// of the slots of the others by short work, between which a reservation neither begins nor ends. Above
	// them, a reservation costs more work its objective than it spares pauses.
	reserveBelow = 1.0
	releaseAbove = 1.05
	// longPatience is the share of the time to its objective for which long work waits for reserved
	// engines before it may use others.
	longPatience = 0.25
	// minFreeSlots is the number of slots by which a full engine is drawn: the views are up to 300 ms
	// old, and slots become free meanwhile.
	minFreeSlots = 0.05
)

// yieldState holds what yielding keeps of a pool.
type yieldState struct {
	// longEngines is the mean number of engines that long prefill occupies.
	longEngines float64
	// nextEstimateAt is the time of the next estimate.
	nextEstimateAt time.Duration
	// reserved is the number of engines, counted from the first in rendezvous order, that short work
	// leaves to long work.
	reserved int
}

// updateReservation estimates the demand for long prefill from the long work that is in flight at all
// instances, and the number of engines to reserve for it. All instances use the same order of engines
// and nearly the same loads, so that their reservations are nested.
func (m *passModel) updateReservation(now time.Duration, p *pool) {
	y := &p.yield
	if now < y.nextEstimateAt || !p.publishesFigures() {
		return
	}
	y.nextEstimateAt = now + demandInterval
	y.longEngines += (p.longEnginesInUse() - y.longEngines) * (1 - math.Exp(-demandInterval.Seconds()/demandMemory.Seconds()))
	y.reserved = p.reservation(p.shortInFlight+p.peerShortInFlight, y.longEngines, y.reserved > 0)
}

// reservation returns the number of engines to reserve while long prefill occupies the given number of
// engines: a fixed share, or none if there is hardly any long work or if either kind of work needs more
// than its part. A number that followed the demand differed between instances, whose short and long work
// then met on the engines in between, and changed in the peak itself.
func (p *pool) reservation(shortInFlight int, longEngines float64, reserving bool) int {
	n := int(math.Ceil(reservedShare * float64(len(p.live))))
	limit := reserveBelow
	if reserving {
		limit = releaseAbove
	}
	slots := float64(p.figures.Slots * (len(p.live) - n))
	if longEngines < minLongEngines || longEngines > limit*float64(n) || float64(shortInFlight) > limit*slots {
		return 0
	}
	return n
}

// longEnginesInUse returns the number of engines that the long work in flight keeps prefilling on
// average, by Little's law: each request occupies its prefill time, out of the time that it is in flight.
// The sum is in whole microseconds, because a sum of floats would depend on the map order.
func (p *pool) longEnginesInUse() float64 {
	sum := int64(0)
	for _, e := range p.live {
		for it := e.items; it != nil; it = it.next {
			if it.class != marigoldcroft.ClassShort {
				sum += p.engineShare(it.work.PromptTokens)
			}
		}
		for _, peer := range e.peers {
			if peer.longCount > 0 {
				sum += int64(peer.longCount) * p.engineShare(peer.current.kv/int64(peer.longCount))
			}
		}
	}
	return float64(sum) / 1e6
}

// engineShare returns the millionths of an engine that a long prompt keeps prefilling while its request
// is in flight.
func (p *pool) engineShare(prompt int64) int64 {
	prefill := float64(p.effectiveTokens(prompt)) / p.figures.PrefillTokensPerSecond
	return int64(1e6 * prefill / (prefill/typicalParts + longStreamPasses*p.passSeconds()))
}

// waitsForReserved reports whether long work may use only reserved and idle engines now, because it can
// wait for them within its objective or, once that is missed, its deadline.
func (m *passModel) waitsForReserved(now time.Duration, it *item) bool {
	if it.pool.yield.reserved == 0 || it.work.IsolateSuspect {
		return false
	}
	until := it.objective
	if it.level > 0 {
		until = it.deadline
	}
	return now < it.submitted+time.Duration(longPatience*float64(until-it.submitted))
}

// drawByFreeSlots draws one of the endpoints whose score is within the limit, in proportion to their
// free slots. An even draw sends as much to an engine with one free slot as to an idle one. A draw that
// evens out the numbers at once (Dahlin, "Interpreting stale load information") was worse, because all
// instances correct the same difference before they see each other's correction.
func (m *passModel) drawByFreeSlots(now time.Duration, p *pool, limit float64) *endpoint {
	total := 0.0
	for i, e := range p.live {
		if p.scores[i] > limit {
			p.scores[i] = 0
			continue
		}
		p.scores[i] = max(minFreeSlots, float64(e.slots-e.requests(now)))
		total += p.scores[i]
	}
	drawn, last := m.s.random.Float64()*total, 0
	for i, slots := range p.scores {
		if slots == 0 {
			continue
		}
		last = i
		if drawn -= slots; drawn < 0 {
			break
		}
	}
	return p.live[last]
}
