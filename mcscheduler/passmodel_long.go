package mcscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// stallLimit is the longest read in one pass that leaves pauses of short streams
	// within their bounds, in seconds.
	stallLimit = 0.15
	// longWaitLimit holds long work back while its engines read for longer, in seconds, so
	// that engines stay free for a change of the mix.
	longWaitLimit = 1.0
	// earlyShare of the time to the objective is early enough: no more helpers are taken.
	earlyShare = 0.45
	// longStallLimit is the longest read that leaves pauses of long streams within their
	// usual bounds of 600 ms and more, in seconds.
	longStallLimit = 0.35
	// partLimit is the longest part in seconds that is read while shorter ones are as early: an
	// engine that reads a long one cannot take streams whose pauses are bounded.
	partLimit = 0.3
	// longWeight is the number of short streams whose pauses weigh as much as those of a
	// long one.
	longWeight = 6
	// streamBias in seconds counts against helpers with streams, which others choose for
	// writing; readingBias against those that have the own part of a long prompt to read, as
	// parts for others go first; idleBias against writing on an engine without streams.
	streamBias  = 0.3
	readingBias = 0.3
	idleBias    = 0.2
	// latePartLimit is the longest part in seconds of work that misses its objective in any
	// case: it is not worth engines that are lost to others for longer. lateSpread is how much
	// longer than with all engines a part of a prompt may be that cannot keep to that.
	latePartLimit = 1.0
	lateSpread    = 1.5
	// typicalEngines is the number of parts by which slow engines are compared.
	typicalEngines = 6
	// hostShare is the part of an engine's memory that one prompt may take when it is spread,
	// over maxHosts engines at most.
	hostShare = 0.6
	maxHosts  = 4
	// spreadWaitLimit is the longest wait in seconds for engines that are to keep and read
	// such a prompt.
	spreadWaitLimit = 0.15
	// harmLimit is the weight of the streams that may be stalled for one long request that
	// would otherwise miss its objective: some short ones, no long one.
	harmLimit = 4
)

type (
	// candidate is an engine that could read a part of a long prompt.
	candidate struct {
		endpoint *endpoint
		// rate is in prompt tokens a second, wait in seconds.
		rate, wait float64
		// order is the time in seconds to the end of a usual part, and what speaks against a
		// part there.
		order float64
		// hosting is true if the engine has room for the whole prompt.
		hosting bool
		// streams is the weight of the streams there, and bears the longest read in seconds
		// that leaves their pauses within their bounds.
		streams int
		bears   float64
	}

	// plan is a way to read a long prompt.
	plan struct {
		engines int
		first   float64
		// harm is the weight of the streams that would pause for too long.
		harm int
		wait float64
	}
)

// spread divides the memory of a prompt evenly among as few engines as keep a part of
// their memory free for others.
func (r *passModel) spread(it *item) bool {
	p := it.pool
	share := int64(hostShare * float64(p.largest))
	if !p.known() || it.work.Alone || share <= 0 {
		return false
	}
	hosts := int((it.kv + share - 1) / share)
	if hosts > maxHosts || hosts > len(p.live) {
		return false
	}
	it.hosts, it.held = hosts, it.work.PromptTokens/int64(hosts)
	it.kv = it.work.PromptTokens - it.held*int64(hosts-1) + it.work.OutputTokens
	return true
}

// placeLong chooses engines that read the prompt in even parts. The first one also
// keeps its memory and writes the answer.
func (r *passModel) placeLong(now time.Duration, it *item) (placement, blocked) {
	if why := r.collect(now, it); why != placed {
		return placement{}, why
	}
	best, ok := r.choose(now, it)
	if !ok {
		return placement{}, blockedBusy
	}
	main := r.chosen[0]
	at := placement{
		endpoint: main.endpoint, wait: best.wait, own: best.first - best.wait,
		prefill: it.prefill / int64(best.engines),
	}
	for _, c := range r.chosen[1:] {
		at.parts = append(at.parts, c.endpoint)
	}
	return at, placed
}

// collect fills candidates with the live engines, those first that would read a part the
// earliest. At least one of them has room for the whole prompt.
func (r *passModel) collect(now time.Duration, it *item) blocked {
	why, typical, hosting := blockedGone, float64(it.prefill)/typicalEngines, false
	r.candidates = r.candidates[:0]
	for _, e := range it.pool.live {
		if it.excludes(e) {
			continue
		}
		reason := r.allowed(now, it, e)
		c := candidate{endpoint: e, rate: e.rate(), wait: r.wait(now, e), hosting: reason == placed}
		c.describeStreams()
		c.order = c.wait + typical/c.rate
		if c.streams > 0 {
			c.order += streamBias
		}
		if e.readsOwnLong() {
			c.order += readingBias
		}
		hosting = hosting || c.hosting
		why = max(why, reason)
		r.candidates = append(r.candidates, c)
	}
	if !hosting {
		return why
	}
	slices.SortStableFunc(r.candidates, func(a, b candidate) int { return cmp.Compare(a.order, b.order) })
	return placed
}

// describeStreams notes what streams there are and how long a read they bear.
func (c *candidate) describeStreams() {
	e := c.endpoint
	shorts, longs := e.shorts+e.peerShorts, e.longs
	for _, p := range e.peers {
		longs += p.mains
	}
	c.streams, c.bears = shorts+longWeight*longs, math.Inf(1)
	switch {
	case shorts > 0:
		c.bears = stallLimit
	case longs > 0:
		c.bears = longStallLimit
	}
}

// choose compares the plans with one engine, two and so on: first those that stall no
// stream, then those that stall a few for work that would otherwise miss its objective.
func (r *passModel) choose(now time.Duration, it *item) (plan, bool) {
	left := (it.objective - now).Seconds()
	var best plan
	most := min(len(r.candidates), maxHelpers+1)
	if it.work.Alone {
		most = 1
	}
	for k := max(1, it.hosts); k <= most; k++ {
		pl, ok := r.gather(now, it, k, false)
		if ok && (best.engines == 0 || pl.first < best.first) {
			best = pl
		}
		if ok && pl.first <= earlyShare*left && it.partSeconds(pl) <= partLimit {
			break
		}
	}
	limit := longWaitLimit
	if it.hosts > 0 {
		limit = spreadWaitLimit
	}
	useful := best.engines > 0 && best.wait <= limit
	if useful && (best.first <= left || r.late(now, it) && it.partSeconds(best) <= it.latePart()) {
		return r.gather(now, it, best.engines, false)
	}
	// Work that can still meet its objective waits for engines to come free.
	return r.chooseHarmful(now, it, left, most)
}

// chooseHarmful plans with the least harm to streams that meets the objective.
func (r *passModel) chooseHarmful(now time.Duration, it *item, left float64, most int) (plan, bool) {
	var least plan
	for k := max(1, it.hosts); k <= most; k++ {
		pl, ok := r.gather(now, it, k, true)
		if ok && pl.first <= left && (least.engines == 0 || pl.harm < least.harm) {
			least = pl
		}
	}
	if least.engines == 0 || least.harm > harmLimit {
		return plan{}, false
	}
	return r.gather(now, it, least.engines, true)
}

// partSeconds returns the time in which a usual engine reads a part of the plan.
func (it *item) partSeconds(pl plan) float64 { return it.prefillSeconds / float64(pl.engines) }

// latePart returns the longest part in seconds that is read of late work.
func (it *item) latePart() float64 {
	most := max(1, min(len(it.pool.live), maxHelpers+1))
	return max(latePartLimit, lateSpread*it.prefillSeconds/float64(most))
}

// gather chooses so many engines for even parts of the prompt, the one that writes the
// answer first, and predicts the first token. Unless harming, it takes only engines whose
// streams bear the read.
func (r *passModel) gather(now time.Duration, it *item, engines int, harming bool) (plan, bool) {
	part := float64(it.prefill) / float64(engines)
	writer := r.writer(part, harming)
	if writer < 0 {
		return plan{}, false
	}
	r.chosen = append(r.chosen[:0], r.candidates[writer])
	for i, c := range r.candidates {
		if len(r.chosen) == engines {
			break
		}
		keeps := len(r.chosen) < it.hosts
		if i == writer || !harming && !c.bearing(part) || keeps && c.endpoint.free(now) < it.held {
			continue
		}
		r.chosen = append(r.chosen, c)
	}
	if len(r.chosen) < engines {
		return plan{}, false
	}
	return r.predict(it, part), true
}

// writer returns the candidate that is best to write the answer, or -1 if none has room.
func (r *passModel) writer(part float64, harming bool) int {
	best, least := -1, math.Inf(1)
	for i := range r.candidates {
		c := &r.candidates[i]
		if !c.hosting || !harming && !c.bearing(part) {
			continue
		}
		score := c.wait + part/c.rate + float64(c.harm(part))
		if c.streams == 0 {
			score += idleBias
		}
		if score < least {
			best, least = i, score
		}
	}
	return best
}

// predict returns the plan of the chosen engines.
func (r *passModel) predict(it *item, part float64) plan {
	pl, read := plan{engines: len(r.chosen)}, 0.0
	for _, c := range r.chosen {
		pl.wait = max(pl.wait, c.wait)
		read = max(read, c.wait+part/c.rate)
		pl.harm += c.harm(part)
	}
	pl.first = read + passesAhead*it.pool.passSeconds()
	return pl
}

// bearing tells whether the streams there bear the read of a part of so many tokens.
func (c *candidate) bearing(tokens float64) bool {
	return c.wait+tokens/c.rate <= c.bears
}

// harm returns the weight of the streams that the read of a part would stall.
func (c *candidate) harm(tokens float64) int {
	if c.bearing(tokens) {
		return 0
	}
	return c.streams
}
