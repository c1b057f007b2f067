// Package mcload generates load: a mix of prompt lengths, open-loop arrivals whose rate can
// rise during the run, and callers that can retry refusals at once.
package mcload

import (
	"math/rand/v2"
	"time"
)

// Phase is a phase of a run. A request belongs to the phase in which it arrives.
type Phase string

// The phases of a run. A run without a rate rise consists of PhaseBase only.
const (
	// PhaseBase is the time at the base rate before the rise.
	PhaseBase Phase = "calm"
	// PhaseRamp is the time in which the rate rises to its peak.
	PhaseRamp Phase = "ramp"
	// PhasePeak is the time at the peak rate.
	PhasePeak Phase = "crest"
	// PhaseAfter is the time at the base rate after the rise.
	PhaseAfter Phase = "after"
)

type (
	// Class describes one class of requests in the mix.
	Class struct {
		// Name identifies the class in the report.
		Name string
		// Template is sent in the X-Template header.
		Template string
		// Weight is the share of arrivals relative to the weights of the other classes.
		Weight float64
		// MinTokens and MaxTokens bound the prompt length, which is log-uniform.
		MinTokens int
		MaxTokens int
		// OutputTokens is the max_tokens value of the request.
		OutputTokens int
		// Deadline is the caller's time limit for the request with all its retries.
		Deadline time.Duration
	}

	// RateRise is a temporary rise of the arrival rate. A Factor of 0 means no rise.
	RateRise struct {
		// Start counts from the start of the run. Length is the duration of the rise; it
		// includes Ramp, the time in which the multiplier rises from 1 to Factor.
		Start  time.Duration
		Ramp   time.Duration
		Length time.Duration
		Factor float64
	}

	// Settings describes one run. The run ends by itself after Duration and the last
	// deadline.
	Settings struct {
		// Targets are the base URLs of entry instances, or of an engine.
		Targets []string
		// Key is the team's bearer key.
		Key  string
		Seed uint64
		// Rate is the base arrival rate in requests per second, outside the rate rise.
		Rate     float64
		Duration time.Duration
		RateRise RateRise
		Classes  []Class
		// RetryRefusals makes callers retry refusals at once until their deadline.
		RetryRefusals bool
		// MaxAttempts limits the attempts of one caller; 0 means 1<<20.
		MaxAttempts int
		// MaxCallers limits the callers that are active at once, as open-loop arrivals can
		// outrun the targets without limit; 0 means 10000. Background callers do not count.
		MaxCallers int
		// BackgroundCallers is the number of requests of BackgroundClass that are kept running
		// throughout.
		BackgroundCallers int
		BackgroundClass   Class
		// HealthChecks restricts requests to targets that are ready according to /readyz, as
		// the platform's load balancer does.
		HealthChecks bool
		// EngineModel is the model name if the targets are engines; it is empty if they are entry
		// instances.
		EngineModel string
	}
)

// rateFactor returns the multiplier of the base rate at the given time of the run.
func (s RateRise) rateFactor(at time.Duration) float64 {
	if s.Factor == 0 || at < s.Start || at >= s.Start+s.Length {
		return 1
	}
	if elapsed := at - s.Start; elapsed < s.Ramp {
		return 1 + (s.Factor-1)*float64(elapsed)/float64(s.Ramp)
	}
	return s.Factor
}

// phaseAt returns the phase that the given time of the run belongs to.
func (s RateRise) phaseAt(at time.Duration) Phase {
	switch {
	case s.Factor == 0 || at < s.Start:
		return PhaseBase
	case at < s.Start+s.Ramp:
		return PhaseRamp
	case at < s.Start+s.Length:
		return PhasePeak
	}
	return PhaseAfter
}

// pickClass returns a random class; each class is chosen in proportion to its weight.
func pickClass(rng *rand.Rand, classes []Class) Class {
	var total float64
	for _, c := range classes {
		total += c.Weight
	}
	remaining := rng.Float64() * total
	for _, c := range classes {
		if remaining -= c.Weight; remaining < 0 {
			return c
		}
	}
	return classes[len(classes)-1]
}
