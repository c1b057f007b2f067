package mcscheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// shortSlotShare is the share of an engine's slots by which the set of engines for short work
	// is sized.
	shortSlotShare = 2.0 / 3
	// assumedSlots stands for the slots of engines that do not tell them.
	assumedSlots = 16
	// spareShortEngines are kept in the set beyond the present demand.
	spareShortEngines = 1
	// outsideSetPenaltySeconds counts against an engine outside the set when short work is placed.
	outsideSetPenaltySeconds = 0.17
	// crowdingPenaltySeconds is what an engine whose slots are all taken but one is expected to delay a
	// first token, in seconds, as other instances may fill the last one at the same time.
	crowdingPenaltySeconds = 0.15
	// lateReservedSlots is the number of an engine's slots that late work leaves free.
	lateReservedSlots = 2
	// peerViewAgeSeconds in seconds is the usual age of what is known of peers' work.
	peerViewAgeSeconds = 0.15
	// peerSpreadSeconds in seconds bounds the later first token that is accepted so that instances
	// choose different engines; outsideSet is above it, as the set holds for all of them.
	peerSpreadSeconds = 0.15
	// shortWaitLimitSeconds holds short work back while every engine reads for longer, in seconds.
	shortWaitLimitSeconds = 0.25
)

// shortSetSize returns the number of engines that short work shares.
func (r *passModel) shortSetSize(p *pool) int {
	slots := p.figures.Slots
	if slots == 0 {
		slots = assumedSlots
	}
	n := int(float64(p.shortInFlight+p.peerShortInFlight)/(shortSlotShare*float64(slots))) + 1 + spareShortEngines
	return min(n, len(p.live))
}

// placeShort chooses the engine with the earliest first token, those of the set first.
func (r *passModel) placeShort(now time.Duration, it *item) (placement, placementResult) {
	p, why, least := it.pool, noEndpoint, math.Inf(1)
	outside := len(p.live) - r.shortSetSize(p)
	for i, e := range p.live {
		p.scores[i] = math.Inf(1)
		if reason := r.eligibility(now, it, e); reason != placed {
			why = max(why, reason)
			continue
		}
		if it.level > 0 && e.slots > 0 && e.requests(now) >= e.slots-lateReservedSlots {
			// The last slots are for work that can still be in time.
			why = max(why, noMemory)
			continue
		}
		wait := r.wait(now, e)
		if wait > shortWaitLimitSeconds {
			why = max(why, endpointsBusy)
			continue
		}
		p.scores[i] = wait + r.firstTokenDelay(now, it, e) + r.crowdingDelay(now, e)
		if i < outside {
			p.scores[i] += outsideSetPenaltySeconds
		}
		least = min(least, p.scores[i])
	}
	if math.IsInf(least, 1) {
		return placement{}, why
	}
	limit := max(least*(1+nearBestMargin)+nearBestTolerance, min(r.peerSpreadLimit(it), least+peerSpreadSeconds))
	e := r.drawWithin(now, p, limit)
	return placement{endpoint: e, wait: r.wait(now, e), prefill: it.prefill, firstTokenDelay: r.firstTokenDelay(now, it, e)}, placed
}

// peerSpreadLimit returns the score up to which as many engines are drawn from as peers are
// expected to have chosen since they were last heard. Those peers see the same best engine.
func (r *passModel) peerSpreadLimit(it *item) float64 {
	p := it.pool
	unreported := int(math.Ceil(float64(p.peerShortInFlight) / max(p.residenceSeconds(it), peerViewAgeSeconds) * peerViewAgeSeconds))
	if unreported == 0 {
		return 0
	}
	p.sortedScores = append(p.sortedScores[:0], p.scores...)
	slices.Sort(p.sortedScores)
	return p.sortedScores[min(unreported, len(p.sortedScores)-1)]
}

// crowdingDelay returns the delay in seconds to expect of the engine's last slots.
func (r *passModel) crowdingDelay(now time.Duration, e *endpoint) float64 {
	if e.slots == 0 {
		return 0
	}
	use := float64(e.requests(now)) / float64(e.slots)
	return crowdingPenaltySeconds * use * use * use * use
}

// wait predicts the seconds until the engine has read what it was sent before.
func (r *passModel) wait(now time.Duration, e *endpoint) float64 {
	rate := e.rate()
	ahead, _ := e.backlog(now, 0, rate)
	return ahead / rate
}

// firstTokenDelay predicts the seconds from the start of the item's read to its first token.
func (r *passModel) firstTokenDelay(now time.Duration, it *item, e *endpoint) float64 {
	s := float64(it.prefill) / e.rate()
	if e.requests(now) > 0 {
		s += passesBeforeFirstToken * it.pool.passSeconds() * e.currentSlowdown(now)
	}
	return s
}
