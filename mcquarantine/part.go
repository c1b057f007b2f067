package mcquarantine

import (
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
	// partSuspectTTL is how long the crashes in a row of a part are remembered after the last
	// one, and partQuarantineTTL how long its quarantine lasts.
	partSuspectTTL    = time.Minute
	partQuarantineTTL = 10 * time.Minute
	// proofTTL is how long an answered request counts as proof that its shared parts do not
	// crash endpoints.
	proofTTL = time.Minute
	// blameWindow is the time after the first output of an answer in which a crash of the
	// endpoint is attributed to it. A part that crashes endpoints does so when its answer begins.
	blameWindow = time.Second
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
		if e := g.entries[part]; e != nil && now.Before(e.expires) && e.crashes >= g.partLimit(now, part) {
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
		if e := g.entries[part]; e != nil && now.Before(e.expires) && e.crashes > 0 && e.crashes+2 >= g.partLimit(now, part) {
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
	if e := g.entries[part]; e != nil && e.version > firstPartVersion && now.Before(e.expires) {
		return true
	}
	return g.provenHere(now, part)
}

func (g *Guard) provenHere(now time.Time, part Fingerprint) bool {
	at, found := g.provenParts[part]
	return found && now.Sub(at) < proofTTL
}

// blameParts attributes a crash to the shared parts of an attempt that was in flight. The
// number of crashes in a row of a part grows by one at a time: only a crash of an attempt that
// began after the previous number was known counts, so that endpoints that fail together count
// once. It returns the entries to announce.
func (g *Guard) blameParts(now, crashedAt time.Time, attempt inFlightAttempt) []*mcmessage.QuarantineEntry {
	if !attempt.firstOutputAt.IsZero() && crashedAt.Sub(attempt.firstOutputAt) > blameWindow {
		return nil
	}
	var changed []*mcmessage.QuarantineEntry
	for _, part := range g.mostSuspect(now, attempt.parts) {
		e := g.ensurePart(now, part)
		if e.crashes > 0 && !attempt.startedAt.After(e.changedAt) {
			continue
		}
		proven := g.proven(now, part)
		e.raisePart(now, g.partLimit(now, part))
		// The first crash of a proven part is not announced, as any crash is one for the
		// shared parts of all requests that were in flight.
		if !proven || e.crashes > 1 {
			changed = append(changed, e.toMessage(part))
		}
	}
	return changed
}

// mostSuspect returns the parts of a prompt to which a crash is attributed. Proven parts are left out if there are others; of those that remain, the
// ones with the most crashes are blamed. If several of these would be quarantined, only the
// last one is: in the order of a prompt, the fewest requests contain it.
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
		n := uint32(0)
		if e := g.entries[part]; e != nil && now.Before(e.expires) {
			n = e.crashes
		}
		if n > crashes {
			blamed, crashes = blamed[:0], n
		}
		if n == crashes {
			blamed = append(blamed, part)
		}
	}
	if len(blamed) > 1 && crashes+1 >= g.partLimit(now, blamed[len(blamed)-1]) {
		blamed = blamed[len(blamed)-1:]
	}
	return blamed
}

// proveParts records that a request with the parts was answered. It returns the entries that
// this clears, for the peers.
func (g *Guard) proveParts(now time.Time, parts []Fingerprint) []*mcmessage.QuarantineEntry {
	var cleared []*mcmessage.QuarantineEntry
	for _, part := range parts {
		announced := false
		if e := g.entries[part]; e != nil && e.crashes > 0 && now.Before(e.expires) {
			announced = e.crashes > 1 || !g.proven(now, part)
			if e.clearPart(now); announced {
				cleared = append(cleared, e.toMessage(part))
			}
		}
		g.recordProof(now, part)
	}
	return cleared
}

func (g *Guard) recordProof(now time.Time, part Fingerprint) {
	if g.provenParts == nil {
		g.provenParts = make(map[Fingerprint]time.Time)
	}
	if _, found := g.provenParts[part]; !found && len(g.provenParts) >= maxEntries {
		for other, at := range g.provenParts {
			if now.Sub(at) >= proofTTL {
				delete(g.provenParts, other)
			}
		}
		if len(g.provenParts) >= maxEntries {
			return
		}
	}
	g.provenParts[part] = now
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
	ttl := partSuspectTTL
	if e.quarantined {
		ttl = partQuarantineTTL
	}
	e.changedAt = now
	// A higher version, as of an operator's clear, has to be kept for as long as at the peers, which
	// would ignore a new entry.
	if expires := now.Add(ttl); expires.After(e.expires) {
		e.expires = expires
	}
}

func (e *entry) clearPart(now time.Time) {
	e.crashes, e.quarantined, e.cleared = 0, false, true
	e.version++
	e.changedAt, e.expires = now, now.Add(partSuspectTTL)
}

func sortEntries(messages []*mcmessage.QuarantineEntry) {
	sort.Slice(messages, func(i, j int) bool { return messages[i].Fingerprint < messages[j].Fingerprint })
}
