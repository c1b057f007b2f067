// Package mcscheduler decides where and when requests for models and services run. It
// does no I/O: callers pass the time in, and random choices come from a seeded source,
// so that a run can be reproduced exactly. docs/scheduling.md describes the formulas
// and the design decisions.
package mcscheduler

import (
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// The scheduling policies. PolicyLengthAware learns the speeds of the engines,
// PolicyPassModel uses the published ones, and the others are baselines for comparison.
const (
	PolicyLengthAware      = "lengthAware"
	PolicyRoundRobin       = "roundRobin"
	PolicyLeastOutstanding = "leastOutstanding"
	PolicyLengthBlindFIFO  = "lengthBlindFIFO"
	// PolicyPassModel places work by the performance figures that engines publish.
	PolicyPassModel = "passModel"
)

// The kinds of scheduler errors.
const (
	KindPolicy   Kind = "unknown policy"
	KindSettings Kind = "invalid settings"
)

type (
	// Kind is the kind of a scheduler error.
	Kind string
	// Error is the error type of the package.
	Error = marigoldcroft.Failure[Kind]

	// Settings tunes a scheduler. A field that is zero takes the value of Default.
	Settings struct {
		// Seed initializes the random source.
		Seed uint64
		// PrefillTokensPerSecond and DecodeTimePerToken are the initial estimates of
		// the cost model, used until completions have been observed.
		PrefillTokensPerSecond float64
		DecodeTimePerToken     time.Duration
		// OutputShare is the initial estimate of the share of OutputTokens that is
		// generated.
		OutputShare float64
		// KVCapacityTokens is the assumed KV capacity of an endpoint before its first
		// report.
		KVCapacityTokens int64
		// QueueLength bounds the waiting requests of each model.
		QueueLength int
		// ShortLimit is the longest predicted prefill of a short request.
		ShortLimit time.Duration
		// UrgentStartLimit bounds the predicted start of interactive short requests;
		// those that would start later are refused.
		UrgentStartLimit time.Duration
		// ShortBacklogLimit is the predicted wait above which an endpoint gets no
		// further short requests; they stay queued while every endpoint exceeds it.
		ShortBacklogLimit time.Duration
		// LongPrefillCapTokens bounds the outstanding long prefill of an endpoint that
		// already has some. A single larger prompt may still run there alone.
		LongPrefillCapTokens int64
		// LongOverlap is the remaining long prefill, as time, below which the next long
		// request is sent to an endpoint, so that the engine does not idle between the
		// two.
		LongOverlap time.Duration
		// ChunkDelay is a penalty on endpoints with long prefill when short requests
		// are placed. Larger values concentrate short requests on the other endpoints:
		// with 7 instances, 50 ms raised the p95 time to first token beside long
		// requests by a factor of 1.37, and 10 ms by 1.09.
		ChunkDelay time.Duration
		// AgingStep is the waiting time after which a request rises by one urgency
		// level.
		AgingStep time.Duration
		// LendShare is the largest share of the endpoints outside the long set that may
		// be lent to long requests.
		LendShare float64
		// PrefixHalfLife is the time in which the expected probability of a prefix
		// cache hit halves.
		PrefixHalfLife time.Duration
		// RetryBase is the smallest upper bound of the random RetryAfter.
		RetryBase time.Duration
		// Yield lets work that is cheaper to delay give way when capacity is short
		// (docs/design/yielding.md). Only PolicyPassModel supports it.
		Yield bool
		// ReservationChanged, if set, is called when the reservation of a model changes, at most once
		// every demandInterval for each model. It must not block or call the scheduler.
		ReservationChanged func(Reservation)
	}
)

// Default returns the settings for engines of about 10,000 prefill tokens a second.
func Default() Settings {
	return Settings{
		Seed:                   1,
		PrefillTokensPerSecond: 10_000,
		DecodeTimePerToken:     30 * time.Millisecond,
		OutputShare:            0.5,
		KVCapacityTokens:       400_000,
		QueueLength:            2000,
		ShortLimit:             500 * time.Millisecond,
		UrgentStartLimit:       400 * time.Millisecond,
		ShortBacklogLimit:      time.Second,
		LongPrefillCapTokens:   32_768,
		LongOverlap:            200 * time.Millisecond,
		ChunkDelay:             10 * time.Millisecond,
		AgingStep:              10 * time.Second,
		LendShare:              0.5,
		PrefixHalfLife:         time.Minute,
		RetryBase:              time.Second,
	}
}

// New returns a scheduler with the given policy. Its methods are safe for concurrent
// use.
func New(policy string, settings Settings) (marigoldcroft.Scheduler, error) {
	settings = settings.withDefaults()
	if err := settings.check(); err != nil {
		return nil, marigoldcroft.NewFailure("new "+policy, KindSettings, err)
	}
	s := newScheduler(settings)
	switch policy {
	case PolicyLengthAware:
		s.policy = &lengthAware{s: s}
	case PolicyPassModel:
		s.policy = &passModel{s: s}
	case PolicyRoundRobin:
		s.policy = &baseline{s: s, skipLimit: maxSkipped, better: firstInRotation}
	case PolicyLeastOutstanding:
		s.policy = &baseline{s: s, skipLimit: maxSkipped, better: fewestRequests}
	case PolicyLengthBlindFIFO:
		s.policy = &baseline{s: s, skipLimit: 0, better: fewestRequests}
	default:
		return nil, marigoldcroft.NewFailure("new", KindPolicy, errors.Newf("%q", policy))
	}
	return s, nil
}

// check returns an error that names the first field out of range.
func (s Settings) check() error {
	for _, f := range []struct {
		name  string
		valid bool
	}{
		{"PrefillTokensPerSecond", s.PrefillTokensPerSecond > 0},
		{"DecodeTimePerToken", s.DecodeTimePerToken > 0},
		{"OutputShare", s.OutputShare > 0 && s.OutputShare <= 1},
		{"KVCapacityTokens", s.KVCapacityTokens > 0},
		{"QueueLength", s.QueueLength > 0},
		{"ShortLimit", s.ShortLimit > 0},
		{"UrgentStartLimit", s.UrgentStartLimit > 0},
		{"ShortBacklogLimit", s.ShortBacklogLimit > 0},
		{"LongPrefillCapTokens", s.LongPrefillCapTokens > 0},
		{"LongOverlap", s.LongOverlap > 0},
		{"ChunkDelay", s.ChunkDelay > 0},
		{"AgingStep", s.AgingStep > 0},
		{"LendShare", s.LendShare > 0 && s.LendShare <= 1},
		{"PrefixHalfLife", s.PrefixHalfLife > 0},
		{"RetryBase", s.RetryBase > 0},
	} {
		if !f.valid {
			return errors.Newf("%s is out of range", f.name)
		}
	}
	return nil
}

// withDefaults replaces zero fields with the defaults.
func (s Settings) withDefaults() Settings {
	d := Default()
	fill(&s.Seed, d.Seed)
	fill(&s.PrefillTokensPerSecond, d.PrefillTokensPerSecond)
	fill(&s.DecodeTimePerToken, d.DecodeTimePerToken)
	fill(&s.OutputShare, d.OutputShare)
	fill(&s.KVCapacityTokens, d.KVCapacityTokens)
	fill(&s.QueueLength, d.QueueLength)
	fill(&s.ShortLimit, d.ShortLimit)
	fill(&s.UrgentStartLimit, d.UrgentStartLimit)
	fill(&s.ShortBacklogLimit, d.ShortBacklogLimit)
	fill(&s.LongPrefillCapTokens, d.LongPrefillCapTokens)
	fill(&s.LongOverlap, d.LongOverlap)
	fill(&s.ChunkDelay, d.ChunkDelay)
	fill(&s.AgingStep, d.AgingStep)
	fill(&s.LendShare, d.LendShare)
	fill(&s.PrefixHalfLife, d.PrefixHalfLife)
	fill(&s.RetryBase, d.RetryBase)
	return s
}

// fill sets *field to value when it is zero.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
