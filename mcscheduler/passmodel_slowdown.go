package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// firstTokenSampleWeight is the weight of a slowdown sample from a first token, or
	// from a call to a plain service.
	firstTokenSampleWeight = 0.3
	// slowdownHalfLife is the time in which a learned slowdown halves, so that a slow
	// engine is tried again.
	slowdownHalfLife = 4 * time.Second
	maxSlowdown      = 10
	// slowdownNoise is the ratio below which a pass counts as normal: the context of
	// its streams, short prefills and the network lengthen it as well.
	slowdownNoise = 1.6
	// passSampleWeight is the weight of a sample from passes, which are more informative
	// than a first token.
	passSampleWeight = 0.6
	// callSampleWeight is the weight of one call in the mean call time of a plain
	// service.
	callSampleWeight = 0.5
	// nearCallMargin is the margin above the lowest scaled utilization within which the
	// servers of a plain service are drawn at random.
	nearCallMargin = 0.05
)

// currentSlowdown returns how many times slower than published the endpoint is
// estimated to be.
func (e *endpoint) currentSlowdown(now time.Duration) float64 {
	if e.slowdown <= 1 {
		return 1
	}
	age := float64(now-e.slowdownAt) / float64(slowdownHalfLife)
	return 1 + (e.slowdown-1)*math.Exp2(-age)
}

// observeSlowdown moves the slowdown towards a sampled ratio.
func (e *endpoint) observeSlowdown(now time.Duration, ratio, alpha float64) {
	before := e.currentSlowdown(now)
	e.slowdown, e.slowdownAt = before+alpha*(min(max(ratio, 1), maxSlowdown)-before), now
}

// observeFirstTokenSlowdown compares the time to first token with its prediction.
func (p *pool) observeFirstTokenSlowdown(now time.Duration, it *item, done marigoldcroft.Completion) {
	if !done.Succeeded || it.endpoint == nil || it.expectedFirstToken <= 0 || len(it.helpers) > 0 || it.expectedWait > it.expectedFirstToken/2 {
		return
	}
	it.endpoint.observeSlowdown(now, (done.FirstToken.Seconds()-it.expectedWait)/(it.expectedFirstToken-it.expectedWait), firstTokenSampleWeight)
}

// observePassSlowdown compares the shortest time between two events with the published
// time of a pass. The shortest time is that of a pass without prefill.
func (e *endpoint) observePassSlowdown(now time.Duration, shortest time.Duration) {
	pass := e.pool.passSeconds()
	if pass <= 0 {
		return
	}
	ratio := shortest.Seconds() / pass
	if ratio < slowdownNoise {
		ratio = 1
	}
	e.observeSlowdown(now, ratio, passSampleWeight)
}

// observeCallSlowdown compares the time of a call to a plain service with the mean call
// time.
func (p *pool) observeCallSlowdown(now time.Duration, it *item, done marigoldcroft.Completion) {
	took := done.Total.Seconds()
	if !done.Succeeded || it.endpoint == nil || took <= 0 {
		return
	}
	if p.meanCallSeconds.samples == 0 {
		p.meanCallSeconds.value = took
	}
	p.meanCallSeconds.observe(took, took, callSampleWeight)
	it.endpoint.observeSlowdown(now, took/p.meanCallSeconds.value, firstTokenSampleWeight)
}
