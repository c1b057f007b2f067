// Package mcemulate plays load against emulated engines in simulated time. It drives the
// product's own schedulers, several instances of them with views of each other that lag,
// so that policies can be compared on the same arrivals.
package mcemulate

import (
	"math"
	"time"

	"marigoldcroft"
)

type (
	// engine reads prompts in the order of their arrival, parts for other engines first,
	// inside passes that also decode.
	engine struct {
		figures marigoldcroft.EnginePerformance
		// pace is how many times slower than published the engine is.
		pace float64
		// running hold slots; queued wait for one; parts are what is to be read.
		running, queued []*request
		parts           []*part
		// busy is true while a pass runs.
		busy bool
	}

	// part is what one engine reads of a prompt.
	part struct {
		request *request
		// tokens are left to read; each takes cost seconds at the published pace.
		tokens, cost float64
	}
)

// readSeconds returns the time in which one engine reads the prompt on its own.
func readSeconds(f *marigoldcroft.EnginePerformance, tokens int64) float64 {
	n := float64(tokens)
	return n/f.PrefillTokensPerSecond + n*n/2/1e6*f.PrefillTimePerMegaPair.Seconds()
}

// admit gives free slots to queued requests.
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

// pass does the next pass and returns its length, the requests whose prompts were read to
// the end and those that wrote. A length of 0 means that the engine is idle.
func (e *engine) pass() (length time.Duration, read, wrote []*request) {
	e.admit()
	for _, r := range e.running {
		if r.writing {
			wrote = append(wrote, r)
		}
	}
	steps := 1
	if len(wrote) > 0 {
		steps = max(1, e.figures.StepsPerPass)
	}
	spent, read := e.read(float64(steps * e.figures.ChunkTokens))
	if spent == 0 && len(wrote) == 0 {
		return 0, nil, nil
	}
	step := e.figures.StepTime + time.Duration(len(wrote))*e.figures.StepTimePerRequest
	seconds := float64(steps)*step.Seconds() + spent
	return time.Duration(seconds * e.pace * float64(time.Second)), read, wrote
}

// read works on parts until the tokens of the pass are used up.
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

// drop takes a request off the engine.
func (e *engine) drop(r *request) {
	r.gone = true
	for i, other := range e.running {
		if other == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}
