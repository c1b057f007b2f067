package mcquarantine

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// partCrashLimit is the number of crashes in a row at which a shared part is quarantined.
	// provenPartCrashLimit applies to a part with which a request was answered recently.
	partCrashLimit       = 3
	provenPartCrashLimit = 5
	// partTTL is how long the entry of a part lasts after its last change, and so how long a
	// quarantine does. It is the same for all entries, so that the record of a clear does not
	// expire before an entry that it replaces.
	partTTL = 10 * time.Minute
	// proofTTL is how long an answered request counts as proof that its shared parts do not
	// crash endpoints.
	proofTTL = time.Minute
	// BlameWindow is how long an answer has to go on until a crash of the endpoint is no longer
	// attributed to it. A part that crashes endpoints does so when its answer begins.
	BlameWindow = time.Second
	// crashSpacing is the time between two crashes from which both count, although the
	// second attempt began before the first crash was known.
	crashSpacing = 500 * time.Millisecond
	// strongSuspicion is the number of crashes in a row from which a part is blamed alone for
	// a crash of an endpoint where requests without it were in flight as well.
	strongSuspicion = partCrashLimit - 1
	// firstPartVersion is the version of the entry of a part that was never cleared. Only a
	// clear raises it, so that crashes that several instances count at the same time neither
	// add up nor replace each other: of equal versions the larger number of crashes is kept.
	firstPartVersion = 1
	// anyService stands for all services in the fingerprint of a part.
	anyService = ""
)

// PartFingerprint returns the fingerprint of a part that the prompts of several requests to
// the service have in common.
func PartFingerprint(service, part string) Fingerprint {
	h := xxhash.New()
	// Writing to a hash never fails. The zero bytes separate the texts; two of them at the
	// start keep the input apart from that of a request.
	_, _ = h.WriteString("\x00\x00" + service + "\x00" + part)
	return Fingerprint(h.Sum64())
}

// PartFingerprints returns the fingerprints of the shared parts of a prompt for the service: first
// those of each part at this service, then those of each part at any service. Crashes are counted
// at all services, so that a part that crashed endpoints of one is known at the others. Answers
// at one service leave the count of another one, as their models may differ.
func PartFingerprints(service string, parts []string) []Fingerprint {
	fingerprints := make([]Fingerprint, 0, 2*len(parts))
	for _, name := range [...]string{service, anyService} {
		for _, part := range parts {
			fingerprints = append(fingerprints, PartFingerprint(name, part))
		}
	}
	return fingerprints
}

// FirstOutput records that the answer of an attempt began.
func (g *Guard) FirstOutput(now time.Time, endpointName string, id marigoldcroft.StreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.endpoint(endpointName)
	if attempt, known := state.inFlight[id]; known && attempt.firstOutputAt.IsZero() {
		attempt.firstOutputAt = now
		state.inFlight[id] = attempt
	}
}

// AnswerContinued records that an answer went on for longer than BlameWindow, as Progress tells from
// its output; the time since the first output includes pauses of the instance. The parts of the
// prompt are harmless. It returns the entries that this clears, for the peers.
func (g *Guard) AnswerContinued(now time.Time, endpointName string, id marigoldcroft.StreamID) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.endpoint(endpointName)
	attempt, known := state.inFlight[id]
	if !known || attempt.continued {
		return nil
	}
	attempt.continued = true
	state.inFlight[id] = attempt
	return g.proveParts(now, attempt)
}

// PartIsSplit records that the prompt of an attempt has only a piece of one of its parts, with these
// fingerprints. A crash is attributed to the whole part, but the answer is no proof for it.
func (g *Guard) PartIsSplit(endpointName string, id marigoldcroft.StreamID, part ...Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.endpoint(endpointName)
	if attempt, known := state.inFlight[id]; known {
		attempt.splitPart = part
		state.inFlight[id] = attempt
	}
}

// PartAnswered records that requests which together had the whole part, with these fingerprints,
// were answered. The first of them was sent after startedAt, so that they prove nothing about
// crashes known later. It returns the entries that this clears, for the peers.
func (g *Guard) PartAnswered(now, startedAt time.Time, part ...Fingerprint) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var cleared []*mcmessage.QuarantineEntry
	for _, f := range part {
		cleared = append(cleared, g.provePart(now, startedAt, f)...)
	}
	return cleared
}

// QuarantinedPart returns the first of the shared parts of a prompt that is quarantined.
func (g *Guard) QuarantinedPart(now time.Time, parts []Fingerprint) (Fingerprint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		if g.crashes(now, part) >= g.partLimit(now, part) {
			return part, true
		}
	}
	return 0, false
}

// NearQuarantine reports whether two more crashes would quarantine a part of the prompt: the one
// that may have broken the connection of an attempt, and one of the next attempt.
func (g *Guard) NearQuarantine(now time.Time, parts []Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		if n := g.crashes(now, part); n > 0 && n+2 >= g.partLimit(now, part) {
			return true
		}
	}
	return false
}

// ClearProvenParts clears the suspected parts with which requests were answered at this
// instance, and returns their entries for the peers. It is called after Merge, as the peers
// that suspect them may not have answered any such request.
func (g *Guard) ClearProvenParts(now time.Time) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var cleared []*mcmessage.QuarantineEntry
	for f, e := range g.entries {
		if e.part && e.crashes > 0 && e.version == firstPartVersion && now.Before(e.expires) && g.provenHere(now, f) {
			e.clearPart(now)
			cleared = append(cleared, e.toMessage(f))
		}
	}
	sortEntries(cleared)
	return cleared
}

// partLimit returns the number of crashes in a row at which the part is quarantined.
func (g *Guard) partLimit(now time.Time, part Fingerprint) uint32 {
	if g.proven(now, part) {
		return provenPartCrashLimit
	}
	return partCrashLimit
}

// proven reports whether a request with the part is known to have been answered recently, at
// this instance or at the one that cleared the entry.
func (g *Guard) proven(now time.Time, part Fingerprint) bool {
	if e := g.unexpired(now, part); e != nil && e.version > firstPartVersion {
		return true
	}
	return g.provenHere(now, part)
}

func (g *Guard) provenHere(now time.Time, part Fingerprint) bool {
	at := g.provenParts.at(part)
	return !at.IsZero() && now.Sub(at) < proofTTL
}

// blameParts attributes a crash to shared parts of the attempts that were in flight and returns
// the entries that changed. The number of crashes in a row of a part grows by one at a time: a
// crash counts if its attempt began after the previous number was known, or crashSpacing later,
// so that endpoints that fail together count once.
func (g *Guard) blameParts(now, crashedAt time.Time, attempts []inFlightAttempt) []*mcmessage.QuarantineEntry {
	var blamed []Fingerprint
	highest := uint32(0)
	limit := choicePerAttempt(attempts)
	for _, attempt := range attempts {
		if attempt.continued {
			continue
		}
		for _, part := range g.choose(now, crashedAt, g.mostSuspect(now, attempt.parts), limit) {
			if e := g.unexpired(now, part); e != nil && e.crashes > 0 && !attempt.startedAt.After(e.changedAt) && crashedAt.Sub(e.changedAt) < crashSpacing {
				continue
			}
			if !slices.Contains(blamed, part) {
				blamed = append(blamed, part)
				highest = max(highest, g.crashes(now, part))
			}
		}
	}
	var changed []*mcmessage.QuarantineEntry
	for _, part := range blamed {
		if highest >= strongSuspicion && g.crashes(now, part) < highest {
			continue
		}
		e := g.ensurePart(now, part)
		e.raisePart(now, g.partLimit(now, part))
		changed = append(changed, e.toMessage(part))
	}
	return changed
}

// mostSuspect returns the parts of a prompt to which a crash is attributed: those with the most
// crashes. Of several that crashed before, proven ones are left out if there are others, and of
// those that remain only the last one is blamed: in the order of a prompt, the fewest requests
// contain it.
func (g *Guard) mostSuspect(now time.Time, parts []Fingerprint) []Fingerprint {
	var blamed []Fingerprint
	crashes := uint32(0)
	for _, part := range parts {
		n := g.crashes(now, part)
		if n > crashes {
			blamed, crashes = blamed[:0], n
		}
		if n == crashes {
			blamed = append(blamed, part)
		}
	}
	if crashes == 0 {
		return blamed
	}
	last := blamed[len(blamed)-1]
	for _, part := range blamed {
		if !g.proven(now, part) {
			last = part
		}
	}
	return []Fingerprint{last}
}

// proveParts records that a request with the parts was answered. An answer proves nothing about
// crashes after the time by which its beginning had shown that its parts are harmless. It returns
// the entries that this clears, for the peers.
func (g *Guard) proveParts(now time.Time, attempt inFlightAttempt) []*mcmessage.QuarantineEntry {
	provedAt := now
	if harmlessAt := attempt.firstOutputAt.Add(BlameWindow); !attempt.firstOutputAt.IsZero() && harmlessAt.Before(now) {
		provedAt = harmlessAt
	}
	var cleared []*mcmessage.QuarantineEntry
	for _, part := range attempt.parts {
		if !slices.Contains(attempt.splitPart, part) {
			cleared = append(cleared, g.provePart(now, provedAt, part)...)
		}
	}
	return cleared
}

func (g *Guard) provePart(now, provedAt time.Time, part Fingerprint) []*mcmessage.QuarantineEntry {
	var cleared []*mcmessage.QuarantineEntry
	if e := g.unexpired(now, part); e != nil && e.crashes > 0 && provedAt.After(e.changedAt) {
		e.clearPart(now)
		cleared = append(cleared, e.toMessage(part))
	}
	g.provenParts.record(provedAt, part)
	return cleared
}

func (g *Guard) ensurePart(now time.Time, part Fingerprint) *entry {
	e := g.ensureEntry(now, part)
	if !now.Before(e.expires) {
		*e = entry{version: firstPartVersion}
	}
	// An operator may have cleared the part where it was not known.
	e.part = true
	return e
}

func (e *entry) raisePart(now time.Time, limit uint32) {
	e.crashes++
	e.quarantined, e.cleared = e.crashes >= limit, false
	e.changedAt = now
	// A higher version, as of an operator's clear, has to be kept for as long as at the peers, which
	// would ignore a new entry.
	if expires := now.Add(partTTL); expires.After(e.expires) {
		e.expires = expires
	}
}

func (e *entry) clearPart(now time.Time) {
	e.crashes, e.quarantined, e.cleared = 0, false, true
	e.version++
	e.changedAt, e.expires = now, now.Add(partTTL)
}

func sortEntries(messages []*mcmessage.QuarantineEntry) {
	sort.Slice(messages, func(i, j int) bool { return messages[i].Fingerprint < messages[j].Fingerprint })
}
