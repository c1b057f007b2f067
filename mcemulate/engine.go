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
		figures marigoldcroft.EngineFigures
		// pace is the factor by which the engine is slower than its published figures.
		pace float64
		// running requests hold a slot, queued ones wait for a slot. parts are the prompt
		// parts that still have to be prefilled.
		running, queued []*request
		parts           []*part
		// busy is true while a forward pass runs.
		busy bool
	}

	// part is the share of a prompt that one engine prefills.
	part struct {
		request *request
		// tokens is the number of tokens left to prefill; cost is the prefill time of one
		// token in seconds, at the published speed.
		tokens, cost float64
	}
)

// readSeconds returns the time in seconds that one engine needs to prefill a whole prompt.
func readSeconds(f *marigoldcroft.EngineFigures, tokens int64) float64 {
	n := float64(tokens)
	return n/f.PrefillTokensPerSecond + n*n/2/1e6*f.PrefillTimePerMegaPair.Seconds()
}

// admit moves queued requests into free slots, in order of arrival.
func (e *engine) admit() {
	for len(e.queued) > 0 && len(e.running) < e.figures.Slots {
		r := e.queued[0]
		e.queued = e.queued[1:]
		if !r.gone {
			e.running = append(e.running, r)
			e.parts = append(e.parts, r.own)
		}
	}
}

// pass executes the next forward pass. It returns the duration of the pass, the requests
// whose prefill it completed, and the requests that it decoded. A duration of 0 means that
// the engine is idle.
func (e *engine) pass() (length time.Duration, read, wrote []*request) {
	e.admit()
	for _, r := range e.running {
		if r.writing {
			wrote = append(wrote, r)
		}
	}
	steps := 1
	if len(wrote) > 0 {
		steps = max(1, e.figures.Stride)
	}
	spent, read := e.read(float64(steps * e.figures.ChunkTokens))
	if spent == 0 && len(wrote) == 0 {
		return 0, nil, nil
	}
	step := e.figures.StepTime + time.Duration(len(wrote))*e.figures.StepTimePerRequest
	seconds := float64(steps)*step.Seconds() + spent
	return time.Duration(seconds * e.pace * float64(time.Second)), read, wrote
}

// read prefills parts up to the token budget of a pass. It returns the prefill time in
// seconds, at the published speed, and the requests whose prompts are now fully prefilled.
func (e *engine) read(budget float64) (spent float64, done []*request) {
	for _, helping := range []bool{true, false} {
		for _, p := range e.parts {
			if (p.request.engine != e) != helping || p.request.gone {
				continue
			}
			take := math.Min(p.tokens, budget)
			p.tokens -= take
			budget -= take
			spent += take * p.cost
			if take > 0 && p.tokens == 0 {
				if p.request.unread--; p.request.unread == 0 {
					done = append(done, p.request)
				}
			}
		}
	}
	kept := e.parts[:0]
	for _, p := range e.parts {
		if p.tokens > 0 && !p.request.gone {
			kept = append(kept, p)
		}
	}
	clear(e.parts[len(kept):])
	e.parts = kept
	return spent, done
}

// drop removes a request from the engine and frees its slot.
func (e *engine) drop(r *request) {
	r.gone = true
	for i, other := range e.running {
		if other == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}
