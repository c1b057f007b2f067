// Package mcload generates load: mixed prompt lengths, open-loop arrivals with a
// swing of demand, callers that retry at once.
package mcload

import (
	"math/rand/v2"
	"time"
)

// Part is a part of a run, by the time at which a request arrives.
type Part string

// The parts of a run; one without a swing is calm throughout.
const (
	PartCalm  Part = "calm"
	PartRamp  Part = "ramp"
	PartCrest Part = "crest"
	PartAfter Part = "after"
)

type (
	// Class is one kind of request in the mix.
	Class struct {
		// Name is the row of the report.
		Name string
		// Template is sent in the X-Template header.
		Template string
		// Weight is the share of arrivals, relative to the other classes.
		Weight float64
		// MinTokens and MaxTokens bound the prompt; lengths are log-uniform.
		MinTokens int
		MaxTokens int
		// OutputTokens is the length of the answer.
		OutputTokens int
		// Deadline ends the caller's patience.
		Deadline time.Duration
	}

	// Swing multiplies the arrival rate for a time.
	Swing struct {
		// Start and Length count from the start of the run; Ramp is the time to reach
		// the full factor.
		Start  time.Duration
		Ramp   time.Duration
		Length time.Duration
		Factor float64
	}

	// Settings describes one run. It ends by itself after Duration and the last deadline.
	Settings struct {
		// Targets are the base URLs of entry instances, or of an engine.
		Targets []string
		// Key is the team's bearer key.
		Key  string
		Seed uint64
		// Rate is arrivals a second before any swing.
		Rate     float64
		Duration time.Duration
		Swing    Swing
		Classes  []Class
		// RetryNow makes callers retry refusals at once until their deadline.
		RetryNow bool
		// MaxTries bounds the tries of one caller.
		MaxTries int
		// MaxCallers bounds the callers at once, so that the generator cannot run away.
		MaxCallers int
		// Resident keeps this many requests of the class ResidentClass running.
		Resident      int
		ResidentClass Class
		// HealthChecks sends requests only to targets that answer /readyz, as the
		// platform's balancer does.
		HealthChecks bool
		// Direct is the model name when the target is an engine instead of an entry instance.
		Direct string
	}
)

// factor returns the multiple of the rate at the time since the start.
func (s Swing) factor(at time.Duration) float64 {
	if s.Factor == 0 || at < s.Start || at >= s.Start+s.Length {
		return 1
	}
	if into := at - s.Start; into < s.Ramp {
		return 1 + (s.Factor-1)*float64(into)/float64(s.Ramp)
	}
	return s.Factor
}

// part returns the part of the run that the time lies in.
func (s Swing) part(at time.Duration) Part {
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

// pick returns a class by weight.
func pick(rng *rand.Rand, classes []Class) Class {
	var total float64
	for _, c := range classes {
		total += c.Weight
	}
	at := rng.Float64() * total
	for _, c := range classes {
		if at -= c.Weight; at < 0 {
			return c
		}
	}
	return classes[len(classes)-1]
}
