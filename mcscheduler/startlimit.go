package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

const (
	// firstTokenWindow is the averaging window of the usual time to first token. It
	// spans minutes, so that a demand peak of seconds hardly affects the mean.
	firstTokenWindow = 5 * time.Minute
	// minFirstTokenSamples is the number of first tokens needed before the mean is
	// used.
	minFirstTokenSamples = 20
	// startLimitDeviations is the number of standard deviations above the mean that
	// still counts as usual. Two, near the 95th percentile, left no margin for the lag
	// of load views: with six instances, the p95 during a demand peak was 2.6 times the
	// p95 under steady load, and 2.0 times with one deviation.
	startLimitDeviations = 1.0
	// minStartLimit is the lower bound of the start limit, for prompts of a few tokens.
	minStartLimit = 50 * time.Millisecond
	// The sample weights of first tokens that are later or earlier than the current
	// lateness predicts.
	latenessRiseWeight = 0.2
	latenessFallWeight = 0.05
	// maxLatenessSample bounds one sample, so that a single hung request has little
	// effect.
	maxLatenessSample = time.Second
	// latenessHalfLife is close to the interval at which peers exchange their loads.
	latenessHalfLife = time.Second
	// peerSharePrior is added to this instance's count of short requests when the
	// peers' share is estimated, so that a count of one or two does not inflate the
	// estimate.
	peerSharePrior = 4
)

// lateness tracks how much later than predicted the first tokens of short requests
// arrive. It rises fast, falls slowly and decays with time, so that it cannot keep
// refusing all requests when none is running that would correct it.
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

// observeFirstToken updates the lateness and, for interactive work, the usual time to
// first token from the first token of a short request.
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

// firstTokenStats tracks the time to first token of interactive short requests, in
// seconds.
type firstTokenStats struct {
	mean     float64
	variance float64
	samples  int
	at       time.Duration
}

// observe records one time to first token. Its weight depends on the elapsed time
// rather than the number of requests, because demand peaks bring more requests.
func (s *firstTokenStats) observe(now time.Duration, first float64) {
	s.samples++
	weight := 1 - math.Exp(-float64(now-s.at)/float64(firstTokenWindow))
	if s.samples <= minFirstTokenSamples {
		weight = 1 / float64(s.samples)
	}
	s.at = now
	delta := first - s.mean
	s.mean += weight * delta
	s.variance += weight * (delta*(first-s.mean) - s.variance)
}

// startLimit returns the latest acceptable predicted start of interactive short work in
// seconds. It equals the usual time to first token, so that the first token of admitted
// work comes at most about twice as late as usual. It is the same for all prompt sizes:
// a limit that grew with the prompt would fill an overloaded engine with the largest
// requests. The mean short prefill bounds it from below in case prompts have become
// longer.
func (l *lengthAware) startLimit(it *item) float64 {
	limit, stats := l.s.settings.UrgentStartLimit.Seconds(), &it.pool.firstTokenStats
	if stats.samples < minFirstTokenSamples {
		return limit
	}
	usual := stats.mean + startLimitDeviations*math.Sqrt(stats.variance)
	return min(limit, max(usual, it.pool.meanShortPrefill.value, minStartLimit.Seconds()))
}

// currentLateness returns the lateness in seconds that counts against new urgent work.
// It is 0 while this instance has no short prefill outstanding, so that there is always
// a request that can correct it.
func (p *pool) currentLateness(now time.Duration) float64 {
	if p.outstandingShortPrefill == 0 {
		return 0
	}
	return p.lateness.at(now)
}

// unreportedPeerWait predicts the seconds of short prefill that peers have sent to the
// endpoint but that its view does not show yet, because peers' reports are about a
// second old. Peers are assumed to have as much prefill outstanding for each short
// request in flight as this instance; the number of these requests changes slowly. The
// estimate is an average over the endpoints and is therefore used for admission, not
// for the choice of endpoint.
func (p *pool) unreportedPeerWait(now time.Duration, e *endpoint) float64 {
	if p.peerShortInFlight == 0 {
		return 0
	}
	share := float64(p.peerShortInFlight) / float64(p.shortInFlight+peerSharePrior)
	rate := e.rate()
	reported := e.otherPrefill(now, rate).short
	return max(0, float64(p.outstandingShortPrefill)*share/float64(len(p.live))-reported) / rate
}

// interactiveShort reports whether the item is interactive short work.
func (it *item) interactiveShort() bool {
	return it.class == marigoldcroft.ClassShort && it.urgency() == int(marigoldcroft.UrgencyInteractive)
}
