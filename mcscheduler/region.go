package mcscheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marigoldcroft"
)

const (
	// maxRegionLookahead is the largest number of queued items that a dispatch attempt passes over to
	// find work of other regions. Passing over one costs two operations on a heap.
	maxRegionLookahead = 256
	// maxRegionSets bounds the sets of home regions whose keys are kept. Routes and teams have few.
	maxRegionSets = 64
)

type (
	// regionView is the part of a pool that work with home regions may use.
	regionView struct {
		// live is the number of usable endpoints.
		live int
		// listed is the number of endpoints that are not leaving, those included that are down.
		listed int
		// largestCapacity is the KV capacity of the largest endpoint, usable or not.
		largestCapacity int64
	}

	// regionSet is a set of home regions and its key.
	regionSet struct {
		regions []string
		key     string
	}

	// regionQueue sums the waiting work of one set of home regions in one lane, by level.
	regionQueue struct {
		key            string
		regions        []string
		count          [urgencyLevels]int
		prefillSeconds [urgencyLevels]float64
		kv             [urgencyLevels]int64
		total          int
	}
)

// regionKey returns a key that is equal for equal sets of regions, and "" for any region. It allocates
// nothing for a set that was seen lately.
func (s *scheduler) regionKey(regions []string) string {
	if regions == nil {
		return ""
	}
	for _, set := range s.regionSets {
		if slices.Equal(set.regions, regions) {
			return set.key
		}
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	key := "\x00" + strings.Join(slices.Compact(sorted), "\x00")
	if len(s.regionSets) >= maxRegionSets {
		s.regionSets = s.regionSets[:0]
	}
	s.regionSets = append(s.regionSets, regionSet{regions: slices.Clone(regions), key: key})
	return key
}

// allowsRegion reports whether work with the home regions may run in the region. An endpoint whose
// region is not known is in none of them.
func allowsRegion(regions []string, region string) bool {
	return regions == nil || region != "" && slices.Contains(regions, region)
}

// regionsOverlap reports whether some region is allowed by both sets.
func regionsOverlap(a, b []string) bool {
	if a == nil || b == nil {
		return true
	}
	return slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}

// view returns the part of the pool that work with the home regions may use.
func (p *pool) view(regions []string, key string) regionView {
	if regions == nil {
		return regionView{live: len(p.live), listed: len(p.endpoints), largestCapacity: p.largestCapacity}
	}
	if v, known := p.regionViews[key]; known {
		return v
	}
	var v regionView
	for _, e := range p.endpoints {
		if !allowsRegion(regions, e.region) {
			continue
		}
		v.largestCapacity = max(v.largestCapacity, e.capacity)
		if !e.leaving && !e.reportedLeaving {
			v.listed++
		}
		if e.usable() {
			v.live++
		}
	}
	if p.regionViews == nil {
		p.regionViews = make(map[string]regionView)
	}
	p.regionViews[key] = v
	return v
}

// view returns the part of the pool that the item may use.
func (it *item) view() regionView { return it.pool.view(it.work.Regions, it.regionKey) }

// liveCount returns the number of usable endpoints in the item's home regions.
func (it *item) liveCount() int { return it.view().live }

// isOutside reports whether the endpoint is outside the item's home regions.
func (it *item) isOutside(e *endpoint) bool { return !allowsRegion(it.work.Regions, e.region) }

// applyRegion sets the region of the endpoint. An item for which the endpoint is held may no longer be
// allowed there.
func (e *endpoint) applyRegion(region string) {
	if e.region != region && e.heldFor != nil {
		e.pool.releaseHold(e.heldFor)
	}
	e.region = region
}

// hasNoRegion reports whether new work is refused because no usable endpoint is in its home regions.
func (it *item) hasNoRegion() bool { return it.work.Regions != nil && it.view().live == 0 }

// reasonWithoutEndpoint returns the reason for refusing work whose pool has no usable endpoint.
func reasonWithoutEndpoint(work *marigoldcroft.Work) marigoldcroft.Reason {
	if work.Regions != nil {
		return marigoldcroft.ReasonRegion
	}
	return marigoldcroft.ReasonNoEndpoint
}

// lostRegion reports whether waiting work ends because no endpoint that could become usable is in its
// home regions. Endpoints that are down may return.
func (it *item) lostRegion() bool { return it.work.Regions != nil && it.view().listed == 0 }

// expireForRegion ends a waiting item that has lost its last home region.
func (s *scheduler) expireForRegion(it *item) marigoldcroft.Decision {
	s.dequeue(it)
	delete(s.items, it.work.ID)
	d := it.decision(marigoldcroft.ActionExpire, marigoldcroft.ReasonRegion)
	d.RetryAfter = s.retryAfter(0)
	s.recycle(it)
	return d
}

// dropRegionless appends the expiry of each waiting item of the pool whose home regions have no
// endpoint left. It has work to do only after the endpoints have changed.
func (s *scheduler) dropRegionless(p *pool, decisions []marigoldcroft.Decision) []marigoldcroft.Decision {
	if !p.regionsChanged {
		return decisions
	}
	p.regionsChanged = false
	var lost []*item
	for i := range p.lanes {
		l := &p.lanes[i]
		if len(l.regions) == 0 {
			continue
		}
		for _, t := range l.teams {
			for level := range t.levels {
				for _, it := range t.levels[level].items {
					if it.lostRegion() {
						lost = append(lost, it)
					}
				}
			}
		}
	}
	for _, it := range p.parked {
		if it.lostRegion() {
			lost = append(lost, it)
		}
	}
	// The map of teams has no order, whereas the decisions have to be deterministic.
	slices.SortFunc(lost, func(a, b *item) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, it := range lost {
		decisions = append(decisions, s.expireForRegion(it))
	}
	return decisions
}

// addRegions adds the item to the sums of its home regions, or removes it.
func (l *lane) addRegions(it *item, sign int) {
	if it.work.Regions == nil {
		return
	}
	q := l.regionQueue(it.regionKey)
	if q == nil {
		q = &regionQueue{key: it.regionKey, regions: it.work.Regions}
		l.regions = append(l.regions, q)
	}
	q.count[it.level] += sign
	q.total += sign
	q.prefillSeconds[it.level] += float64(sign) * it.prefillSeconds
	q.kv[it.level] += int64(sign) * it.kv
	if q.total == 0 {
		l.regions = slices.DeleteFunc(l.regions, func(other *regionQueue) bool { return other == q })
	}
}

// regionQueue returns the sums of the set of home regions, or nil if no such work waits.
func (l *lane) regionQueue(key string) *regionQueue {
	for _, q := range l.regions {
		if q.key == key {
			return q
		}
	}
	return nil
}

// ahead sums the waiting work up to the level, less that which cannot run in any home region of the
// item.
func (l *lane) ahead(it *item, level int) (count int, prefillSeconds float64, kv int64) {
	for i := range level + 1 {
		count += l.counts[i]
		prefillSeconds += l.prefillSeconds[i]
		kv += l.kv[i]
	}
	if it.work.Regions == nil {
		return count, prefillSeconds, kv
	}
	for _, q := range l.regions {
		if regionsOverlap(it.work.Regions, q.regions) {
			continue
		}
		for i := range level + 1 {
			count -= q.count[i]
			prefillSeconds -= q.prefillSeconds[i]
			kv -= q.kv[i]
		}
	}
	return count, max(0, prefillSeconds), kv
}

// mustQueue reports whether new work waits behind the work in its lane without an attempt to place
// it. If the pool has not changed since the last attempt to place the queue, work of other sets of
// home regions is waiting for their endpoints and does not count.
func (p *pool) mustQueue(now time.Duration, it *item) bool {
	l := &p.lanes[it.lane]
	if len(l.regions) == 0 || p.dirty || p.nextDispatchAt <= now {
		count, _, _ := l.ahead(it, it.level)
		return count > 0
	}
	waiting := 0
	for i := range it.level + 1 {
		waiting += l.counts[i]
		for _, q := range l.regions {
			if q.key != it.regionKey {
				waiting -= q.count[i]
			}
		}
	}
	return waiting > 0
}

// blockedRegions counts the blocked items of each set of home regions in one attempt to place the
// work of a lane.
type blockedRegions struct {
	keys   []string
	counts []int
}

func (b *blockedRegions) reset() { b.keys, b.counts = b.keys[:0], b.counts[:0] }

// count returns the number of blocked items with the key.
func (b *blockedRegions) count(key string) int {
	if i := slices.Index(b.keys, key); i >= 0 {
		return b.counts[i]
	}
	return 0
}

func (b *blockedRegions) add(key string) {
	if i := slices.Index(b.keys, key); i >= 0 {
		b.counts[i]++
		return
	}
	b.keys, b.counts = append(b.keys, key), append(b.counts, 1)
}

// passOver reports whether the item is passed over without an attempt to place it, because as many
// items of its home regions as may be skipped are blocked already.
func (s *scheduler) passOver(it *item) bool {
	return len(s.skippedItems) > 0 && s.blocked.count(it.regionKey) > s.policy.maxSkips()
}

// setAside takes a blocked item out of its lane until the end of the dispatch attempt, so that the
// work behind it is tried. It returns false if nothing more is to be tried. Where work has home
// regions, each set of them may skip as many items as the policy allows; otherwise the blocked work
// of one region would hold back that of all others.
func (s *scheduler) setAside(l *lane, it *item) bool {
	skips, blocked := s.policy.maxSkips(), s.blocked.count(it.regionKey)
	if len(l.regions) == 0 && len(s.skippedItems) >= skips {
		return false
	}
	if skips == 0 || len(s.skippedItems) >= maxRegionLookahead {
		return false
	}
	if blocked <= skips {
		s.blocked.add(it.regionKey)
	}
	if s.allBlocked(l) {
		return false
	}
	l.remove(it)
	s.skippedItems = append(s.skippedItems, it)
	return true
}

// allBlocked reports whether each set of home regions in the lane has as many blocked items as may be
// skipped, so that the rest of the lane would be passed over.
func (s *scheduler) allBlocked(l *lane) bool {
	blocked := 0
	for i, key := range s.blocked.keys {
		if s.blocked.counts[i] > s.policy.maxSkips() {
			blocked += l.countOf(key)
		}
	}
	return blocked == l.count
}

// countOf returns the number of waiting items with the key.
func (l *lane) countOf(key string) int {
	if key != "" {
		if q := l.regionQueue(key); q != nil {
			return q.total
		}
		return 0
	}
	n := l.count
	for _, q := range l.regions {
		n -= q.total
	}
	return n
}
