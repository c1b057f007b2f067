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
	// proofSweepInterval is the time between two searches for expired proofs while there are
	// too many, as each reads all of them under the lock.
	proofSweepInterval = time.Second
	// BlameWindow is the time after the first output of an answer in which a crash of the
	// endpoint is attributed to it. A part that crashes endpoints does so when its answer begins.
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
	cleared := g.proveByStreams(now)
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
	at, found := g.provenParts[part]
	return found && now.Sub(at) < proofTTL
}

// blameParts attributes a crash to shared parts of the attempts that were in flight and returns
// the entries that changed. The number of crashes in a row of a part grows by one at a time: a
// crash counts if its attempt began after the previous number was known, or crashSpacing later,
// so that endpoints that fail together count once.
func (g *Guard) blameParts(now, crashedAt time.Time, attempts []inFlightAttempt) []*mcmessage.QuarantineEntry {
	var blamed []Fingerprint
	highest := uint32(0)
	for _, attempt := range attempts {
		if !attempt.answerBegins(crashedAt) {
			continue
		}
		for _, part := range g.mostSuspect(now, attempt.parts) {
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

// answerBegins reports whether the answer had not begun when the endpoint crashed, or so recently
// that the crash is attributed to the parts of the prompt.
func (a inFlightAttempt) answerBegins(crashedAt time.Time) bool {
	return a.firstOutputAt.IsZero() || crashedAt.Sub(a.firstOutputAt) <= BlameWindow
}

// mostSuspect returns the parts of a prompt to which a crash is attributed. Proven parts are left
// out if there are others; of those that remain, the ones with the most crashes are blamed. Of
// several that crashed before, only the last one is: in the order of a prompt, the fewest
// requests contain it.
func (g *Guard) mostSuspect(now time.Time, parts []Fingerprint) []Fingerprint {
	var blamed []Fingerprint
	crashes, onlyUnproven := uint32(0), false
	for _, part := range parts {
		onlyUnproven = onlyUnproven || !g.proven(now, part)
	}
	for _, part := range parts {
		if onlyUnproven && g.proven(now, part) {
			continue
		}
		n := g.crashes(now, part)
		if n > crashes {
			blamed, crashes = blamed[:0], n
		}
		if n == crashes {
			blamed = append(blamed, part)
		}
	}
	if len(blamed) > 1 && crashes > 0 {
		blamed = blamed[len(blamed)-1:]
	}
	return blamed
}

// proveByStreams takes the answers in progress that began more than BlameWindow ago for proof of
// their parts. It returns the entries that this clears.
func (g *Guard) proveByStreams(now time.Time) []*mcmessage.QuarantineEntry {
	var cleared []*mcmessage.QuarantineEntry
	for _, state := range g.endpoints {
		for id, attempt := range state.inFlight {
			if attempt.firstOutputAt.IsZero() || attempt.proved || now.Sub(attempt.firstOutputAt) <= BlameWindow ||
				!attempt.brokenAt.IsZero() && attempt.brokenAt.Sub(attempt.firstOutputAt) <= BlameWindow {
				continue
			}
			cleared = append(cleared, g.proveParts(now, attempt)...)
			attempt.proved = true
			state.inFlight[id] = attempt
		}
	}
	return cleared
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
		if e := g.unexpired(now, part); e != nil && e.crashes > 0 && provedAt.After(e.changedAt) {
			e.clearPart(now)
			cleared = append(cleared, e.toMessage(part))
		}
		g.recordProof(provedAt, part)
	}
	return cleared
}

func (g *Guard) recordProof(at time.Time, part Fingerprint) {
	if g.provenParts == nil {
		g.provenParts = make(map[Fingerprint]time.Time)
	}
	if _, found := g.provenParts[part]; !found && len(g.provenParts) >= maxEntries {
		if at.Sub(g.provenSweptAt) < proofSweepInterval {
			return
		}
		g.provenSweptAt = at
		for other, provedAt := range g.provenParts {
			if at.Sub(provedAt) >= proofTTL {
				delete(g.provenParts, other)
			}
		}
		if len(g.provenParts) >= maxEntries {
			return
		}
	}
	if at.After(g.provenParts[part]) {
		g.provenParts[part] = at
	}
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
