package mcscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
)

// The lanes of a pool. Suspects have their own, so that work that waits for an endpoint
// without a suspect holds up nothing else.
const (
	laneShort = iota
	laneSuspect
	laneLong
	laneCount
)

// pool is all that the scheduler knows of one model.
type pool struct {
	name string
	// endpoints is in rendezvous order for the model; live are the usable ones of it.
	endpoints []*endpoint
	live      []*endpoint
	// largest is the KV capacity of the largest endpoint, usable or not.
	largest int64
	lanes   [laneCount]lane
	parked  []*item
	cost    modelCost
	// figures are those that the endpoints publish; zero means none.
	figures marigoldcroft.EngineFigures
	// plainService is true for the servers of a plainService service.
	plainService bool
	// meanCallSeconds is the mean time of a plain service's call in seconds.
	meanCallSeconds ewma
	// now is the scheduler's time.
	now             *time.Duration
	shortLimit      time.Duration
	longSet         longSet
	firstTokenStats firstTokenStats
	// meanShortPrefill is the mean predicted prefill in seconds of short work that was sent.
	meanShortPrefill ewma
	lateness         lateness
	// shortInFlight and peerShortInFlight count own and peers' short work in flight; shortPrefill sums
	// the own prefill tokens of it before the first token.
	shortInFlight, peerShortInFlight int
	outstandingShortPrefill          int64
	prefixes                         prefixTable
	// holdingItem is the queued item that an endpoint is kept for until its memory suffices.
	holdingItem *item
	// dirty is set by each change that may let waiting work run.
	dirty bool
	// nextDispatchAt is the time of the next attempt without such a change.
	nextDispatchAt time.Duration
	// residence is the mean time in seconds for which work holds its memory.
	residence ewma
	// rotation is the position of the round robin.
	rotation int
	// scores and near hold the positions in live while one is chosen.
	scores []float64
	// sortedScores holds the scores in order.
	sortedScores []float64
	nearBest     []int32
}

// queued returns the number of waiting pieces of work.
func (p *pool) queued() int {
	n := len(p.parked)
	for i := range p.lanes {
		n += p.lanes[i].count
	}
	return n
}

// maxShortTokens returns the largest prompt of short work on an average endpoint.
func (p *pool) maxShortTokens() float64 { return p.cost.prefill.value * p.shortLimit.Seconds() }

// refresh rebuilds what depends on the endpoints' state and capacity.
func (p *pool) refresh() {
	p.live, p.largest = p.live[:0], 0
	for _, e := range p.endpoints {
		p.largest = max(p.largest, e.capacity)
		if e.usable() {
			p.live = append(p.live, e)
		} else if e.heldFor != nil {
			p.releaseHold(e.heldFor)
		}
	}
	p.scores = slices.Grow(p.scores[:0], len(p.live))[:len(p.live)]
	p.nearBest = slices.Grow(p.nearBest[:0], len(p.live))
	p.longSet.setEndpointCount(len(p.live))
	p.dirty = true
}

// newEndpoint returns the view of an endpoint of which nothing is known yet.
func newEndpoint(now time.Duration, p *pool, name string, capacity int64) *endpoint {
	return &endpoint{
		name: name, pool: p, capacity: capacity, settledAt: now, sampledAt: now,
		rank: xxhash.Sum64String(p.name + "\x00" + name),
	}
}

// sort puts the endpoints into rendezvous order, so that the long sets of all instances
// are nested in each other.
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

// couldRun tells whether a usable endpoint exists that could run the item once idle.
func (p *pool) couldRun(it *item) bool {
	for _, e := range p.live {
		if e.capacity >= it.kv && !it.excludes(e) {
			return true
		}
	}
	return false
}

// class returns the class of work by its predicted prefill and its memory.
func (p *pool) class(now time.Duration, work *marigoldcroft.Work) marigoldcroft.Class {
	switch {
	case work.PromptTokens+work.OutputTokens > p.largest:
		return marigoldcroft.ClassHuge
	case p.publishesFigures() && float64(p.effectiveTokens(work.PromptTokens)) > shortPrefillLimit.Seconds()*p.figures.PrefillTokensPerSecond,
		!p.publishesFigures() && float64(work.PromptTokens) > p.shortLimit.Seconds()*p.cost.classificationRate(now):
		return marigoldcroft.ClassLong
	}
	return marigoldcroft.ClassShort
}

// residenceSeconds predicts for how long work keeps its memory: the mean of finished work,
// or the service time of the item while nothing has finished.
func (p *pool) residenceSeconds(it *item) float64 {
	if p.residence.samples == 0 {
		return it.prefillSeconds + p.decodeSeconds(it.work.OutputTokens)
	}
	return p.residence.value
}

// memoryWait predicts when memory for the tokens will be free, by Little's law: memory
// in use divided by the mean time in seconds for which it is held is the rate of release.
func (p *pool) memoryWait(now time.Duration, tokens int64, held float64) float64 {
	free, used := int64(0), int64(0)
	for _, e := range p.live {
		f := e.free(now)
		free += max(0, f)
		used += e.capacity - f
	}
	if tokens <= free || used <= 0 {
		return 0
	}
	return float64(tokens-free) * held / float64(used)
}

// seconds converts to a duration without overflow.
func seconds(s float64) time.Duration {
	const limit = float64(math.MaxInt64) / float64(time.Second) / 4
	return time.Duration(min(s, limit) * float64(time.Second))
}
