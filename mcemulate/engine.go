// Package mcemulate is a discrete-event simulation of a deployment. It submits generated
// requests to the production schedulers, one for each emulated instance, and executes their
// decisions on emulated engines. Instances see each other's in-flight work with a delay.
// Scheduling policies can thus be compared on the same arrivals.
package mcemulate

import (
	"math"
	"time"

	"marigoldcroft"
)

type (
	// engine emulates a model engine that prefills and decodes in the same forward passes.
	// It prefills parts of other engines' requests first, then those of its own requests,
	// each in order of arrival.
	engine struct {
		figures marigoldcroft.EnginePerformance
		// slowdown is the factor by which the engine is slower than its published figures.
		slowdown float64
		// running requests hold a slot, queued ones wait for a slot. parts are the prompt
		// parts that still have to be prefilled.
		running, queued []*request
		parts           []*promptPart
		// busy is true while a forward pass runs.
		busy bool
	}

	// promptPart is the share of a prompt that one engine prefills.
	promptPart struct {
		request *request
		// tokensLeft is the number of tokens left to prefill; secondsPerToken is the prefill
		// time of one token at the published speed.
		tokensLeft, secondsPerToken float64
	}
)

// prefillSeconds returns the time in seconds that one engine needs to prefill a whole prompt.
func prefillSeconds(f *marigoldcroft.EnginePerformance, tokens int64) float64 {
	n := float64(tokens)
	return n/f.PrefillTokensPerSecond + n*n/2/1e6*f.PrefillTimePerMegaPair.Seconds()
}

// admit moves queued requests into free slots, in order of arrival.
func (e *engine) admit() {
	for len(e.queued) > 0 && len(e.running) < e.figures.Slots {
		r := e.queued[0]
		e.queued = e.queued[1:]
		if !r.removed {
			e.running = append(e.running, r)
			e.parts = append(e.parts, r.ownPart)
		}
	}
}

// runPass executes the next forward pass. It returns the duration of the pass, the requests
// whose prefill it completed, and the requests that it decoded. A duration of 0 means that
// the engine is idle.
func (e *engine) runPass() (duration time.Duration, prefilled, decoded []*request) {
	e.admit()
	for _, r := range e.running {
		if r.decoding {
			decoded = append(decoded, r)
		}
	}
	steps := 1
	if len(decoded) > 0 {
		steps = max(1, e.figures.StepsPerPass)
	}
	prefillTime, prefilled := e.prefill(float64(steps * e.figures.ChunkTokens))
	if prefillTime == 0 && len(decoded) == 0 {
		return 0, nil, nil
	}
	step := e.figures.StepTime + time.Duration(len(decoded))*e.figures.StepTimePerRequest
	seconds := float64(steps)*step.Seconds() + prefillTime
	return time.Duration(seconds * e.slowdown * float64(time.Second)), prefilled, decoded
}

// prefill processes parts up to the token budget of a pass, those of other engines' requests
// (remote) first. It returns the prefill time in seconds, at the published speed, and the
// requests whose prompts are now fully prefilled.
func (e *engine) prefill(budget float64) (seconds float64, prefilled []*request) {
	for _, remote := range []bool{true, false} {
		for _, p := range e.parts {
			if (p.request.engine != e) != remote || p.request.removed {
				continue
			}
			take := math.Min(p.tokensLeft, budget)
			p.tokensLeft -= take
			budget -= take
			seconds += take * p.secondsPerToken
			if take > 0 && p.tokensLeft == 0 {
				if p.request.pendingParts--; p.request.pendingParts == 0 {
					prefilled = append(prefilled, p.request)
				}
			}
		}
	}
	kept := e.parts[:0]
	for _, p := range e.parts {
		if p.tokensLeft > 0 && !p.request.removed {
			kept = append(kept, p)
		}
	}
	clear(e.parts[len(kept):])
	e.parts = kept
	return seconds, prefilled
}

// remove takes a request off the engine and frees its slot.
func (e *engine) remove(r *request) {
	r.removed = true
	for i, other := range e.running {
		if other == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}
