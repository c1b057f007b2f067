package mcscheduler

import (
	"time"

	"marigoldcroft"
)

const (
	// lendPause is the time after a recall during which the endpoint is not lent again.
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
func (l *lengthAware) lendableEndpoint(now time.Duration, it *item) *endpoint {
	p, settings := it.pool, &l.s.settings
	outside := len(p.live) - p.longSet.size
	if outside <= 0 || p.lanes[laneShort].count > 0 || it.recallCount >= maxRecalls ||
		p.longSet.lent >= int(settings.LendShare*float64(outside)) {
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
	return l.s.drawNearBest(now, p)
}

// resolveBlocked recalls lent work when that frees the memory that short work lacks,
// and holds an endpoint for work that has waited long.
func (l *lengthAware) resolveBlocked(now time.Duration, it *item, result placementResult) *item {
	short := it.class == marigoldcroft.ClassShort
	if short && result == noMemory {
		if lent := l.recallCandidate(now, it); lent != nil {
			return lent
		}
	}
	if result == noMemory || !short && !it.work.IsolateSuspect {
		l.hold(now, it, result)
	}
	return nil
}

// recallCandidate returns the most recently dispatched lent item whose memory suffices
// for the blocked item and which can still meet its own deadline after a recall. Nothing is
// recalled in a planned stop: the recalled work would be lost, whereas the blocked item can run
// at another instance.
func (l *lengthAware) recallCandidate(now time.Duration, it *item) *item {
	p := it.pool
	if p.longSet.lent == 0 || l.s.stopping {
		return nil
	}
	var latest *item
	for _, e := range p.live {
		lent := e.lent
		if lent == nil || it.excludes(e) || e.capacity < it.kv || e.free(now)+lent.kv < it.kv {
			continue
		}
		service := seconds(lent.prefillSeconds + p.decodeSeconds(lent.work.OutputTokens))
		if lent.deadline-now < 2*service {
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
func (l *lengthAware) hold(now time.Duration, it *item, result placementResult) {
	p := it.pool
	if p.holdingItem == it && now >= it.holdEnd {
		p.releaseHold(it)
	}
	if p.holdingItem != nil || now-it.submitted < l.s.settings.AgingStep ||
		it.holdEnd > 0 && now < it.holdEnd+maxHoldTime {
		return
	}
	remaining := len(p.live)
	if it.class != marigoldcroft.ClassShort {
		remaining = p.longSet.size
	}
	var best *endpoint
	for _, e := range p.live {
		if e.capacity < it.kv || it.excludes(e) {
			continue
		}
		if remaining--; remaining < 0 {
			break
		}
		if best == nil || e.free(now) > best.free(now) {
			best = e
		}
	}
	if best != nil {
		best.heldFor, best.holdExcludesShort, p.holdingItem = it, result == noMemory, it
		it.holdEnd = now + maxHoldTime
	}
}
