package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// paceAlpha is the weight of a new sample of an engine's pace, paceHalfLife the time in
	// which what was learned halves: a slow engine is tried again.
	paceAlpha    = 0.3
	paceHalfLife = 4 * time.Second
	maxPace      = 10
	// paceNoise is the ratio below which a pass counts as usual: the context of its streams,
	// short reads and the network add to it. stepAlpha is the weight of a sample of passes, which
	// says more than a first token does.
	paceNoise = 1.6
	stepAlpha = 0.6
	// callWeight damps single calls in the mean time of a plain service. Servers whose use
	// is within nearCall of the least are drawn from at random.
	callWeight = 0.5
	nearCall   = 0.05
)

// paceAt returns how many times slower than published the endpoint is believed to be.
func (e *endpoint) paceAt(now time.Duration) float64 {
	if e.pace <= 1 {
		return 1
	}
	age := float64(now-e.pacedAt) / float64(paceHalfLife)
	return 1 + (e.pace-1)*math.Exp2(-age)
}

// observePace moves the pace towards a sample of the ratio.
func (e *endpoint) observePace(now time.Duration, ratio, alpha float64) {
	before := e.paceAt(now)
	e.pace, e.pacedAt = before+alpha*(min(max(ratio, 1), maxPace)-before), now
}

// learnPace compares the time to the first token with its prediction.
func (p *pool) learnPace(now time.Duration, it *item, done marigoldcroft.Completion) {
	if !done.Succeeded || it.endpoint == nil || it.expected <= 0 || len(it.parts) > 0 || it.waited > it.expected/2 {
		return
	}
	it.endpoint.observePace(now, (done.FirstToken.Seconds()-it.waited)/(it.expected-it.waited), paceAlpha)
}

// learnStep compares the shortest time between two events, which is that of a pass
// without reading, with the published one.
func (e *endpoint) learnStep(now time.Duration, shortest time.Duration) {
	pass := e.pool.passSeconds()
	if pass <= 0 {
		return
	}
	ratio := shortest.Seconds() / pass
	if ratio < paceNoise {
		ratio = 1
	}
	e.observePace(now, ratio, stepAlpha)
}

// learnCall compares the time of a plain service's call with the usual one.
func (p *pool) learnCall(now time.Duration, it *item, done marigoldcroft.Completion) {
	took := done.Total.Seconds()
	if !done.Succeeded || it.endpoint == nil || took <= 0 {
		return
	}
	if p.callMean.samples == 0 {
		p.callMean.value = took
	}
	p.callMean.observe(took, took, callWeight)
	it.endpoint.observePace(now, took/p.callMean.value, paceAlpha)
}
