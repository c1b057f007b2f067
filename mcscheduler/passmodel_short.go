package mcscheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// shortSlotShare is the target utilization of engine slots by which the set of
	// engines for short work is sized.
	shortSlotShare = 2.0 / 3
	// assumedSlots is the number of slots assumed for engines that do not publish it.
	assumedSlots = 16
	// spareShortEngines is the number of engines in the set beyond the current demand.
	spareShortEngines = 1
	// outsideSetPenaltySeconds counts against engines outside the set when short work
	// is placed.
	outsideSetPenaltySeconds = 0.17
	// crowdingPenaltySeconds is the expected delay of a first token on an engine that
	// is almost full, because other instances may take its last slot at the same time.
	crowdingPenaltySeconds = 0.15
	// lateReservedSlots is the number of slots of each engine that late work, which can
	// no longer meet its objective, leaves free.
	lateReservedSlots = 2
	// peerViewAgeSeconds is the usual age of the information about peers' work.
	peerViewAgeSeconds = 0.15
	// peerSpreadSeconds is the largest delay of a first token that is accepted so that
	// instances choose different engines. It is below outsideSetPenaltySeconds, because
	// all instances use the same set.
	peerSpreadSeconds = 0.15
	// shortWaitLimitSeconds keeps short work queued while every engine would be busy
	// with earlier prefill for longer.
	shortWaitLimitSeconds = 0.25
)

// shortSetSize returns the number of engines that short work shares. They are the last
// ones in rendezvous order.
func (m *passModel) shortSetSize(p *pool) int {
	slots := p.figures.Slots
	if slots == 0 {
		slots = assumedSlots
	}
	n := int(float64(p.shortInFlight+p.peerShortInFlight)/(shortSlotShare*float64(slots))) + 1 + spareShortEngines
	return min(n, len(p.live)-p.yield.reserved)
}

// placeShort chooses the engine with the earliest first token and prefers those in the
// set.
func (m *passModel) placeShort(now time.Duration, it *item) (placement, placementResult) {
	p, result, least := it.pool, noEndpoint, math.Inf(1)
	// Subsets and yielding were measured apart only, so that yielding goes without subsets.
	outside, peak := m.shortSetStart(now, p), m.isPeak(it) && !m.s.settings.Yield
	for i, e := range p.live {
		p.scores[i] = math.Inf(1)
		if reason := m.eligibility(now, it, e); reason != placed {
			result = max(result, reason)
			continue
		}
		if it.level > 0 && e.slots > 0 && e.requests(now) >= e.slots-lateReservedSlots {
			// The last slots are reserved for work that can still meet its objective.
			result = max(result, noMemory)
			continue
		}
		wait := m.wait(now, e)
		if wait > shortWaitLimitSeconds {
			result = max(result, endpointsBusy)
			continue
		}
		p.scores[i] = wait + m.firstTokenDelay(now, it, e) + m.crowdingDelay(now, e)
		switch {
		case e.isCold(now):
			p.scores[i] += coldPenalty(it)
		case i < outside:
			p.scores[i] += outsideSetPenaltySeconds
		}
		if peak && !m.s.inSubset(i) {
			p.scores[i] += outsideSubsetPenaltySeconds
		}
		least = min(least, p.scores[i])
	}
	if math.IsInf(least, 1) {
		return placement{}, result
	}
	nearest := least*(1+nearBestMargin) + nearBestTolerance
	limit := max(nearest, least+m.s.spreadSeconds())
	if !peak {
		limit = max(nearest, min(m.peerSpreadLimit(it), least+peerSpreadSeconds))
	}
	var e *endpoint
	if peak || m.s.settings.Yield && p.figures.Slots > 0 {
		e = m.drawByFreeSlots(now, p, nearest, limit)
	} else {
		e = m.drawWithin(now, p, limit)
	}
	return placement{endpoint: e, wait: m.wait(now, e), prefill: it.prefill, firstTokenDelay: m.firstTokenDelay(now, it, e)}, placed
}

// peerSpreadLimit returns the score up to which engines are drawn at random. The draw
// covers as many engines as peers are expected to have chosen since their last report,
// as all of them see the same best engine.
func (m *passModel) peerSpreadLimit(it *item) float64 {
	p := it.pool
	unreported := int(math.Ceil(p.unreportedShort(it)))
	if unreported == 0 {
		return 0
	}
	p.sortedScores = append(p.sortedScores[:0], p.scores...)
	slices.Sort(p.sortedScores)
	return p.sortedScores[min(unreported, len(p.sortedScores)-1)]
}

// crowdingDelay returns the expected delay in seconds on an engine whose slots are
// almost all taken.
func (m *passModel) crowdingDelay(now time.Duration, e *endpoint) float64 {
	if e.slots == 0 {
		return 0
	}
	utilization := float64(e.requests(now)) / float64(e.slots)
	return crowdingPenaltySeconds * utilization * utilization * utilization * utilization
}

// wait predicts the seconds until the engine has finished the prefill that it was sent
// before.
func (m *passModel) wait(now time.Duration, e *endpoint) float64 {
	rate := e.rate()
	ahead, _ := e.backlog(now, 0, rate)
	return ahead / rate
}

// firstTokenDelay predicts the seconds from the start of the item's prefill to its
// first token.
func (m *passModel) firstTokenDelay(now time.Duration, it *item, e *endpoint) float64 {
	delay := float64(it.prefill) / e.rate()
	if e.requests(now) > 0 {
		delay += passesBeforeFirstToken * it.pool.passSeconds() * e.currentSlowdown(now)
	}
	return delay
}
