package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// calmWindow averages the usual time to first token over minutes, so that a demand
	// swing of seconds hardly moves it.
	calmWindow = 5 * time.Minute
	// calmSamples is the number of first tokens after which the mean is used.
	calmSamples = 20
	// calmDeviations above the mean is what counts as usual. Two, near the 95th
	// percentile, left no room for the lag of views: in a trial with six instances the
	// p95 at a demand swing was 2.6 times the calm one, and 2.0 times with one.
	calmDeviations = 1.0
	// startLimitFloor bounds the start limit from below for prompts of a few tokens.
	startLimitFloor = 50 * time.Millisecond
	// The weights of a first token that comes later or earlier than the lateness says.
	latenessRise = 0.2
	latenessFall = 0.05
	// maxLateness bounds one sample, so that a single hung request says little.
	maxLateness = time.Second
	// latenessHalfLife is near the interval of the peers' exchange.
	latenessHalfLife = time.Second
	// sharePrior is added to this instance's count of short requests when the peers'
	// share is estimated, so that a count of one or two does not exaggerate it.
	sharePrior = 4
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
		l.seconds += latenessRise * (late - l.seconds)
	} else {
		l.seconds += latenessFall * (late - l.seconds)
	}
}

// learnFirst takes the first token of short work.
func (p *pool) learnFirst(now time.Duration, it *item) {
	if it.class != marigoldcroft.ClassShort {
		return
	}
	late := (now - it.heldAt).Seconds() - it.expected
	p.lateness.observe(now, min(late, maxLateness.Seconds()))
	if it.urgentShort() {
		p.calm.observe(now, (now - it.submitted).Seconds())
	}
}

// calm is the usual time to first token of interactive short work, in seconds.
type calm struct {
	mean     float64
	variance float64
	samples  int
	at       time.Duration
}

// observe takes one time to first token. The weight follows the time that has passed and
// not the number of requests, which is larger in a demand swing.
func (c *calm) observe(now time.Duration, first float64) {
	c.samples++
	weight := 1 - math.Exp(-float64(now-c.at)/float64(calmWindow))
	if c.samples <= calmSamples {
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
	limit, c := r.s.settings.UrgentStartLimit.Seconds(), &it.pool.calm
	if c.samples < calmSamples {
		return limit
	}
	usual := c.mean + calmDeviations*math.Sqrt(c.variance)
	return min(limit, max(usual, it.pool.shortMean.value, startLimitFloor.Seconds()))
}

// late returns the lateness that counts against new urgent work in seconds. It is 0 while
// this instance has no short prefill outstanding, so that there is always a probe.
func (p *pool) late(now time.Duration) float64 {
	if p.shortPrefill == 0 {
		return 0
	}
	return p.lateness.at(now)
}

// unseen predicts the seconds of short prefill that peers have sent to the endpoint
// beyond what is seen of it, as their word is a second old. Peers are assumed to have
// prefill outstanding like this instance, in proportion to their short requests in
// flight, whose number changes slowly. It is the mean of all endpoints and thus affects
// admission, not the choice.
func (p *pool) unseen(now time.Duration, e *endpoint) float64 {
	if p.peerShorts == 0 {
		return 0
	}
	share := float64(p.peerShorts) / float64(p.shorts+sharePrior)
	rate := e.rate()
	seen := e.otherPrefill(now, rate).short
	return max(0, float64(p.shortPrefill)*share/float64(len(p.live))-seen) / rate
}

// urgentShort tells whether the item is interactive short work.
func (it *item) urgentShort() bool {
	return it.class == marigoldcroft.ClassShort && it.urgency() == int(marigoldcroft.UrgencyInteractive)
}
