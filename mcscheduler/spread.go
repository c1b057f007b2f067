package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// The load that this file answers: a peak of short requests at many instances, each of which sees a
// few of them and learns of the others' with a delay. An engine that looks idle is then chosen by all
// instances at once, and requests wait for its slots while other engines have free ones.

const (
	// peakArrivals is the number of short requests for each engine that peers have placed there unseen
	// from which on there is a peak. Below it, few of them meet on one engine, and all instances share
	// the set for short work so that the other engines stay free for long prefills.
	peakArrivals = 0.5
	// outsideSubsetPenaltySeconds counts against engines of other subsets. With it, a request that
	// leaves its subset can still meet an objective of 250 ms on an idle engine.
	outsideSubsetPenaltySeconds = 0.12
	// subsetSpreadSeconds is the largest delay of a first token that is accepted, where there are
	// subsets, so that instances choose different engines. It keeps requests in their subset while
	// that has a free engine.
	subsetSpreadSeconds = 0.08
	// minFreeSlots is the number of slots by which a full engine is drawn.
	minFreeSlots = 0.05
)

// subsetCount returns the number of subsets of instances, each of which prefers its own engines.
func (s *scheduler) subsetCount() int { return marigoldcroft.SubsetCount(s.memberCount) }

// inSubset reports whether the engine at the position in the live ones belongs to the subset of this
// instance. Neighbours belong to different subsets, so that each subset has its part of the set for
// short work.
func (s *scheduler) inSubset(position int) bool {
	count := s.subsetCount()
	return count == 1 || s.memberIndex < 0 || position%count == s.memberIndex%count
}

// spreadSeconds returns the largest delay that is accepted so that instances choose different engines.
func (s *scheduler) spreadSeconds() float64 {
	if s.subsetCount() > 1 {
		return subsetSpreadSeconds
	}
	return peerSpreadSeconds
}

// unreportedShort estimates the number of short requests that peers have placed on the engines of the
// pool since their last reports: the arrival rate, by Little's law from the requests in flight, times
// the age of the reports.
func (p *pool) unreportedShort(it *item) float64 {
	return float64(p.peerShortInFlight) / max(p.residenceSeconds(it), peerViewAgeSeconds) * peerViewAgeSeconds
}

// isPeak reports whether so many short requests arrive that instances hinder each other.
func (m *passModel) isPeak(it *item) bool {
	return it.pool.unreportedShort(it) >= peakArrivals*float64(len(it.pool.live))
}

// drawByFreeSlots draws one of the engines whose score is within the limit, with a probability in
// proportion to its free slots. Cold engines are drawn only if their score is within nearest, as they may
// refuse the request. An even draw sends as much to an engine with one free slot as to an idle one. A draw
// that evens out the numbers at once (Dahlin, "Interpreting stale load information", 1999) was worse in the
// emulated peak: all instances correct the same difference before they see each other's correction, and
// their prompts meet in the same passes of the engines that looked idle.
func (m *passModel) drawByFreeSlots(now time.Duration, p *pool, nearest, limit float64) *endpoint {
	p.nearBest = p.nearBest[:0]
	total := 0.0
	for i, e := range p.live {
		if p.scores[i] <= nearest || p.scores[i] <= limit && !e.isCold(now) {
			p.nearBest = append(p.nearBest, int32(i))
			total += e.freeSlots(now)
		}
	}
	draw := m.s.random.Float64() * total
	for _, i := range p.nearBest {
		if draw -= p.live[i].freeSlots(now); draw < 0 {
			return p.live[i]
		}
	}
	return p.live[p.nearBest[len(p.nearBest)-1]]
}

// freeSlots returns the number of free slots as far as is known, or a small number for a full engine:
// slots become free while the reports are on their way.
func (e *endpoint) freeSlots(now time.Duration) float64 {
	slots := e.slots
	if slots == 0 {
		slots = assumedSlots
	}
	return max(minFreeSlots, float64(slots-e.requests(now)))
}
