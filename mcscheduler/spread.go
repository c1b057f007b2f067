package mcscheduler

import (
	"math"
	"slices"
	"time"

	"marigoldcroft"
)

// The load that this file answers: a peak of short requests at many instances, each of which sees a
// few of them and learns of the others' with a delay. An engine that looks idle is then chosen by all
// instances at once, and requests wait for its slots while other engines have free ones.

const (
	// subsetReportAgeSeconds is the usual age of what is known of the work of this instance's subset,
	// and farReportAgeSeconds that of the work of other instances. Members of a subset push their work
	// to each other; it reaches the others by the regular exchange.
	subsetReportAgeSeconds = peerViewAgeSeconds
	farReportAgeSeconds    = 0.6
	// outsideSubsetPenaltySeconds counts against engines of other subsets. With it, a request that
	// leaves its subset can still meet an objective of 250 ms on an idle engine.
	outsideSubsetPenaltySeconds = 0.12
	// subsetSpreadSeconds is the largest delay of a first token that is accepted, where there are
	// subsets, so that instances choose different engines. It keeps requests in their subset while
	// that has a free engine.
	subsetSpreadSeconds = 0.08
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

// unreportedShort estimates the number of short requests that peers have placed on the engine since
// their last reports: the arrival rate, by Little's law from the requests in flight, times the age of
// the reports.
func (m *passModel) unreportedShort(it *item, position int) float64 {
	age := subsetReportAgeSeconds
	if !m.s.inSubset(position) {
		age = farReportAgeSeconds
	}
	return float64(it.pool.live[position].peerShortInFlight) / max(it.pool.residenceSeconds(it), age) * age
}

// drawByFreeSlots draws one of the engines whose score is near the least one. The requests that peers
// have not reported yet are assumed to fill the engines up to one level, as they would if each went to
// the engine with the fewest requests, and an engine is drawn with the probability of its share in them.
// Dahlin describes the method in "Interpreting stale load information" (1999).
func (m *passModel) drawByFreeSlots(now time.Duration, it *item, least float64) *endpoint {
	p, unreported := it.pool, 0.0
	for i := range p.live {
		unreported += m.unreportedShort(it, i)
	}
	// Without unreported requests, the best engine of the view is the best one.
	nearest := least*(1+nearBestMargin) + nearBestTolerance
	limit := max(nearest, least+m.s.spreadSeconds()*min(1, unreported))
	p.nearBest, p.sortedScores = p.nearBest[:0], p.sortedScores[:0]
	unreported = 1
	for i, e := range p.live {
		// A cold endpoint is no substitute for a warm one, as it may refuse the request.
		if p.scores[i] <= nearest || p.scores[i] <= limit && !e.isCold(now) {
			p.nearBest = append(p.nearBest, int32(i))
			p.sortedScores = append(p.sortedScores, float64(e.requests(now)))
			unreported += m.unreportedShort(it, i)
		}
	}
	slices.Sort(p.sortedScores)
	level := fillLevel(p.sortedScores, unreported)
	draw := m.s.random.Float64() * unreported
	var last *endpoint
	for _, i := range p.nearBest {
		e := p.live[i]
		share := level - float64(e.requests(now))
		if share <= 0 {
			continue
		}
		last = e
		if draw -= share; draw < 0 {
			break
		}
	}
	return last
}

// fillLevel returns the level that sorted loads reach if the given amount of work always goes to the
// least of them.
func fillLevel(loads []float64, work float64) float64 {
	for i := 1; i < len(loads); i++ {
		step := (loads[i] - loads[i-1]) * float64(i)
		if step >= work {
			return loads[i-1] + work/float64(i)
		}
		work -= step
	}
	if len(loads) == 0 {
		return math.Inf(1)
	}
	return loads[len(loads)-1] + work/float64(len(loads))
}
