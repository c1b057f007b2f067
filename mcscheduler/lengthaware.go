package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// nearBestMargin is the margin above the best score within which endpoints are
	// drawn at random. It keeps instances that share a stale report from all choosing
	// the same endpoint.
	nearBestMargin = 0.10
	// nearBestTolerance is a score difference in seconds that is below the accuracy of
	// the predictions.
	nearBestTolerance = 0.002
)

// lengthAware implements the policy that keeps short requests fast beside long ones.
type lengthAware struct{ s *scheduler }

// prepare chooses the lane and subtracts the predicted service time from the expiry.
// Within a team and level, the earliest deadline goes first. Short work of the most
// urgent level counts as due at its start limit: under overload, callers that retry
// return with less and less time left, and by deadline alone each of them would
// overtake admitted work that has waited longer.
func (r *lengthAware) prepare(now time.Duration, it *item) {
	if p := it.pool; p.serviceTimeReliable(now) {
		it.expiry -= seconds(it.prefillSeconds + p.decodeSeconds(it.work.OutputTokens))
	}
	it.level = it.urgency()
	it.sortKey = int64(it.deadline)
	if it.class == marigoldcroft.ClassShort {
		c := &r.s.settings
		it.topLevelSortKey = int64(it.submitted + time.Duration(it.urgency())*c.AgingStep + c.UrgentStartLimit)
		it.setLevel(it.level)
	}
	switch {
	case it.work.IsolateSuspect:
		it.lane = laneSuspect
	case it.class == marigoldcroft.ClassShort:
		it.lane = laneShort
	default:
		it.lane = laneLong
	}
}

func (r *lengthAware) maxSkips() int { return maxSkipped }

func (r *lengthAware) shardKV(*item) bool { return false }

func (r *lengthAware) missesObjective(time.Duration, *item) bool { return false }

// place chooses among all endpoints for short work and among the long set for long
// work, which may also borrow an idle endpoint outside the set.
func (r *lengthAware) place(now time.Duration, it *item) (placement, placementResult) {
	if it.class == marigoldcroft.ClassShort {
		return r.best(now, it, len(it.pool.live))
	}
	at, why := r.best(now, it, it.pool.longSet.size)
	if why == endpointsBusy || why == noMemory {
		if e := r.lendableEndpoint(now, it); e != nil {
			ahead, _ := e.backlog(now, r.s.priority(it), e.rate())
			return placement{endpoint: e, wait: ahead / e.rate(), prefill: it.work.PromptTokens, lent: true}, placed
		}
	}
	return at, why
}

// best returns one of the near-best endpoints among the first eligible ones.
func (r *lengthAware) best(now time.Duration, it *item, first int) (placement, placementResult) {
	p, priority := it.pool, r.s.priority(it)
	var known *prefixEntry
	if entry, ok := p.prefixes.entries[it.work.PrefixHash]; ok && it.work.PrefixHash != 0 {
		known = &entry
	}
	why, least, eligible := noEndpoint, math.Inf(1), 0
	for i, e := range p.live {
		p.scores[i] = math.Inf(1)
		if e.capacity < it.kv || eligible >= first || it.excludes(e) {
			continue
		}
		eligible++
		wait, reason := r.wait(now, it, e, priority)
		if reason != placed {
			if why != noMemory {
				why = reason
			}
			continue
		}
		if e.peerOwned && it.class == marigoldcroft.ClassShort {
			wait *= peerOwnedWaitFactor
		}
		if first > p.longSet.size && i < p.longSet.size {
			// Short work avoids the long set while other endpoints have room.
			wait += r.s.settings.ChunkDelay.Seconds()
		}
		p.scores[i] = wait + (float64(it.work.PromptTokens)-r.expectedCachedTokens(now, it, known, e))/e.rate()
		least = min(least, p.scores[i])
	}
	if math.IsInf(least, 1) {
		return placement{}, why
	}
	limit := least*(1+nearBestMargin) + nearBestTolerance
	p.nearBest = p.nearBest[:0]
	for i, score := range p.scores {
		if score <= limit {
			p.nearBest = append(p.nearBest, int32(i))
		}
	}
	e := r.s.drawNearBest(now, p)
	wait, _ := r.wait(now, it, e, priority)
	saved := r.expectedCachedTokens(now, it, known, e)
	return placement{
		endpoint: e, wait: wait, unreportedWait: p.unreportedPeerWait(now, e),
		prefill: it.work.PromptTokens - int64(saved), prefixExpected: saved > 0,
	}, placed
}

// drawNearBest draws two of the near-best endpoints at random and returns the one with
// fewer requests.
func (s *scheduler) drawNearBest(now time.Duration, p *pool) *endpoint {
	a := p.live[p.nearBest[s.random.IntN(len(p.nearBest))]]
	if len(p.nearBest) == 1 {
		return a
	}
	b := p.live[p.nearBest[s.random.IntN(len(p.nearBest))]]
	if b.requests(now) < a.requests(now) {
		return b
	}
	return a
}

// wait predicts the seconds until the endpoint starts the item's prefill, or returns
// why the item cannot be sent there now.
func (r *lengthAware) wait(now time.Duration, it *item, e *endpoint, priority marigoldcroft.Priority) (float64, placementResult) {
	long := it.class != marigoldcroft.ClassShort
	if e.heldFor != nil && e.heldFor != it && (long || e.holdExcludesShort) || e.free(now) < it.kv {
		return 0, noMemory
	}
	if it.work.IsolateSuspect && e.suspectsInFlight > 0 {
		return 0, endpointsBusy
	}
	rate := e.rate()
	ahead, longAhead := e.backlog(now, priority, rate)
	wait := ahead / rate
	if long {
		if !r.acceptsLong(now, it, e, rate, longAhead) {
			return 0, endpointsBusy
		}
		return wait, placed
	}
	if wait > r.s.settings.ShortBacklogLimit.Seconds() {
		return 0, endpointsBusy
	}
	if longAhead > 0 {
		wait += r.s.settings.ChunkDelay.Seconds()
	}
	return wait, placed
}

// acceptsLong reports whether a long item may be sent now: either beside other long
// prefill up to LongPrefillCapTokens, or behind a single own prefill when little is
// left of all long prefill there.
func (r *lengthAware) acceptsLong(now time.Duration, it *item, e *endpoint, rate, longAhead float64) bool {
	outstanding := e.otherPrefill(now, rate).long
	for p := range minShortPriority {
		outstanding += float64(e.outstanding[p])
	}
	if outstanding+float64(it.work.PromptTokens) <= float64(r.s.settings.LongPrefillCapTokens) {
		return true
	}
	return e.longInPrefill <= 1 && longAhead <= rate*r.s.settings.LongOverlap.Seconds()
}

// expectedCachedTokens returns the prompt tokens that the endpoint's cache is expected
// to hold. It never exceeds the prompt, so the affinity bonus never exceeds the
// predicted saving.
func (r *lengthAware) expectedCachedTokens(now time.Duration, it *item, known *prefixEntry, e *endpoint) float64 {
	if known == nil {
		return 0
	}
	hit := known.hitWeight(now, r.s.settings.PrefixHalfLife, e)
	return hit * it.pool.cost.cachedShare.value * float64(it.work.PromptTokens)
}
