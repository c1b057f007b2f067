package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// firstTokenWindow averages the usual time to first token over minutes, so that a demand
	// swing of seconds hardly moves it.
	firstTokenWindow = 5 * time.Minute
	// minFirstTokenSamples is the number of first tokens after which the mean is used.
	minFirstTokenSamples = 20
	// startLimitDeviations above the mean is what counts as usual. Two, near the 95th
	// percentile, left no room for the lag of views: in a trial with six instances the
	// p95 at a demand swing was 2.6 times the calm one, and 2.0 times with one.
	startLimitDeviations = 1.0
	// minStartLimit bounds the start limit from below for prompts of a few tokens.
	minStartLimit = 50 * time.Millisecond
	// The weights of a first token that comes later or earlier than the lateness says.
	latenessRiseWeight = 0.2
	latenessFallWeight = 0.05
	// maxLatenessSample bounds one sample, so that a single hung request says little.
	maxLatenessSample = time.Second
	// latenessHalfLife is near the interval of the peers' exchange.
	latenessHalfLife = time.Second
	// peerSharePrior is added to this instance's count of short requests when the peers'
	// share is estimated, so that a count of one or two does not exaggerate it.
	peerSharePrior = 4
)

// lateness is how much later than predicted first tokens of short work come. It rises
// fast and falls slowly, and halves with time alone, so that it cannot refuse all work
// for good when nothing runs that would correct it.
type lateness struct {
	seconds   float64
	updatedAt time.Duration
}

func (l *lateness) at(now time.Duration) float64 {
	return max(0, l.seconds) * math.Exp2(-float64(now-l.updatedAt)/float64(latenessHalfLife))
}

func (l *lateness) observe(now time.Duration, late float64) {
	l.seconds, l.updatedAt = l.at(now), now
	if late > l.seconds {
		l.seconds += latenessRiseWeight * (late - l.seconds)
	} else {
		l.seconds += latenessFallWeight * (late - l.seconds)
	}
}

// observeFirstToken takes the first token of short work.
func (p *pool) observeFirstToken(now time.Duration, it *item) {
	if it.class != marigoldcroft.ClassShort {
		return
	}
	late := (now - it.dispatchedAt).Seconds() - it.expectedFirstToken
	p.lateness.observe(now, min(late, maxLatenessSample.Seconds()))
	if it.interactiveShort() {
		p.firstTokenStats.observe(now, (now - it.submitted).Seconds())
	}
}

// firstTokenStats is the usual time to first token of interactive short work, in seconds.
type firstTokenStats struct {
	mean     float64
	variance float64
	samples  int
	at       time.Duration
}

// observe takes one time to first token. The weight follows the time that has passed and
// not the number of requests, which is larger in a demand swing.
func (c *firstTokenStats) observe(now time.Duration, first float64) {
	c.samples++
	weight := 1 - math.Exp(-float64(now-c.at)/float64(firstTokenWindow))
	if c.samples <= minFirstTokenSamples {
		weight = 1 / float64(c.samples)
	}
	c.at = now
	delta := first - c.mean
	c.mean += weight * delta
	c.variance += weight * (delta*(first-c.mean) - c.variance)
}

// startLimit returns the latest predicted start of interactive short work in seconds: as
// late as its first token usually comes, so that the first token of admitted work comes
// at most about twice as late as usual. It is the same for all sizes, as a limit that
// grows with the request would fill an overloaded engine with the largest ones. The mean
// prefill bounds it from below when prompts have become longer.
func (r *lengthAware) startLimit(it *item) float64 {
	limit, c := r.s.settings.UrgentStartLimit.Seconds(), &it.pool.firstTokenStats
	if c.samples < minFirstTokenSamples {
		return limit
	}
	usual := c.mean + startLimitDeviations*math.Sqrt(c.variance)
	return min(limit, max(usual, it.pool.meanShortPrefill.value, minStartLimit.Seconds()))
}

// currentLateness returns the lateness that counts against new urgent work in seconds. It is 0 while
// this instance has no short prefill outstanding, so that there is always a probe.
func (p *pool) currentLateness(now time.Duration) float64 {
	if p.outstandingShortPrefill == 0 {
		return 0
	}
	return p.lateness.at(now)
}

// unreportedPeerWait predicts the seconds of short prefill that peers have sent to the endpoint
// beyond what is seen of it, as their word is a second old. Peers are assumed to have
// prefill outstanding like this instance, in proportion to their short requests in
// flight, whose number changes slowly. It is the mean of all endpoints and thus affects
// admission, not the choice.
func (p *pool) unreportedPeerWait(now time.Duration, e *endpoint) float64 {
	if p.peerShortInFlight == 0 {
		return 0
	}
	share := float64(p.peerShortInFlight) / float64(p.shortInFlight+peerSharePrior)
	rate := e.rate()
	reported := e.otherPrefill(now, rate).short
	return max(0, float64(p.outstandingShortPrefill)*share/float64(len(p.live))-reported) / rate
}

// interactiveShort tells whether the item is interactive short work.
func (it *item) interactiveShort() bool {
	return it.class == marigoldcroft.ClassShort && it.urgency() == int(marigoldcroft.UrgencyInteractive)
}
