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
// Long requests run on the long set, a part of the endpoints that grows with demand. An
// idle endpoint outside the set may be lent to a long request. The request is recalled
// and queued again if short requests need its memory before its first token.
type lengthAware struct{ s *scheduler }

// prepare chooses the lane and subtracts the predicted service time from the expiry.
// Within a team and level, the earliest deadline goes first. Short work of the most
// urgent level counts as due at its start limit: under overload, callers that retry
// return with less and less time left, and by deadline alone each of them would
// overtake admitted work that has waited longer.
func (l *lengthAware) prepare(now time.Duration, it *item) {
	if p := it.pool; p.serviceTimeReliable(now) {
		it.expiry -= seconds(it.prefillSeconds + p.decodeSeconds(it.work.OutputTokens))
	}
	it.level = it.urgency()
	it.sortKey = int64(it.deadline)
	if it.class == marigoldcroft.ClassShort {
		settings := &l.s.settings
		it.topLevelSortKey = int64(it.submitted + time.Duration(it.urgency())*settings.AgingStep + settings.UrgentStartLimit)
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

func (l *lengthAware) maxSkips() int { return maxSkipped }

func (l *lengthAware) shardKV(*item) bool { return false }

func (l *lengthAware) missesObjective(time.Duration, *item) bool { return false }

// place chooses among all endpoints for short work and among the long set for long
// work, which may also borrow an idle endpoint outside the set.
func (l *lengthAware) place(now time.Duration, it *item) (placement, placementResult) {
	if it.class == marigoldcroft.ClassShort {
		return l.best(now, it, len(it.pool.live))
	}
	at, result := l.best(now, it, it.pool.longSet.size)
	if result == endpointsBusy || result == noMemory {
		if e := l.lendableEndpoint(now, it); e != nil {
			ahead, _ := e.backlog(now, l.s.priority(it), e.rate())
			return placement{endpoint: e, wait: ahead / e.rate(), prefill: it.work.PromptTokens, lent: true}, placed
		}
	}
	return at, result
}

// best returns one of the near-best endpoints among the first maxEligible eligible ones
// in rendezvous order.
func (l *lengthAware) best(now time.Duration, it *item, maxEligible int) (placement, placementResult) {
	p, priority := it.pool, l.s.priority(it)
	var prefix *prefixEntry
	if entry, ok := p.prefixes.entries[it.work.PrefixHash]; ok && it.work.PrefixHash != 0 {
		prefix = &entry
	}
	result, least, eligible := noEndpoint, math.Inf(1), 0
	for i, e := range p.live {
		p.scores[i] = math.Inf(1)
		if e.capacity < it.kv || eligible >= maxEligible || it.excludes(e) {
			continue
		}
		eligible++
		if e.isPaused(now) {
			result = max(result, endpointsBusy)
			continue
		}
		wait, reason := l.wait(now, it, e, priority)
		if reason != placed {
			if result != noMemory {
				result = reason
			}
			continue
		}
		if e.peerOwned && it.class == marigoldcroft.ClassShort {
			wait *= peerOwnedWaitFactor
		}
		if maxEligible > p.longSet.size && i < p.longSet.size {
			// Short work avoids the long set while other endpoints have room.
			wait += l.s.settings.ChunkDelay.Seconds()
		}
		p.scores[i] = wait + (float64(it.work.PromptTokens)-l.expectedCachedTokens(now, it, prefix, e))/e.rate()
		least = min(least, p.scores[i])
	}
	if math.IsInf(least, 1) {
		return placement{}, result
	}
	limit := least*(1+nearBestMargin) + nearBestTolerance
	p.nearBest = p.nearBest[:0]
	for i, score := range p.scores {
		if score <= limit {
			p.nearBest = append(p.nearBest, int32(i))
		}
	}
	e := l.s.drawNearBest(now, p)
	wait, _ := l.wait(now, it, e, priority)
	saved := l.expectedCachedTokens(now, it, prefix, e)
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
func (l *lengthAware) wait(now time.Duration, it *item, e *endpoint, priority marigoldcroft.Priority) (float64, placementResult) {
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
		if !l.acceptsLong(now, it, e, rate, longAhead) {
			return 0, endpointsBusy
		}
		return wait, placed
	}
	if wait > l.s.settings.ShortBacklogLimit.Seconds() {
		return 0, endpointsBusy
	}
	if longAhead > 0 {
		wait += l.s.settings.ChunkDelay.Seconds()
	}
	return wait, placed
}

// acceptsLong reports whether a long item may be sent now: either beside other long
// prefill up to LongPrefillCapTokens, or behind a single own prefill when little is
// left of all long prefill there.
func (l *lengthAware) acceptsLong(now time.Duration, it *item, e *endpoint, rate, longAhead float64) bool {
	outstanding := e.otherPrefill(now, rate).long
	for p := range minShortPriority {
		outstanding += float64(e.outstanding[p])
	}
	if outstanding+float64(it.work.PromptTokens) <= float64(l.s.settings.LongPrefillCapTokens) {
		return true
	}
	return e.longInPrefill <= 1 && longAhead <= rate*l.s.settings.LongOverlap.Seconds()
}

// expectedCachedTokens returns the prompt tokens that the endpoint's cache is expected
// to hold. It never exceeds the prompt, so the affinity bonus never exceeds the
// predicted saving.
func (l *lengthAware) expectedCachedTokens(now time.Duration, it *item, prefix *prefixEntry, e *endpoint) float64 {
	if prefix == nil {
		return 0
	}
	hit := prefix.hitWeight(now, l.s.settings.PrefixHalfLife, e)
	return hit * it.pool.cost.cachedShare.value * float64(it.work.PromptTokens)
}
