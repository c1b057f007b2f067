package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// minSampleWeight is the weight of a new sample once there are several; the mean
	// then reflects about the last ten samples.
	minSampleWeight = 0.2
	// smallPromptTokens reduces the weight of small prompts, whose time to first token
	// is mostly fixed overhead.
	smallPromptTokens = 512
	// modelRateLifetime is the age of the last completion after which predicted service
	// time alone no longer refuses work. Otherwise a slow period could block all work
	// permanently.
	modelRateLifetime = 10 * time.Second
	// endpointRateLifetime is the age of an endpoint's last completion after which the
	// model's rates replace the endpoint's own.
	endpointRateLifetime = 60 * time.Second
	// peakRateHalfLife is the decay time of the peak rate, so that the classes follow
	// endpoints that have become slower permanently.
	peakRateHalfLife = 5 * time.Minute
	// initialCachedShare is the share of a prompt expected in the cache before any hit
	// was observed.
	initialCachedShare = 0.5
)

type (
	// ewma is an exponentially weighted moving average with an initial value.
	ewma struct {
		value   float64
		samples int
	}

	// learnedRates are the speeds observed for a model on all endpoints, or for one
	// endpoint.
	learnedRates struct {
		// prefillRate is in tokens per second.
		prefillRate           ewma
		decodeSecondsPerToken ewma
	}

	// costModel adds the values that are learned per model only.
	costModel struct {
		learnedRates
		// outputShare is the ratio of generated to requested maximum output tokens.
		outputShare ewma
		// cachedShare is the ratio of cached to prompt tokens where a cached prefix was
		// expected.
		cachedShare ewma
		sampledAt   time.Duration
		// peakRate is the highest prefill rate in tokens per second that a recent
		// completion has demonstrated.
		peakRate   float64
		peakRateAt time.Duration
	}
)

// observe moves the mean towards the nearest value in [low, high]. A sample that only
// bounds the true value, such as one from a shared engine, thus moves the mean no
// further than the bound justifies.
func (e *ewma) observe(low, high, weight float64) {
	target := min(max(e.value, low), high)
	e.samples++
	alpha := max(minSampleWeight, 1/float64(e.samples+1)) * weight
	e.value += alpha * (target - e.value)
}

// newCostModel returns the initial estimates from the settings.
func newCostModel(settings Settings) costModel {
	return costModel{
		learnedRates: learnedRates{
			prefillRate:           ewma{value: settings.PrefillTokensPerSecond},
			decodeSecondsPerToken: ewma{value: settings.DecodeTimePerToken.Seconds()},
		},
		outputShare: ewma{value: settings.OutputShare},
		cachedShare: ewma{value: initialCachedShare},
	}
}

// observeCompletion updates the rates of the model and the endpoint from the completion
// of a dispatched item. The bounds of the prefill rate depend on what else the engine
// may have prefilled meanwhile: at least the item's own tokens, at most those plus all
// that was ahead of it or joined it.
func (p *pool) observeCompletion(now time.Duration, it *item, done marigoldcroft.Completion) {
	if p.publishesFigures() {
		p.observeFirstTokenSlowdown(now, it, done)
		return
	}
	if p.plainService {
		p.observeCallSlowdown(now, it, done)
		if done.Succeeded {
			p.calls.Observe(done.Total)
		}
		return
	}
	if !done.Succeeded || it.endpoint == nil {
		return
	}
	p.cost.sampledAt, it.endpoint.sampledAt = now, now
	rates := &it.endpoint.rates
	if rates.prefillRate.samples == 0 {
		rates.prefillRate.value = p.cost.prefillRate.value
	}
	if rates.decodeSecondsPerToken.samples == 0 {
		rates.decodeSecondsPerToken.value = p.cost.decodeSecondsPerToken.value
	}
	uncached := float64(done.PromptTokens - done.CachedTokens)
	if first := done.FirstToken.Seconds(); first > 0 && uncached > 0 {
		// One decode step of the running batch elapses before the first token is
		// emitted.
		busy := max(first-p.cost.decodeSecondsPerToken.value, first/2)
		low, high := uncached/first, (uncached+it.tokensAhead+float64(it.tokensJoined))/busy
		weight := uncached / (uncached + smallPromptTokens)
		p.cost.observePeakRate(now, low)
		rates.prefillRate.observe(low, high, weight)
		p.cost.prefillRate.observe(low, high, weight)
	}
	if decode := (done.Total - done.FirstToken).Seconds(); decode > 0 && done.OutputTokens > 1 {
		step := decode / float64(done.OutputTokens-1)
		rates.decodeSecondsPerToken.observe(step, step, 1)
		p.cost.decodeSecondsPerToken.observe(step, step, 1)
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

// observePeakRate records a lower bound of an endpoint's prefill rate.
func (c *costModel) observePeakRate(now time.Duration, rate float64) {
	if rate >= c.classificationRate(now) {
		c.peakRate, c.peakRateAt = rate, now
	}
}

// classificationRate returns the prefill rate by which requests are classified. Under
// overload the learned rate falls, because other instances' work on an endpoint is only
// partly known. By that rate, a short prompt would be classified as long and wait
// behind long requests.
func (c *costModel) classificationRate(now time.Duration) float64 {
	peak := c.peakRate * math.Exp2(-float64(now-c.peakRateAt)/float64(peakRateHalfLife))
	return max(c.prefillRate.value, peak)
}

// rate returns the endpoint's prefill rate in tokens per second.
func (e *endpoint) rate() float64 {
	if e.pool.publishesFigures() {
		return e.pool.figures.PrefillTokensPerSecond / e.currentSlowdown(*e.pool.now)
	}
	if e.rates.prefillRate.samples == 0 {
		return e.pool.cost.prefillRate.value
	}
	return e.rates.prefillRate.value
}

// expireRates drops the endpoint's own rates when nothing has completed there for a
// while, so that an endpoint that was once slow is tried again.
func (e *endpoint) expireRates(now time.Duration) {
	if now-e.sampledAt > endpointRateLifetime {
		e.rates = learnedRates{}
	}
}

// decodeSeconds predicts the time from the first to the last token.
func (p *pool) decodeSeconds(outputTokens int64) float64 {
	return float64(outputTokens) * p.cost.outputShare.value * p.cost.decodeSecondsPerToken.value
}

// prefillSeconds predicts the prefill time of an uncached prompt on an average
// endpoint.
func (p *pool) prefillSeconds(promptTokens int64) float64 {
	return float64(promptTokens) / p.cost.prefillRate.value
}

// serviceTimeReliable reports whether predicted service time may expire or refuse work.
func (p *pool) serviceTimeReliable(now time.Duration) bool {
	return p.cost.prefillRate.samples > 0 && now-p.cost.sampledAt <= modelRateLifetime
}
