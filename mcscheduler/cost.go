package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// minSampleWeight is the weight of a new sample; about the last ten samples count.
	minSampleWeight = 0.2
	// smallPromptTokens damps samples of small prompts, whose time to first token is
	// mostly fixed overhead.
	smallPromptTokens = 512
	// modelRateLifetime is the age of the last completion after which predicted service
	// time alone refuses nothing, so that a slow spell cannot lock work out for good.
	modelRateLifetime = 10 * time.Second
	// endpointRateLifetime is the age of an endpoint's last completion after which the
	// model's rates are used for it again.
	endpointRateLifetime = 60 * time.Second
	// peakRateHalfLife lets the classes follow endpoints that have become slower for good.
	peakRateHalfLife = 5 * time.Minute
	// initialCachedShare is the share of a prompt expected in the cache on a first hit.
	initialCachedShare = 0.5
)

type (
	// ewma is an exponentially weighted mean that starts from a seed.
	ewma struct {
		value   float64
		samples int
	}

	// cost holds learned rates: of a model on all endpoints, or of one endpoint.
	cost struct {
		// prefill is in tokens a second, decode in seconds a token.
		prefill ewma
		decode  ewma
	}

	// modelCost adds what is learned only per model.
	modelCost struct {
		cost
		// outputShare is generated output over the maximum asked for.
		outputShare ewma
		// cachedShare is cached over prompt tokens where a prefix was expected.
		cachedShare ewma
		sampledAt   time.Duration
		// peakRate is the highest prefill rate that a completion has shown lately, in
		// tokens a second.
		peakRate   float64
		peakRateAt time.Duration
	}
)

// observe moves the mean towards the nearest value of [low, high]. A sample that only
// bounds the truth, such as one from a shared engine, thus moves the mean no further
// than it proves.
func (e *ewma) observe(low, high, weight float64) {
	target := min(max(e.value, low), high)
	e.samples++
	alpha := max(minSampleWeight, 1/float64(e.samples+1)) * weight
	e.value += alpha * (target - e.value)
}

// newModelCost returns the seeds of the settings.
func newModelCost(c Settings) modelCost {
	return modelCost{
		cost: cost{
			prefill: ewma{value: c.PrefillTokensPerSecond},
			decode:  ewma{value: c.DecodeTimePerToken.Seconds()},
		},
		outputShare: ewma{value: c.OutputShare},
		cachedShare: ewma{value: initialCachedShare},
	}
}

// observeCompletion takes the completion of a dispatched item into the model's and the endpoint's
// rates. The bounds of the prefill rate come from what else the engine may have
// prefilled meanwhile: at least the item's own tokens, at most those and all that was
// ahead of it or joined it.
func (p *pool) observeCompletion(now time.Duration, it *item, done marigoldcroft.Completion) {
	if p.publishesFigures() {
		p.observeFirstTokenTime(now, it, done)
		return
	}
	if p.plainService {
		p.observeCallTime(now, it, done)
		return
	}
	if !done.Succeeded || it.endpoint == nil {
		return
	}
	p.cost.sampledAt, it.endpoint.sampledAt = now, now
	own := &it.endpoint.cost
	if own.prefill.samples == 0 {
		own.prefill.value = p.cost.prefill.value
	}
	if own.decode.samples == 0 {
		own.decode.value = p.cost.decode.value
	}
	uncached := float64(done.PromptTokens - done.CachedTokens)
	if first := done.FirstToken.Seconds(); first > 0 && uncached > 0 {
		// One decode step of the running batch passes before the first token is out.
		busy := max(first-p.cost.decode.value, first/2)
		low, high := uncached/first, (uncached+it.tokensAhead+float64(it.tokensJoined))/busy
		weight := uncached / (uncached + smallPromptTokens)
		p.cost.observePeakRate(now, low)
		own.prefill.observe(low, high, weight)
		p.cost.prefill.observe(low, high, weight)
	}
	if decode := (done.Total - done.FirstToken).Seconds(); decode > 0 && done.OutputTokens > 1 {
		step := decode / float64(done.OutputTokens-1)
		own.decode.observe(step, step, 1)
		p.cost.decode.observe(step, step, 1)
	}
	if it.work.OutputTokens > 0 {
		share := min(1, float64(done.OutputTokens)/float64(it.work.OutputTokens))
		p.cost.outputShare.observe(share, share, 1)
	}
	if it.prefixExpected && done.PromptTokens > 0 {
		share := min(1, float64(done.CachedTokens)/float64(done.PromptTokens))
		p.cost.cachedShare.observe(share, share, 1)
	}
}

// observePeakRate takes a rate that an endpoint has reached at least.
func (c *modelCost) observePeakRate(now time.Duration, rate float64) {
	if rate >= c.classificationRate(now) {
		c.peakRate, c.peakRateAt = rate, now
	}
}

// classificationRate returns the prefill rate by which work is classed. Under overload the
// learned rate falls, as other instances' work on an endpoint is only partly known; by
// that rate a short prompt would turn long and wait behind long work.
func (c *modelCost) classificationRate(now time.Duration) float64 {
	proved := c.peakRate * math.Exp2(-float64(now-c.peakRateAt)/float64(peakRateHalfLife))
	return max(c.prefill.value, proved)
}

// rate returns the endpoint's prefill rate in tokens a second.
func (e *endpoint) rate() float64 {
	if e.pool.publishesFigures() {
		return e.pool.figures.PrefillTokensPerSecond / e.currentSlowdown(*e.pool.now)
	}
	if e.cost.prefill.samples == 0 {
		return e.pool.cost.prefill.value
	}
	return e.cost.prefill.value
}

// expireRates drops the endpoint's own rates when nothing has run there for a while, so
// that an endpoint that was slow once is tried again.
func (e *endpoint) expireRates(now time.Duration) {
	if now-e.sampledAt > endpointRateLifetime {
		e.cost = cost{}
	}
}

// decodeSeconds predicts the time from the first to the last token.
func (p *pool) decodeSeconds(outputTokens int64) float64 {
	return float64(outputTokens) * p.cost.outputShare.value * p.cost.decode.value
}

// prefillSeconds predicts the prefill of an uncached prompt on an average endpoint.
func (p *pool) prefillSeconds(promptTokens int64) float64 {
	return float64(promptTokens) / p.cost.prefill.value
}

// serviceTimeReliable tells whether predicted service time may end or refuse work.
func (p *pool) serviceTimeReliable(now time.Duration) bool {
	return p.cost.prefill.samples > 0 && now-p.cost.sampledAt <= modelRateLifetime
}
