// Package mcload generates load: a mix of prompt lengths, open-loop arrivals whose rate can
// rise during the run, and callers that can retry refusals at once.
package mcload

import (
	"math/rand/v2"
	"time"
)

// Part is a phase of a run. A request belongs to the phase in which it arrives.
type Part string

// The phases of a run. A run without a swing consists of PartCalm only.
const (
	// PartCalm is the time at the base rate before the swing.
	PartCalm Part = "calm"
	// PartRamp is the time in which the rate rises to its peak.
	PartRamp Part = "ramp"
	// PartCrest is the time at the peak rate.
	PartCrest Part = "crest"
	// PartAfter is the time at the base rate after the swing.
	PartAfter Part = "after"
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

	// Swing is a temporary rise of the arrival rate. A Factor of 0 means no swing.
	Swing struct {
		// Start counts from the start of the run. Length is the duration of the swing; it
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
		// Rate is the base arrival rate in requests per second, outside the swing.
		Rate     float64
		Duration time.Duration
		Swing    Swing
		Classes  []Class
		// RetryNow makes callers retry refusals at once until their deadline.
		RetryNow bool
		// MaxTries limits the attempts of one caller; 0 means 1<<20.
		MaxTries int
		// MaxCallers limits the callers that are active at once, as open-loop arrivals can
		// outrun the targets without limit; 0 means 10000. Resident callers do not count.
		MaxCallers int
		// Resident is the number of requests of ResidentClass that are kept running throughout.
		Resident      int
		ResidentClass Class
		// HealthChecks restricts requests to targets that are ready according to /readyz, as
		// the platform's load balancer does.
		HealthChecks bool
		// Direct is the model name if the targets are engines; it is empty if they are entry
		// instances.
		Direct string
	}
)

// rateFactor returns the multiplier of the base rate at the given time of the run.
func (s Swing) rateFactor(at time.Duration) float64 {
	if s.Factor == 0 || at < s.Start || at >= s.Start+s.Length {
		return 1
	}
	if elapsed := at - s.Start; elapsed < s.Ramp {
		return 1 + (s.Factor-1)*float64(elapsed)/float64(s.Ramp)
	}
	return s.Factor
}

// partAt returns the phase that the given time of the run belongs to.
func (s Swing) partAt(at time.Duration) Part {
	switch {
	case s.Factor == 0 || at < s.Start:
		return PartCalm
	case at < s.Start+s.Ramp:
		return PartRamp
	case at < s.Start+s.Length:
		return PartCrest
	}
	return PartAfter
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
