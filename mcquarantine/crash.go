package mcquarantine

import (
	"slices"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

type (
	// endpointState tracks the attempts of this instance that run on one endpoint.
	endpointState struct {
		// incarnation is the highest one that the endpoint reported, or 0.
		incarnation uint64
		// firstBroken is the time of the first broken stream whose cause is not known yet,
		// or zero.
		firstBroken time.Time
		inFlight    map[marigoldcroft.StreamID]inFlightAttempt
	}

	inFlightAttempt struct {
		fingerprint Fingerprint
		parts       []Fingerprint
		// splitPart has the fingerprints of the part of which the prompt has only a piece, if any. Its
		// answer is no proof for the whole part.
		splitPart []Fingerprint
		// suspect is true if the fingerprint was a suspect when the attempt began, so that it
		// ran isolated.
		suspect   bool
		startedAt time.Time
		// firstOutputAt is when the answer began, or zero.
		firstOutputAt time.Time
		// continued is true once the answer went on for longer than BlameWindow.
		continued bool
		// brokenAt is when the stream broke, or zero.
		brokenAt time.Time
		// crashCounted is true after the crash was counted against the fingerprint. The
		// attempt is kept, as the end of its stream may be read only after the crash was
		// detected: if the response turns out to be complete, the request had finished
		// before the crash and its entry is cleared.
		crashCounted bool
	}

	// requestInFlight is what is known at a crash about a request that was in flight there.
	requestInFlight struct {
		// isolated is true if an attempt of it ran isolated.
		isolated bool
		parts    []Fingerprint
		// unanswered is the number of its other attempts, at all endpoints, that are in flight
		// without output and may still crash them.
		unanswered uint32
	}
)

// crashEvidenceWindow is the time after a broken stream within which a refused connection
// or a new incarnation shows that the endpoint crashed. Later evidence is ignored.
const crashEvidenceWindow = 5 * time.Second

// StreamBroken records that an attempt's stream broke. A broken stream alone is no evidence
// of a crash: the caller probes the endpoint and reports what it finds with
// ConnectionRefused or IncarnationReported.
func (g *Guard) StreamBroken(now time.Time, endpointName string, id marigoldcroft.StreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.endpoint(endpointName)
	state.dropUnexplained(now)
	attempt, known := state.inFlight[id]
	if !known {
		return
	}
	if attempt.crashCounted {
		delete(state.inFlight, id)
		return
	}
	attempt.brokenAt = now
	state.inFlight[id] = attempt
	if state.firstBroken.IsZero() {
		state.firstBroken = now
	}
}

// ConnectionRefused records that the endpoint's host refused a connection, as it does when
// no process listens; a connection attempt that merely times out must not be reported.
// After a broken stream it shows that the endpoint crashed, and the crash is counted
// against all requests that were in flight there when the first stream broke. It returns
// the changed entries for the peers.
func (g *Guard) ConnectionRefused(now time.Time, endpointName string) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.endpoint(endpointName)
	state.dropUnexplained(now)
	if state.firstBroken.IsZero() {
		return nil
	}
	return g.countCrash(now, state)
}

// IncarnationReported records the incarnation that the endpoint reported in response to a
// query sent at requestedAt. After a broken stream, a higher incarnation than before shows
// that the endpoint crashed and restarted, and the crash is counted as in
// ConnectionRefused. The same incarnation shows that the endpoint outlived the streams that
// broke before the query, and their requests are no longer held responsible.
func (g *Guard) IncarnationReported(now, requestedAt time.Time, endpointName string, incarnation uint64) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.endpoint(endpointName)
	state.dropUnexplained(now)
	restarted := state.incarnation != 0 && incarnation > state.incarnation
	state.incarnation = max(state.incarnation, incarnation)
	if restarted && !state.firstBroken.IsZero() {
		return g.countCrash(now, state)
	}
	state.dropBroken(func(brokenAt time.Time) bool { return !brokenAt.After(requestedAt) })
	return nil
}

// countCrash counts one crash against each request that was in flight when the first stream
// broke, and against the shared parts of these requests.
func (g *Guard) countCrash(now time.Time, state *endpointState) []*mcmessage.QuarantineEntry {
	var attempts []inFlightAttempt
	for id, attempt := range state.inFlight {
		if attempt.crashCounted || attempt.startedAt.After(state.firstBroken) {
			continue
		}
		attempts = append(attempts, attempt)
		if attempt.crashCounted = true; attempt.brokenAt.IsZero() {
			state.inFlight[id] = attempt
		} else {
			delete(state.inFlight, id)
		}
	}
	crashedAt := state.firstBroken
	state.firstBroken = time.Time{}
	// Requests come first, as they are weighed against the crashes of parts before this one.
	messages := g.blameRequests(now, attempts)
	messages = append(messages, g.blameParts(now, crashedAt, attempts)...)
	sortEntries(messages)
	return messages
}

// blameRequests attributes a crash to each of the requests that were in flight and returns their
// entries.
func (g *Guard) blameRequests(now time.Time, attempts []inFlightAttempt) []*mcmessage.QuarantineEntry {
	requests := make(map[Fingerprint]requestInFlight)
	for _, attempt := range attempts {
		r := requests[attempt.fingerprint]
		r.isolated = r.isolated || attempt.suspect
		r.parts = append(r.parts, attempt.parts...)
		requests[attempt.fingerprint] = r
	}
	suspects := g.suspects(now, attempts)
	for _, state := range g.endpoints {
		state.dropUnexplained(now)
		for _, attempt := range state.inFlight {
			if r, found := requests[attempt.fingerprint]; found && !attempt.crashCounted && attempt.firstOutputAt.IsZero() {
				r.unanswered++
				requests[attempt.fingerprint] = r
			}
		}
	}
	changed := make([]*mcmessage.QuarantineEntry, 0, len(requests))
	for f, r := range requests {
		e := g.ensureEntry(now, f)
		r.isolated = r.isolated && !r.hasRival(f, suspects)
		e.addCrash(now, r)
		changed = append(changed, e.toMessage(f))
	}
	return changed
}

// suspects returns the earlier crashes of the requests that were in flight, and of their parts if
// the crash may be attributed to these. Fingerprints without any are left out.
func (g *Guard) suspects(now time.Time, attempts []inFlightAttempt) map[Fingerprint]uint32 {
	suspects := make(map[Fingerprint]uint32)
	add := func(f Fingerprint) {
		if n := g.crashes(now, f); n > 0 {
			suspects[f] = n
		}
	}
	for _, attempt := range attempts {
		add(attempt.fingerprint)
		if attempt.continued {
			continue
		}
		for _, part := range attempt.parts {
			add(part)
		}
	}
	return suspects
}

// hasRival reports whether another request, or a part that this one does not contain, is suspected
// at least as much.
func (r requestInFlight) hasRival(f Fingerprint, suspects map[Fingerprint]uint32) bool {
	for other, crashes := range suspects {
		if other != f && crashes >= suspects[f] && !slices.Contains(r.parts, other) {
			return true
		}
	}
	return false
}

// dropUnexplained removes broken streams for which no evidence of a crash was found within
// crashEvidenceWindow.
func (s *endpointState) dropUnexplained(now time.Time) {
	s.dropBroken(func(brokenAt time.Time) bool { return now.Sub(brokenAt) >= crashEvidenceWindow })
}

// dropBroken removes the broken streams that match and updates firstBroken from the others.
func (s *endpointState) dropBroken(match func(brokenAt time.Time) bool) {
	s.firstBroken = time.Time{}
	for id, attempt := range s.inFlight {
		switch {
		case attempt.brokenAt.IsZero():
		case match(attempt.brokenAt):
			delete(s.inFlight, id)
		case s.firstBroken.IsZero() || attempt.brokenAt.Before(s.firstBroken):
			s.firstBroken = attempt.brokenAt
		}
	}
}

func (g *Guard) endpoint(name string) *endpointState {
	state := g.endpoints[name]
	if state == nil {
		if g.endpoints == nil {
			g.endpoints = make(map[string]*endpointState)
		}
		state = &endpointState{inFlight: make(map[marigoldcroft.StreamID]inFlightAttempt)}
		g.endpoints[name] = state
	}
	return state
}
