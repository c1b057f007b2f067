package mcscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shortStallLimitSeconds is the longest prefill in one pass that keeps the pauses
	// of short streams within their bounds.
	shortStallLimitSeconds = 0.15
	// longWaitLimitSeconds keeps long work queued while its engines would be busy with
	// earlier prefill for longer. Engines prefill parts ahead of what they have, so that
	// other requests would wait in its place.
	longWaitLimitSeconds = 0.05
	// earlyEnoughShare is the share of the time to the objective within which a first
	// token is early enough, so that no more helpers are added.
	earlyEnoughShare = 0.45
	// longStallLimitSeconds is the longest prefill that keeps the pauses of long
	// streams within their usual bounds of 600 ms and more.
	longStallLimitSeconds = 0.35
	// partLimitSeconds is the longest part that is prefilled when shorter ones finish
	// as early: an engine with a longer part cannot take streams with bounded pauses.
	partLimitSeconds = 0.3
	// longStreamWeight is the number of short streams whose pauses weigh as much as
	// those of a long one.
	longStreamWeight = 6
	// streamPenaltySeconds counts against helpers that have streams, since engines with
	// streams are preferred for decoding.
	streamPenaltySeconds = 0.3
	// longPrefillPenaltySeconds counts against helpers that still prefill a long prompt
	// of their own, because engines run parts for others first.
	longPrefillPenaltySeconds = 0.3
	// idlePenaltySeconds counts against decoding on an engine without streams.
	idlePenaltySeconds = 0.2
	// latePartLimitSeconds is the longest part of a request that misses its objective
	// in any case; such a request does not justify blocking engines for longer.
	latePartLimitSeconds = 1.0
	// latePartFactor bounds the part relative to the part with all engines, for prompts
	// that even all engines together cannot prefill in parts of latePartLimitSeconds.
	latePartFactor = 1.5
	// typicalParts is the number of parts assumed when engines are ranked.
	typicalParts = 6
	// maxShardKVShare is the share of an engine's KV memory that one prompt may take
	// when it is divided among engines, of which there are at most maxKVShards.
	maxShardKVShare = 0.6
	maxKVShards     = 4
	// maxStalledWeight is the largest weight of the streams that may be stalled for a
	// long request that would otherwise miss its objective. It allows a few short
	// streams but no long one.
	maxStalledWeight = 4
)

type (
	// candidate is an engine that could prefill a part of a long prompt.
	candidate struct {
		endpoint *endpoint
		// rate is in prompt tokens per second, wait in seconds.
		rate, wait float64
		// score is the predicted time in seconds to the end of a typical part plus
		// penalties.
		score float64
		// fitsPrompt is true if the engine has room to hold the prompt, or its own
		// share of a divided one, and the output.
		fitsPrompt bool
		// cold is true for a cold engine, which takes no part of a prompt for another one.
		cold bool
		// streamWeight is the weight of the streams on the engine, and stallLimit the
		// longest prefill in seconds that keeps their pauses within their bounds.
		streamWeight int
		stallLimit   float64
	}

	// plan is a way to prefill a long prompt.
	plan struct {
		engines    int
		firstToken float64
		// stalledWeight is the weight of the streams whose pauses would be too long.
		stalledWeight int
		wait          float64
	}
)

// shardKV divides the KV memory of a prompt evenly among as few engines as possible.
// One prompt takes at most maxShardKVShare of an engine, so that memory stays free for
// other requests. The item's kv becomes the memory on the first engine: one shard, the
// rounding remainder and the output.
func (m *passModel) shardKV(it *item) bool {
	p := it.pool
	view := it.view()
	shardLimit := int64(maxShardKVShare * float64(view.largestCapacity))
	if !p.publishesFigures() || it.work.IsolateSuspect || shardLimit <= 0 {
		return false
	}
	shards := int((it.kv + shardLimit - 1) / shardLimit)
	if shards > maxKVShards || shards > view.live {
		return false
	}
	it.kvShards, it.kvPerShard = shards, it.work.PromptTokens/int64(shards)
	it.kv = it.work.PromptTokens - it.kvPerShard*int64(shards-1) + it.work.OutputTokens
	return true
}

// placeLong chooses engines that prefill equal parts of the prompt. The first one also
// holds the KV memory and decodes the output.
func (m *passModel) placeLong(now time.Duration, it *item) (placement, placementResult) {
	if result := m.rankCandidates(now, it); result != placed {
		return placement{}, result
	}
	best, ok := m.choosePlan(now, it)
	if !ok {
		return placement{}, endpointsBusy
	}
	decoder := m.chosen[0]
	at := placement{
		endpoint: decoder.endpoint, wait: best.wait, firstTokenDelay: best.firstToken - best.wait,
		prefill: it.prefill / int64(best.engines),
	}
	for _, c := range m.chosen[1:] {
		at.helpers = append(at.helpers, c.endpoint)
	}
	return at, placed
}

// rankCandidates fills candidates with the live engines, sorted by score. It fails
// unless at least one of them has room for the prompt.
func (m *passModel) rankCandidates(now time.Duration, it *item) placementResult {
	result, typicalPart, anyFits := noEndpoint, float64(it.prefill)/typicalParts, false
	m.candidates, m.warmCandidates = m.candidates[:0], 0
	reserved, waits := it.pool.yield.reserved, m.waitsForReserved(now, it)
	for i, e := range it.pool.live {
		if it.excludes(e) {
			continue
		}
		if waits && i >= reserved && e.requests(now) > 0 {
			result = max(result, endpointsBusy)
			continue
		}
		if e.isPaused(now) {
			// The endpoint gets no part of the prompt either.
			result = max(result, noMemory)
			continue
		}
		reason := m.eligibility(now, it, e)
		c := candidate{endpoint: e, rate: e.rate(), wait: m.wait(now, e), fitsPrompt: reason == placed, cold: e.isCold(now)}
		c.describeStreams()
		c.score = c.wait + typicalPart/c.rate
		if c.streamWeight > 0 {
			c.score += streamPenaltySeconds
		}
		if e.hasLongPrefill() {
			c.score += longPrefillPenaltySeconds
		}
		anyFits = anyFits || c.fitsPrompt
		result = max(result, reason)
		if !c.cold {
			m.warmCandidates++
		}
		m.candidates = append(m.candidates, c)
	}
	if !anyFits {
		return result
	}
	slices.SortStableFunc(m.candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return placed
}

// describeStreams records the streams on the engine and the longest prefill that they
// tolerate.
func (c *candidate) describeStreams() {
	e := c.endpoint
	shorts, longs := e.shortInFlight+e.peerShortInFlight, e.longInFlight
	for _, p := range e.peers {
		longs += p.longCount
	}
	c.streamWeight, c.stallLimit = shorts+longStreamWeight*longs, math.Inf(1)
	switch {
	case shorts > 0:
		c.stallLimit = shortStallLimitSeconds
	case longs > 0:
		c.stallLimit = longStallLimitSeconds
	}
}

// choosePlan compares the plans with one engine, two and so on. It prefers plans that
// stall no stream; plans that stall a few are considered for work that would otherwise
// miss its objective.
func (m *passModel) choosePlan(now time.Duration, it *item) (plan, bool) {
	left := (it.objective - now).Seconds()
	var best plan
	maxEngines := min(len(m.candidates), maxHelpers+1)
	if it.work.IsolateSuspect {
		maxEngines = 1
	}
	for k := max(1, it.kvShards); k <= maxEngines; k++ {
		pl, ok := m.selectEngines(now, it, k, false)
		ok = ok && pl.wait <= longWaitLimitSeconds
		if ok && (best.engines == 0 || pl.firstToken < best.firstToken) {
			best = pl
		}
		if ok && pl.firstToken <= earlyEnoughShare*left && it.partSeconds(pl) <= partLimitSeconds {
			break
		}
	}
	if best.engines > 0 && (best.firstToken <= left || m.missesObjective(now, it) && it.partSeconds(best) <= it.latePartLimit(now)) {
		return m.selectEngines(now, it, best.engines, false)
	}
	// No plan without stalls is usable. The work stays queued until engines become free,
	// unless a plan with few stalls meets its objective.
	return m.chooseStallingPlan(now, it, left, maxEngines)
}

// chooseStallingPlan returns the plan that meets the objective and stalls the fewest
// streams by weight.
func (m *passModel) chooseStallingPlan(now time.Duration, it *item, left float64, maxEngines int) (plan, bool) {
	var least plan
	for k := max(1, it.kvShards); k <= maxEngines; k++ {
		pl, ok := m.selectEngines(now, it, k, true)
		if ok && pl.wait <= longWaitLimitSeconds && pl.firstToken <= left && (least.engines == 0 || pl.stalledWeight < least.stalledWeight) {
			least = pl
		}
	}
	if least.engines == 0 || least.stalledWeight > maxStalledWeight {
		return plan{}, false
	}
	return m.selectEngines(now, it, least.engines, true)
}

// partSeconds returns the time in which an engine at its published speed prefills one
// part of the plan.
func (it *item) partSeconds(pl plan) float64 { return it.prefillSeconds / float64(pl.engines) }

// latePartLimit returns the longest part in seconds for work that misses its objective.
func (it *item) latePartLimit(now time.Duration) float64 {
	maxEngines := max(1, min(it.warmCount(now), maxHelpers+1))
	return max(latePartLimitSeconds, latePartFactor*it.prefillSeconds/float64(maxEngines))
}

// selectEngines chooses the given number of engines for equal parts of the prompt, the
// decoding one first, and predicts the first token. Unless allowed to stall streams, it
// takes only engines whose streams tolerate the prefill.
func (m *passModel) selectEngines(now time.Duration, it *item, engines int, allowStalls bool) (plan, bool) {
	part := float64(it.prefill) / float64(engines)
	// If all warm engines are needed as helpers, only a cold one can decode.
	decoder := m.selectDecoder(part, allowStalls, it.bearsGrant(now), engines > m.warmCandidates)
	if decoder < 0 {
		return plan{}, false
	}
	m.chosen = append(m.chosen[:0], m.candidates[decoder])
	for i, c := range m.candidates {
		if len(m.chosen) == engines {
			break
		}
		holdsShard := len(m.chosen) < it.kvShards
		if i == decoder || c.cold || !allowStalls && !c.withinStallLimit(part) || holdsShard && c.endpoint.free(now) < it.kvPerShard {
			continue
		}
		m.chosen = append(m.chosen, c)
	}
	if len(m.chosen) < engines {
		return plan{}, false
	}
	return m.predictPlan(it, part), true
}

// selectDecoder returns the index of the best candidate for decoding, or -1 if none has
// room. Work that bears the wait for a grant prefers a cold engine to an idle warm one.
func (m *passModel) selectDecoder(part float64, allowStalls, bearsGrant, mustBeCold bool) int {
	best, least := -1, math.Inf(1)
	for i := range m.candidates {
		c := &m.candidates[i]
		if !c.fitsPrompt || mustBeCold && !c.cold || !allowStalls && !c.withinStallLimit(part) {
			continue
		}
		score := c.wait + part/c.rate + float64(c.stalledWeight(part))
		if c.streamWeight == 0 && !(c.cold && bearsGrant) {
			score += idlePenaltySeconds
		}
		if score < least {
			best, least = i, score
		}
	}
	return best
}

// predictPlan returns the plan for the chosen engines.
func (m *passModel) predictPlan(it *item, part float64) plan {
	pl, prefillEnd := plan{engines: len(m.chosen)}, 0.0
	for _, c := range m.chosen {
		pl.wait = max(pl.wait, c.wait)
		prefillEnd = max(prefillEnd, c.wait+part/c.rate)
		pl.stalledWeight += c.stalledWeight(part)
	}
	pl.firstToken = prefillEnd + passesBeforeFirstToken*it.pool.passSeconds()
	return pl
}

// withinStallLimit reports whether the streams on the engine tolerate the prefill of a
// part.
func (c *candidate) withinStallLimit(tokens float64) bool {
	return c.wait+tokens/c.rate <= c.stallLimit
}

// stalledWeight returns the weight of the streams that the prefill of a part would
// stall.
func (c *candidate) stalledWeight(tokens float64) int {
	if c.withinStallLimit(tokens) {
		return 0
	}
	return c.streamWeight
}
