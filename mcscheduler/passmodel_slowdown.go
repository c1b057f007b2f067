package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// firstTokenSampleWeight is the weight of a new sample of an engine's pace, paceHalfLife the time in
	// which what was learned halves: a slow engine is tried again.
	firstTokenSampleWeight = 0.3
	slowdownHalfLife       = 4 * time.Second
	maxSlowdown            = 10
	// slowdownNoise is the ratio below which a pass counts as usual: the context of its streams,
	// short reads and the network add to it. stepAlpha is the weight of a sample of passes, which
	// says more than a first token does.
	slowdownNoise    = 1.6
	passSampleWeight = 0.6
	// callSampleWeight damps single calls in the mean time of a plain service. Servers whose use
	// is within nearCall of the least are drawn from at random.
	callSampleWeight = 0.5
	nearCallMargin   = 0.05
)

// currentSlowdown returns how many times slower than published the endpoint is believed to be.
func (e *endpoint) currentSlowdown(now time.Duration) float64 {
	if e.slowdown <= 1 {
		return 1
	}
	age := float64(now-e.slowdownAt) / float64(slowdownHalfLife)
	return 1 + (e.slowdown-1)*math.Exp2(-age)
}

// observeSlowdown moves the pace towards a sample of the ratio.
func (e *endpoint) observeSlowdown(now time.Duration, ratio, alpha float64) {
	before := e.currentSlowdown(now)
	e.slowdown, e.slowdownAt = before+alpha*(min(max(ratio, 1), maxSlowdown)-before), now
}

// observeFirstTokenTime compares the time to the first token with its prediction.
func (p *pool) observeFirstTokenTime(now time.Duration, it *item, done marigoldcroft.Completion) {
	if !done.Succeeded || it.endpoint == nil || it.expectedFirstToken <= 0 || len(it.helpers) > 0 || it.expectedWait > it.expectedFirstToken/2 {
		return
	}
	it.endpoint.observeSlowdown(now, (done.FirstToken.Seconds()-it.expectedWait)/(it.expectedFirstToken-it.expectedWait), firstTokenSampleWeight)
}

// observePassTime compares the shortest time between two events, which is that of a pass
// without reading, with the published one.
func (e *endpoint) observePassTime(now time.Duration, shortest time.Duration) {
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

// observeCallTime compares the time of a plain service's call with the usual one.
func (p *pool) observeCallTime(now time.Duration, it *item, done marigoldcroft.Completion) {
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
