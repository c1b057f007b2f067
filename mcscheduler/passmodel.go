package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// shortPrefillLimit is the longest prefill of a short request. Beside streams, it
	// leaves pauses within the usual bound of 250 ms.
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

// passModel places work by the published figures of the engines. Engines prefill
// prompts in order of arrival, within the passes that also decode, so a long prefill
// delays the first token of everything behind it and pauses the streams beside it.
// Short requests share a set of engines sized by demand. Long prompts are prefilled in
// parts by several of the other engines in parallel.
type passModel struct {
	s *scheduler
	// candidates and chosen are buffers that are reused between calls.
	candidates, chosen []candidate
}

// publishesFigures reports whether the engines of the pool have published their
// figures.
func (p *pool) publishesFigures() bool { return p.figures.PrefillTokensPerSecond > 0 }

// effectiveTokens returns the prompt length in tokens of equal cost: attention to
// earlier tokens and the steps of the prefill chunks count as additional tokens.
func (p *pool) effectiveTokens(prompt int64) int64 {
	f := &p.figures
	if !p.publishesFigures() {
		return prompt
	}
	n := float64(prompt)
	s := n/f.PrefillTokensPerSecond + n*n/2/1e6*f.PrefillTimePerMegaPair.Seconds()
	if f.ChunkTokens > 0 {
		s += math.Ceil(n/float64(f.ChunkTokens)) * f.StepTime.Seconds()
	}
	return int64(s * f.PrefillTokensPerSecond)
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

// prepare chooses the lane and the order. Work that can still meet its objective goes
// first, sorted by objective; the rest follows, sorted by deadline.
func (r *passModel) prepare(now time.Duration, it *item) {
	it.work.Team = ""
	it.lane = laneShort
	switch {
	case it.work.IsolateSuspect:
		it.lane = laneSuspect
	case it.class != marigoldcroft.ClassShort:
		it.lane = laneLong
	}
	if it.pool.publishesFigures() {
		it.expiry -= seconds(it.prefillSeconds / float64(max(1, min(len(it.pool.live), maxHelpers))))
	}
	it.objective = it.deadline
	if !it.work.Objective.IsZero() {
		it.objective = min(it.objective, r.s.since(it.work.Objective))
	}
	it.work.Urgency = marigoldcroft.UrgencyInteractive
	if r.missesObjective(now, it) {
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
func (r *passModel) missesObjective(now time.Duration, it *item) bool {
	least := it.prefillSeconds
	if it.class != marigoldcroft.ClassShort {
		least /= float64(max(1, min(len(it.pool.live), maxHelpers)))
	} else if it.pool.publishesFigures() {
		least += passesBeforeFirstToken*it.pool.passSeconds() + lateMarginSeconds
	}
	return now+seconds(least) > it.objective
}

func (r *passModel) maxSkips() int { return maxSkipped }

func (r *passModel) tick(time.Duration, *pool) {}

func (r *passModel) resolveBlocked(time.Duration, *item, placementResult) *item { return nil }

func (r *passModel) place(now time.Duration, it *item) (placement, placementResult) {
	switch {
	case !it.pool.publishesFigures():
		return r.placeServiceCall(now, it)
	case it.class == marigoldcroft.ClassShort:
		return r.placeShort(now, it)
	}
	return r.placeLong(now, it)
}

// eligibility returns whether the item may go to the endpoint, regardless of the wait
// there.
func (r *passModel) eligibility(now time.Duration, it *item, e *endpoint) placementResult {
	switch {
	case it.excludes(e) || e.capacity < it.kv:
		return noEndpoint
	case e.slotsFull(now) || e.free(now) < it.kv:
		return noMemory
	case it.work.IsolateSuspect && e.suspectsInFlight > 0:
		return endpointsBusy
	}
	return placed
}

// placeServiceCall chooses the server of a plain service with the lowest utilization,
// scaled by its slowdown.
func (r *passModel) placeServiceCall(now time.Duration, it *item) (placement, placementResult) {
	p, why, least := it.pool, noEndpoint, math.Inf(1)
	for i, e := range p.live {
		p.scores[i] = math.Inf(1)
		if reason := r.eligibility(now, it, e); reason != placed {
			why = max(why, reason)
			continue
		}
		p.scores[i] = (float64(e.requests(now)) + 1) / float64(max(1, e.slots)) * e.currentSlowdown(now)
		least = min(least, p.scores[i])
	}
	if math.IsInf(least, 1) {
		return placement{}, why
	}
	return placement{endpoint: r.drawWithin(now, p, least*(1+nearCallMargin)), prefill: 1}, placed
}

// drawWithin draws one of the endpoints whose score is within the limit.
func (r *passModel) drawWithin(now time.Duration, p *pool, limit float64) *endpoint {
	p.nearBest = p.nearBest[:0]
	for i, score := range p.scores {
		if score <= limit {
			p.nearBest = append(p.nearBest, int32(i))
		}
	}
	return r.s.drawNearBest(now, p)
}

// admit refuses work that cannot end before its deadline.
func (r *passModel) admit(now time.Duration, it *item, at placement, why placementResult) (marigoldcroft.Reason, float64, float64) {
	p := it.pool
	if !p.publishesFigures() {
		return marigoldcroft.ReasonNone, 0, 0
	}
	left := (it.deadline - now).Seconds() / (1 + deadlineMargin)
	start, prefill := at.wait, at.firstTokenDelay
	if why != placed {
		start, prefill = r.queueWait(now, it)
	}
	switch {
	case start+prefill+p.streamSeconds(&it.work) <= left:
		return marigoldcroft.ReasonNone, start, start
	case why == placed || start == 0:
		// The prediction says that the work would fail even on an idle fleet. It is
		// admitted all the same, because the prediction may be wrong.
		return marigoldcroft.ReasonNone, start, start
	case it.class == marigoldcroft.ClassLong:
		return marigoldcroft.ReasonLongSaturated, start, start
	}
	return marigoldcroft.ReasonDeadline, start, start
}

// queueWait predicts the seconds until new work of the queue starts, and the seconds of
// its prefill.
func (r *passModel) queueWait(now time.Duration, it *item) (start, prefill float64) {
	p := it.pool
	n := float64(max(1, len(p.live)))
	ahead := 0.0
	for level := range p.lanes[it.lane].seconds {
		ahead += p.lanes[it.lane].seconds[level]
	}
	if it.class == marigoldcroft.ClassShort {
		slots := 0
		for _, e := range p.live {
			slots += e.slots
		}
		hold := p.residenceSeconds(it)
		return float64(p.lanes[it.lane].count+1) * hold / float64(max(1, slots)), it.prefillSeconds
	}
	for _, e := range p.live {
		ahead += r.wait(now, e)
	}
	return ahead / n, it.prefillSeconds / n
}
