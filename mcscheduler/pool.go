package mcscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
)

// The lanes of a pool. Crash suspects have a lane of their own, so that a request that
// waits for an endpoint without another suspect does not block others.
const (
	laneShort = iota
	laneSuspect
	laneLong
	laneCount
)

// pool holds the scheduler's state for one model or plain service.
type pool struct {
	name string
	// endpoints is in rendezvous order for the model; live holds the usable ones in the
	// same order.
	endpoints []*endpoint
	live      []*endpoint
	// largestCapacity is the KV capacity of the largest endpoint, usable or not.
	largestCapacity int64
	// usedAt is the last time at which the pool was seen to have endpoints or waiting work.
	usedAt time.Duration
	lanes  [laneCount]lane
	parked []*item
	cost   costModel
	// figures are those published by the endpoints; they are zero when none are.
	figures marigoldcroft.EnginePerformance
	// plainService is true for the servers of a plain service.
	plainService bool
	// meanCallSeconds is the mean time of a call to a plain service.
	meanCallSeconds ewma
	// now points to the scheduler's clock.
	now             *time.Duration
	shortLimit      time.Duration
	longSet         longSet
	yield           yieldState
	firstTokenStats firstTokenStats
	// meanShortPrefill is the mean predicted prefill time of dispatched short work, in
	// seconds.
	meanShortPrefill ewma
	lateness         lateness
	// shortInFlight and peerShortInFlight count own and peers' short requests in
	// flight. outstandingShortPrefill sums the prefill tokens of own short requests
	// before their first token.
	shortInFlight, peerShortInFlight int
	outstandingShortPrefill          int64
	prefixes                         prefixTable
	// holdingItem is the queued item for which an endpoint is held until the item fits
	// there.
	holdingItem *item
	// pausedUntil is the end of the longest pause of an endpoint.
	pausedUntil time.Duration
	// coldUntil is the end of the longest cold phase of an endpoint.
	coldUntil time.Duration
	// evacuating is true once an evacuation has taken endpoints, until the queued work was admitted
	// again.
	evacuating bool
	// regionViews holds what view has computed since the endpoints changed; regionsChanged is true
	// from such a change until dropRegionless has seen it.
	regionViews    map[string]regionView
	regionsChanged bool
	// dirty is set by each change that may allow queued work to run.
	dirty bool
	// nextDispatchAt is the time of the next dispatch attempt if no such change occurs.
	nextDispatchAt time.Duration
	// residence is the mean time in seconds for which requests hold their memory.
	residence ewma
	// calls holds the times of the calls of a plain service.
	calls CallTimes
	// rotation is the next position of the round robin.
	rotation int
	// scores and nearBest are buffers for choosing an endpoint: scores is parallel to
	// live, and nearBest holds positions in live.
	scores []float64
	// sortedScores is a buffer for the sorted scores.
	sortedScores []float64
	nearBest     []int32
}

// queued returns the number of waiting items.
func (p *pool) queued() int {
	n := len(p.parked)
	for i := range p.lanes {
		n += p.lanes[i].count
	}
	return n
}

// maxShortTokens returns the largest prompt of a short request on an average endpoint.
func (p *pool) maxShortTokens() float64 { return p.cost.prefillRate.value * p.shortLimit.Seconds() }

// refresh recomputes everything that depends on the state and capacity of the
// endpoints.
func (p *pool) refresh() {
	p.live, p.largestCapacity = p.live[:0], 0
	clear(p.regionViews)
	p.regionsChanged = true
	for _, e := range p.endpoints {
		p.largestCapacity = max(p.largestCapacity, e.capacity)
		if e.usable() {
			p.live = append(p.live, e)
		} else if e.heldFor != nil {
			p.releaseHold(e.heldFor)
		}
	}
	p.scores = slices.Grow(p.scores[:0], len(p.live))[:len(p.live)]
	p.nearBest = slices.Grow(p.nearBest[:0], len(p.live))
	p.longSet.setEndpointCount(len(p.live))
	p.yield.reserved = min(p.yield.reserved, len(p.live))
	p.dirty = true
}

// newEndpoint returns the view of an endpoint without any load information.
func newEndpoint(now time.Duration, p *pool, name string, capacity int64) *endpoint {
	return &endpoint{
		name: name, pool: p, capacity: capacity, settledAt: now, sampledAt: now,
		rank: xxhash.Sum64String(p.name + "\x00" + name),
	}
}

// sort puts the endpoints into rendezvous order, so that the long sets of all instances
// are nested.
func (p *pool) sort() {
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	p.refresh()
}

// releaseHold ends the hold of the item, if it has one.
func (p *pool) releaseHold(it *item) {
	if p.holdingItem != it {
		return
	}
	p.holdingItem = nil
	for _, e := range p.endpoints {
		if e.heldFor == it {
			e.heldFor = nil
		}
	}
}

// couldRun reports whether some usable endpoint could run the item once idle.
func (p *pool) couldRun(it *item) bool {
	for _, e := range p.live {
		if e.capacity >= it.kv && !it.excludes(e) {
			return true
		}
	}
	return false
}

// class classifies work by its predicted prefill time and its memory.
func (p *pool) class(now time.Duration, work *marigoldcroft.Work, key string) marigoldcroft.Class {
	largest := p.view(work.Regions, key).largestCapacity
	if largest == 0 {
		largest = p.largestCapacity // no endpoint is in its home regions
	}
	switch {
	case work.PromptTokens+work.OutputTokens > largest:
		return marigoldcroft.ClassHuge
	case p.publishesFigures() && float64(p.effectiveTokens(work.PromptTokens)) > shortPrefillLimit.Seconds()*p.figures.PrefillTokensPerSecond,
		!p.publishesFigures() && float64(work.PromptTokens) > p.shortLimit.Seconds()*p.cost.classificationRate(now):
		return marigoldcroft.ClassLong
	}
	return marigoldcroft.ClassShort
}

// residenceSeconds predicts how long work holds its memory: the mean over finished
// work, or the item's predicted service time when nothing has finished yet.
func (p *pool) residenceSeconds(it *item) float64 {
	switch {
	case p.residence.samples > 0:
	case p.publishesFigures():
		return it.prefillSeconds + p.streamSeconds(&it.work)
	default:
		return it.prefillSeconds + p.decodeSeconds(it.work.OutputTokens)
	}
	return p.residence.value
}

// memoryWait predicts the seconds until memory for the tokens is free, by Little's law:
// the release rate is the memory in use divided by the mean time for which it is held.
func (p *pool) memoryWait(now time.Duration, it *item, tokens int64, residence float64) float64 {
	free, used := int64(0), int64(0)
	for _, e := range p.live {
		if it.isOutside(e) {
			continue
		}
		f := e.free(now)
		free += max(0, f)
		used += e.capacity - f
	}
	if tokens <= free || used <= 0 {
		return 0
	}
	return float64(tokens-free) * residence / float64(used)
}

// seconds converts seconds to a duration without overflow.
func seconds(s float64) time.Duration {
	const limit = float64(math.MaxInt64) / float64(time.Second) / 4
	return time.Duration(min(s, limit) * float64(time.Second))
}
