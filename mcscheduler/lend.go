package mcscheduler

import (
	"time"

	"marigoldcroft"
)

const (
	// lendPause is the time after a recall in which the endpoint is not lent again.
	lendPause = time.Second
	// lendFreeKVShare is the share of an endpoint's memory that must stay free for
	// short work when the endpoint is lent.
	lendFreeKVShare = 0.25
	// maxRecalls bounds how often a request is recalled; after that it waits for the
	// long set.
	maxRecalls = 3
	// maxHoldTime ends a hold that did not free enough memory. It is also the pause
	// before a new hold for the same item.
	maxHoldTime = 30 * time.Second
)

// lendableEndpoint returns an idle endpoint outside the long set that may run the long
// item, or nil. The choice is random, because instances with the same view would
// otherwise all borrow the same endpoint.
func (r *lengthAware) lendableEndpoint(now time.Duration, it *item) *endpoint {
	p, c := it.pool, &r.s.settings
	outside := len(p.live) - p.longSet.size
	if outside <= 0 || p.lanes[laneShort].count > 0 || it.recallCount >= maxRecalls ||
		p.longSet.lent >= int(c.LendShare*float64(outside)) {
		return nil
	}
	p.nearBest = p.nearBest[:0]
	for i, e := range p.live {
		if i < p.longSet.size {
			continue
		}
		if e.lent != nil || e.heldFor != nil || now < e.noLendUntil || it.excludes(e) ||
			it.work.IsolateSuspect && e.suspectsInFlight > 0 {
			continue
		}
		if float64(e.free(now)-it.kv) < lendFreeKVShare*float64(e.capacity) {
			continue
		}
		ahead, long := e.backlog(now, minShortPriority, e.rate())
		if ahead > 0 || long > 0 || e.longInPrefill > 0 {
			continue
		}
		p.nearBest = append(p.nearBest, int32(i))
	}
	if len(p.nearBest) == 0 {
		return nil
	}
	return r.s.drawNearBest(now, p)
}

// resolveBlocked recalls lent work when that frees the memory that short work lacks,
// and holds an endpoint for work that has waited long.
func (r *lengthAware) resolveBlocked(now time.Duration, it *item, why placementResult) *item {
	short := it.class == marigoldcroft.ClassShort
	if short && why == noMemory {
		if lent := r.recallCandidate(now, it); lent != nil {
			return lent
		}
	}
	if why == noMemory || !short && !it.work.IsolateSuspect {
		r.hold(now, it, why)
	}
	return nil
}

// recallCandidate returns the most recently dispatched lent item whose memory suffices
// for the blocked item and which can still meet its own deadline after a recall.
func (r *lengthAware) recallCandidate(now time.Duration, it *item) *item {
	p := it.pool
	if p.longSet.lent == 0 {
		return nil
	}
	var latest *item
	for _, e := range p.live {
		lent := e.lent
		if lent == nil || it.excludes(e) || e.capacity < it.kv || e.free(now)+lent.kv < it.kv {
			continue
		}
		again := seconds(lent.prefillSeconds + p.decodeSeconds(lent.work.OutputTokens))
		if lent.deadline-now < 2*again {
			continue
		}
		if latest == nil || lent.dispatchedAt > latest.dispatchedAt {
			latest = lent
		}
	}
	return latest
}

// hold keeps an endpoint free of other work until the item fits there. It prevents
// small requests, which always fit first, from starving large ones. A hold for prefill
// capacity excludes long work only.
func (r *lengthAware) hold(now time.Duration, it *item, why placementResult) {
	p := it.pool
	if p.holdingItem == it && now >= it.holdEnd {
		p.releaseHold(it)
	}
	if p.holdingItem != nil || now-it.submitted < r.s.settings.AgingStep ||
		it.holdEnd > 0 && now < it.holdEnd+maxHoldTime {
		return
	}
	first := len(p.live)
	if it.class != marigoldcroft.ClassShort {
		first = p.longSet.size
	}
	var best *endpoint
	for _, e := range p.live {
		if e.capacity < it.kv || it.excludes(e) {
			continue
		}
		if first--; first < 0 {
			break
		}
		if best == nil || e.free(now) > best.free(now) {
			best = e
		}
	}
	if best != nil {
		best.heldFor, best.holdExcludesShort, p.holdingItem = it, why == noMemory, it
		it.holdEnd = now + maxHoldTime
	}
}
