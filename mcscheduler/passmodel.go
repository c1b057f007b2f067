package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// shortPrefillLimit is the longest prefill of a short request on engines that publish
	// their figures. It keeps the pauses of streams on the same engine within the usual
	// bound of 250 ms. Elsewhere, Settings.ShortLimit applies.
	shortPrefillLimit = 200 * time.Millisecond
	// lateMarginSeconds is added to the shortest possible time of short work before it
	// counts as late, to allow for passes that also prefill.
	lateMarginSeconds = 0.06
	// maxHelpers is the largest number of helper engines for one prompt.
	maxHelpers = 16
	// passesBeforeFirstToken is the expected number of passes before a first token
	// beside streams: the rest of the running pass and the request's own pass.
	passesBeforeFirstToken = 1.5
)

// passModel places work by the published figures of the engines. An engine runs in
// passes: one pass decodes a few tokens of each stream, as an answer in progress is
// called here, and prefills prompts in order of arrival. A long prefill thus delays the
// first token of everything behind it and pauses the streams on the same engine.
// Short requests share a set of engines sized by demand. Long prompts are prefilled in
// parts by several of the other engines in parallel.
type passModel struct {
	s *scheduler
	// candidates and chosen are buffers that are reused between calls.
	candidates, chosen []candidate
	// warmCandidates is the number of candidates that may help others.
	warmCandidates int
}

// publishesFigures reports whether the engines of the pool have published their
// figures.
func (p *pool) publishesFigures() bool { return p.figures.PrefillTokensPerSecond > 0 }

// effectiveTokens returns the number of tokens that an engine would prefill at its
// published rate in the time that the prompt takes. The time includes attention, which
// grows with the square of the prompt length, and one decoding step for each chunk.
func (p *pool) effectiveTokens(prompt int64) int64 {
	f := &p.figures
	if !p.publishesFigures() {
		return prompt
	}
	n := float64(prompt)
	prefillSeconds := n/f.PrefillTokensPerSecond + n*n/2/1e6*f.PrefillTimePerMegaPair.Seconds()
	if f.ChunkTokens > 0 {
		prefillSeconds += math.Ceil(n/float64(f.ChunkTokens)) * f.StepTime.Seconds()
	}
	return int64(prefillSeconds * f.PrefillTokensPerSecond)
}

// passSeconds returns the time of a pass that decodes without prefill.
func (p *pool) passSeconds() float64 {
	return float64(max(1, p.figures.StepsPerPass)) * p.figures.StepTime.Seconds()
}

// streamSeconds predicts the time from the first to the last token.
func (p *pool) streamSeconds(work *marigoldcroft.Work) float64 {
	output := work.OutputTokens
	if work.ExpectedOutputTokens > 0 {
		output = min(output, work.ExpectedOutputTokens)
	}
	return float64(output) * p.figures.StepTime.Seconds()
}

// slotsFull reports whether the endpoint has no free slot, as far as is known.
func (e *endpoint) slotsFull(now time.Duration) bool {
	return e.slots > 0 && e.requests(now) >= e.slots
}

// prepare chooses the lane and the order, regardless of the team and the requested
// urgency. Work that can still meet its objective goes first, sorted by objective; the
// rest follows, sorted by deadline.
func (m *passModel) prepare(now time.Duration, it *item) {
	it.work.Team = ""
	it.lane = laneShort
	switch {
	case it.work.IsolateSuspect:
		it.lane = laneSuspect
	case it.class != marigoldcroft.ClassShort:
		it.lane = laneLong
	}
	if it.pool.publishesFigures() {
		it.expiry -= seconds(it.prefillSeconds / float64(max(1, min(it.warmCount(now), maxHelpers))))
	}
	it.objective = it.deadline
	if !it.work.Objective.IsZero() {
		it.objective = min(it.objective, m.s.since(it.work.Objective))
	}
	it.work.Urgency = marigoldcroft.UrgencyInteractive
	if m.missesObjective(now, it) {
		it.work.Urgency = marigoldcroft.UrgencyNormal
	}
	it.level = it.urgency()
	it.sortKey = int64(it.objective)
	if it.level > 0 {
		it.sortKey = int64(it.deadline)
	}
}

// missesObjective reports whether the work can no longer meet its objective on any
// placement.
func (m *passModel) missesObjective(now time.Duration, it *item) bool {
	least := it.prefillSeconds
	if it.class != marigoldcroft.ClassShort {
		least /= float64(max(1, min(it.warmCount(now), maxHelpers)))
	} else if it.pool.publishesFigures() {
		least += passesBeforeFirstToken*it.pool.passSeconds() + lateMarginSeconds
	}
	return now+seconds(least) > it.objective
}

func (m *passModel) maxSkips() int { return maxSkipped }

func (m *passModel) tick(now time.Duration, p *pool) {
	if m.s.settings.Yield {
		m.updateReservation(now, p)
	}
}

func (m *passModel) resolveBlocked(time.Duration, *item, placementResult) *item { return nil }

func (m *passModel) place(now time.Duration, it *item) (placement, placementResult) {
	switch {
	case !it.pool.publishesFigures():
		return m.placeServiceCall(now, it)
	case it.class == marigoldcroft.ClassShort:
		return m.placeShort(now, it)
	}
	return m.placeLong(now, it)
}

// eligibility returns placed if the item may go to the endpoint, regardless of the wait
// there, and otherwise the reason why it may not.
func (m *passModel) eligibility(now time.Duration, it *item, e *endpoint) placementResult {
	switch {
	case it.excludes(e) || e.capacity < it.kv:
		return noEndpoint
	case e.isPaused(now) || e.coldFull(now) || e.slotsFull(now) || e.free(now) < it.kv:
		return noMemory
	case it.work.IsolateSuspect && e.suspectsInFlight > 0:
		return endpointsBusy
	}
	return placed
}

// placeServiceCall chooses the server of a plain service with the lowest utilization,
// scaled by its slowdown.
func (m *passModel) placeServiceCall(now time.Duration, it *item) (placement, placementResult) {
	p, result, least := it.pool, noEndpoint, math.Inf(1)
	for i, e := range p.live {
		p.scores[i] = math.Inf(1)
		if reason := m.eligibility(now, it, e); reason != placed {
			result = max(result, reason)
			continue
		}
		p.scores[i] = (float64(e.requests(now)) + 1) / float64(max(1, e.slots)) * e.currentSlowdown(now)
		if e.isCold(now) {
			p.scores[i] += coldCallPenalty
		}
		least = min(least, p.scores[i])
	}
	if math.IsInf(least, 1) {
		return placement{}, result
	}
	return placement{endpoint: m.drawWithin(now, p, least*(1+nearCallMargin)), prefill: 1}, placed
}

// drawWithin draws one of the endpoints whose score is within the limit.
func (m *passModel) drawWithin(now time.Duration, p *pool, limit float64) *endpoint {
	p.nearBest = p.nearBest[:0]
	for i, score := range p.scores {
		if score <= limit {
			p.nearBest = append(p.nearBest, int32(i))
		}
	}
	return m.s.drawNearBest(now, p)
}

// admit refuses work that cannot end before its deadline.
func (m *passModel) admit(now time.Duration, it *item, at placement, result placementResult) (marigoldcroft.Reason, float64, float64) {
	p := it.pool
	if !p.publishesFigures() {
		return marigoldcroft.ReasonNone, 0, 0
	}
	left := (it.deadline - now).Seconds() / (1 + deadlineMargin)
	start, prefill := at.wait, at.firstTokenDelay
	if result != placed {
		start, prefill = m.queueWait(now, it)
	}
	switch {
	case start+prefill+p.streamSeconds(&it.work) <= left:
		return marigoldcroft.ReasonNone, start, start
	case result == placed || start == 0:
		// By prediction, the work misses its deadline although it can be placed now or has
		// no work ahead of it. It is admitted all the same, because the prediction may be
		// wrong.
		return marigoldcroft.ReasonNone, start, start
	case it.class == marigoldcroft.ClassLong:
		return marigoldcroft.ReasonLongSaturated, start, start
	}
	return marigoldcroft.ReasonDeadline, start, start
}

// queueWait predicts the seconds until new work of the queue starts, and the seconds of
// its prefill.
func (m *passModel) queueWait(now time.Duration, it *item) (start, prefill float64) {
	p := it.pool
	n := float64(max(1, it.liveCount()))
	count, ahead, _ := p.lanes[it.lane].ahead(it, urgencyLevels-1)
	if it.class == marigoldcroft.ClassShort {
		slots, residence := 0, p.residenceSeconds(it)
		for _, e := range p.live {
			if !it.isOutside(e) {
				slots += e.usableSlots(now, residence)
			}
		}
		return float64(count+1) * residence / float64(max(1, slots)), it.prefillSeconds
	}
	for _, e := range p.live {
		if !it.isOutside(e) {
			ahead += m.wait(now, e)
		}
	}
	return ahead / n, it.prefillSeconds / n
}
