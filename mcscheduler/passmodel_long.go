package mcscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shortStallLimitSeconds is the longest read in one pass that leaves pauses of short streams
	// within their bounds, in seconds.
	shortStallLimitSeconds = 0.15
	// longWaitLimitSeconds holds long work back while its engines read for longer, in seconds, so
	// that engines stay free for a change of the mix.
	longWaitLimitSeconds = 1.0
	// earlyEnoughShare of the time to the objective is early enough: no more helpers are taken.
	earlyEnoughShare = 0.45
	// longStallLimitSeconds is the longest read that leaves pauses of long streams within their
	// usual bounds of 600 ms and more, in seconds.
	longStallLimitSeconds = 0.35
	// partLimitSeconds is the longest part in seconds that is read while shorter ones are as early: an
	// engine that reads a long one cannot take streams whose pauses are bounded.
	partLimitSeconds = 0.3
	// longStreamWeight is the number of short streams whose pauses weigh as much as those of a
	// long one.
	longStreamWeight = 6
	// streamPenaltySeconds in seconds counts against helpers with streams, which others choose for
	// writing; readingBias against those that have the own part of a long prompt to read, as
	// parts for others go first; idleBias against writing on an engine without streams.
	streamPenaltySeconds      = 0.3
	longPrefillPenaltySeconds = 0.3
	idlePenaltySeconds        = 0.2
	// latePartLimitSeconds is the longest part in seconds of work that misses its objective in any
	// case: it is not worth engines that are lost to others for longer. lateSpread is how much
	// longer than with all engines a part of a prompt may be that cannot keep to that.
	latePartLimitSeconds = 1.0
	latePartFactor       = 1.5
	// typicalParts is the number of parts by which slow engines are compared.
	typicalParts = 6
	// maxShardKVShare is the part of an engine's memory that one prompt may take when it is spread,
	// over maxHosts engines at most.
	maxShardKVShare = 0.6
	maxKVShards     = 4
	// shardedWaitLimitSeconds is the longest wait in seconds for engines that are to keep and read
	// such a prompt.
	shardedWaitLimitSeconds = 0.15
	// maxStalledWeight is the weight of the streams that may be stalled for one long request that
	// would otherwise miss its objective: some short ones, no long one.
	maxStalledWeight = 4
)

type (
	// candidate is an engine that could read a part of a long prompt.
	candidate struct {
		endpoint *endpoint
		// rate is in prompt tokens a second, wait in seconds.
		rate, wait float64
		// score is the time in seconds to the end of a usual part, and what speaks against a
		// part there.
		score float64
		// fitsPrompt is true if the engine has room for the whole prompt.
		fitsPrompt bool
		// streamWeight is the weight of the streamWeight there, and bears the longest read in seconds
		// that leaves their pauses within their bounds.
		streamWeight int
		stallLimit   float64
	}

	// plan is a way to read a long prompt.
	plan struct {
		engines    int
		firstToken float64
		// stalledWeight is the weight of the streams that would pause for too long.
		stalledWeight int
		wait          float64
	}
)

// shardKV divides the memory of a prompt evenly among as few engines as keep a part of
// their memory free for others.
func (r *passModel) shardKV(it *item) bool {
	p := it.pool
	shardLimit := int64(maxShardKVShare * float64(p.largest))
	if !p.publishesFigures() || it.work.Alone || shardLimit <= 0 {
		return false
	}
	shards := int((it.kv + shardLimit - 1) / shardLimit)
	if shards > maxKVShards || shards > len(p.live) {
		return false
	}
	it.kvShards, it.kvPerShard = shards, it.work.PromptTokens/int64(shards)
	it.kv = it.work.PromptTokens - it.kvPerShard*int64(shards-1) + it.work.OutputTokens
	return true
}

// placeLong chooses engines that read the prompt in even parts. The first one also
// keeps its memory and writes the answer.
func (r *passModel) placeLong(now time.Duration, it *item) (placement, placementResult) {
	if why := r.rankCandidates(now, it); why != placed {
		return placement{}, why
	}
	best, ok := r.choosePlan(now, it)
	if !ok {
		return placement{}, endpointsBusy
	}
	decoder := r.chosen[0]
	at := placement{
		endpoint: decoder.endpoint, wait: best.wait, firstTokenDelay: best.firstToken - best.wait,
		prefill: it.prefill / int64(best.engines),
	}
	for _, c := range r.chosen[1:] {
		at.helpers = append(at.helpers, c.endpoint)
	}
	return at, placed
}

// rankCandidates fills candidates with the live engines, those first that would read a part the
// earliest. At least one of them has room for the whole prompt.
func (r *passModel) rankCandidates(now time.Duration, it *item) placementResult {
	why, typical, hosting := noEndpoint, float64(it.prefill)/typicalParts, false
	r.candidates = r.candidates[:0]
	for _, e := range it.pool.live {
		if it.excludes(e) {
			continue
		}
		reason := r.eligibility(now, it, e)
		c := candidate{endpoint: e, rate: e.rate(), wait: r.wait(now, e), fitsPrompt: reason == placed}
		c.describeStreams()
		c.score = c.wait + typical/c.rate
		if c.streamWeight > 0 {
			c.score += streamPenaltySeconds
		}
		if e.hasLongPrefill() {
			c.score += longPrefillPenaltySeconds
		}
		hosting = hosting || c.fitsPrompt
		why = max(why, reason)
		r.candidates = append(r.candidates, c)
	}
	if !hosting {
		return why
	}
	slices.SortStableFunc(r.candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return placed
}

// describeStreams notes what streams there are and how long a read they bear.
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

// choosePlan compares the plans with one engine, two and so on: first those that stall no
// stream, then those that stall a few for work that would otherwise miss its objective.
func (r *passModel) choosePlan(now time.Duration, it *item) (plan, bool) {
	left := (it.objective - now).Seconds()
	var best plan
	maxEngines := min(len(r.candidates), maxHelpers+1)
	if it.work.Alone {
		maxEngines = 1
	}
	for k := max(1, it.kvShards); k <= maxEngines; k++ {
		pl, ok := r.selectEngines(now, it, k, false)
		if ok && (best.engines == 0 || pl.firstToken < best.firstToken) {
			best = pl
		}
		if ok && pl.firstToken <= earlyEnoughShare*left && it.partSeconds(pl) <= partLimitSeconds {
			break
		}
	}
	limit := longWaitLimitSeconds
	if it.kvShards > 0 {
		limit = shardedWaitLimitSeconds
	}
	useful := best.engines > 0 && best.wait <= limit
	if useful && (best.firstToken <= left || r.missesObjective(now, it) && it.partSeconds(best) <= it.latePartLimit()) {
		return r.selectEngines(now, it, best.engines, false)
	}
	// Work that can still meet its objective waits for engines to come free.
	return r.chooseStallingPlan(now, it, left, maxEngines)
}

// chooseStallingPlan plans with the least harm to streams that meets the objective.
func (r *passModel) chooseStallingPlan(now time.Duration, it *item, left float64, maxEngines int) (plan, bool) {
	var least plan
	for k := max(1, it.kvShards); k <= maxEngines; k++ {
		pl, ok := r.selectEngines(now, it, k, true)
		if ok && pl.firstToken <= left && (least.engines == 0 || pl.stalledWeight < least.stalledWeight) {
			least = pl
		}
	}
	if least.engines == 0 || least.stalledWeight > maxStalledWeight {
		return plan{}, false
	}
	return r.selectEngines(now, it, least.engines, true)
}

// partSeconds returns the time in which a usual engine reads a part of the plan.
func (it *item) partSeconds(pl plan) float64 { return it.prefillSeconds / float64(pl.engines) }

// latePartLimit returns the longest part in seconds that is read of late work.
func (it *item) latePartLimit() float64 {
	maxEngines := max(1, min(len(it.pool.live), maxHelpers+1))
	return max(latePartLimitSeconds, latePartFactor*it.prefillSeconds/float64(maxEngines))
}

// selectEngines chooses so many engines for even parts of the prompt, the one that writes the
// answer first, and predicts the first token. Unless harming, it takes only engines whose
// streams bear the read.
func (r *passModel) selectEngines(now time.Duration, it *item, engines int, allowStalls bool) (plan, bool) {
	part := float64(it.prefill) / float64(engines)
	decoder := r.selectDecoder(part, allowStalls)
	if decoder < 0 {
		return plan{}, false
	}
	r.chosen = append(r.chosen[:0], r.candidates[decoder])
	for i, c := range r.candidates {
		if len(r.chosen) == engines {
			break
		}
		holdsShard := len(r.chosen) < it.kvShards
		if i == decoder || !allowStalls && !c.withinStallLimit(part) || holdsShard && c.endpoint.free(now) < it.kvPerShard {
			continue
		}
		r.chosen = append(r.chosen, c)
	}
	if len(r.chosen) < engines {
		return plan{}, false
	}
	return r.predictPlan(it, part), true
}

// selectDecoder returns the candidate that is best to write the answer, or -1 if none has room.
func (r *passModel) selectDecoder(part float64, allowStalls bool) int {
	best, least := -1, math.Inf(1)
	for i := range r.candidates {
		c := &r.candidates[i]
		if !c.fitsPrompt || !allowStalls && !c.withinStallLimit(part) {
			continue
		}
		score := c.wait + part/c.rate + float64(c.stalledWeight(part))
		if c.streamWeight == 0 {
			score += idlePenaltySeconds
		}
		if score < least {
			best, least = i, score
		}
	}
	return best
}

// predictPlan returns the plan of the chosen engines.
func (r *passModel) predictPlan(it *item, part float64) plan {
	pl, read := plan{engines: len(r.chosen)}, 0.0
	for _, c := range r.chosen {
		pl.wait = max(pl.wait, c.wait)
		read = max(read, c.wait+part/c.rate)
		pl.stalledWeight += c.stalledWeight(part)
	}
	pl.firstToken = read + passesBeforeFirstToken*it.pool.passSeconds()
	return pl
}

// withinStallLimit tells whether the streams there bear the read of a part of so many tokens.
func (c *candidate) withinStallLimit(tokens float64) bool {
	return c.wait+tokens/c.rate <= c.stallLimit
}

// stalledWeight returns the weight of the streams that the read of a part would stall.
func (c *candidate) stalledWeight(tokens float64) int {
	if c.withinStallLimit(tokens) {
		return 0
	}
	return c.streamWeight
}
