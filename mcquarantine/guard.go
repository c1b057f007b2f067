// Package mcquarantine detects requests that crash endpoints and limits the damage. A
// request that was in flight at a crash becomes a suspect, which runs only in isolation;
// after repeated crashes it is quarantined and refused. So is each request that contains a
// shared prompt part after repeated crashes of requests with that part. The package reads no
// clock: each call is given the time.
package mcquarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

type (
	// Fingerprint identifies a request of a team; all attempts of the same request have the
	// same one.
	Fingerprint uint64

	// Verdict is the decision on how a request may run.
	Verdict int

	// Guard attributes crashes of endpoints to the requests that were in flight there. It
	// is safe for concurrent use; its zero value is ready to use.
	Guard struct {
		mu        sync.Mutex
		entries   map[Fingerprint]*entry
		endpoints map[string]*endpointState
		// provenParts holds, for the shared parts of requests that were answered at this
		// instance, the time of the last such answer.
		provenParts recentTimes
		// leftOut holds, for the shared parts of requests that were in flight at a crash, when
		// the crash was not attributed to them as there were too many.
		leftOut recentTimes
	}

	// entry is the record of one fingerprint. Entries of several instances are merged by
	// version; see merge.
	entry struct {
		// part is true if the fingerprint is that of a shared part of prompts. crashes then
		// counts crashes in a row without an answered request between them.
		part        bool
		crashes     uint32
		quarantined bool
		cleared     bool
		version     uint64
		expires     time.Time
		// runningRequest is the ID of the request that runs this suspect on this instance,
		// or "".
		runningRequest string
		// changedAt is when this instance learned of the crashes of a part.
		changedAt time.Time
	}
)

// Verdicts.
const (
	// VerdictRun lets the request run without restrictions.
	VerdictRun Verdict = iota
	// VerdictExclusive lets a suspect run on an endpoint where no other suspect runs, while
	// other requests with its fingerprint wait. The gateway runs it only at the request's
	// home instance, at which identical requests are joined.
	VerdictExclusive
	// VerdictWait holds back a suspect because another request with its fingerprint is
	// running.
	VerdictWait
	// VerdictQuarantined refuses the request.
	VerdictQuarantined
)

const (
	// isolatedCrashLimit is the number of crashes attributed to a fingerprint at which it is
	// quarantined if it ran isolated in the last one. Without isolation, the crashes may be
	// those of another request that was sent to the same endpoints, as both attempts of a hedge
	// are before the first crash is known.
	isolatedCrashLimit = 2
	// crashLimit is the number of crashes, those that attempts in flight may still cause
	// included, at which it is quarantined in any case.
	crashLimit = 3
	// suspectTTL and quarantineTTL are how long an entry of a suspect and of a quarantined
	// fingerprint lasts after its last change.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = time.Hour
	// versionUnit is the resolution of versions that are derived from the time. It is that of
	// the records that members exchange, which reject larger versions.
	versionUnit = 100 * time.Millisecond
	// maxEntries limits the memory used. Suspects are evicted before quarantined entries.
	maxEntries = 10_000
)

// FingerprintOf returns the fingerprint of a request of the team; body is what identifies
// the request.
func FingerprintOf(team string, body []byte) Fingerprint {
	h := xxhash.New()
	// Writing to a hash never fails. The zero byte separates the team's name from the body.
	_, _ = h.WriteString(team)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// Acquire asks how an attempt of the request may run. After VerdictExclusive, other
// requests with the fingerprint get VerdictWait until Release is called.
func (g *Guard) Acquire(now time.Time, f Fingerprint, request string) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.verdict(now, f)
	if verdict != VerdictExclusive {
		return verdict
	}
	e := g.entries[f]
	if e.runningRequest != "" && e.runningRequest != request {
		return VerdictWait
	}
	e.runningRequest = request
	return VerdictExclusive
}

// Release ends an attempt for which Acquire was called.
func (g *Guard) Release(f Fingerprint, request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.entries[f]; e != nil && e.runningRequest == request {
		e.runningRequest = ""
	}
}

// Begin records that an attempt is sent to the endpoint. parts are the shared parts of its
// prompt, in order.
func (g *Guard) Begin(now time.Time, endpointName string, id marigoldcroft.StreamID, f Fingerprint, parts []Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoint(endpointName).inFlight[id] = inFlightAttempt{
		fingerprint: f, parts: parts, suspect: g.verdict(now, f) == VerdictExclusive, startedAt: now,
	}
}

// End records that an attempt ended. One that finished with a complete response clears a
// suspect, as the request can run without a crash, and the shared parts of its prompt; End
// then returns the cleared entries for the peers. An unfinished attempt for which StreamBroken was called is kept until it is
// known whether the endpoint crashed.
func (g *Guard) End(now time.Time, endpointName string, id marigoldcroft.StreamID, finished bool) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.endpoint(endpointName)
	attempt, known := state.inFlight[id]
	if !known || (!attempt.brokenAt.IsZero() && !finished) {
		return nil
	}
	delete(state.inFlight, id)
	if !finished {
		return nil
	}
	cleared := g.proveParts(now, attempt)
	if e := g.entries[attempt.fingerprint]; e != nil && !e.quarantined && e.crashes > 0 {
		e.clear(now)
		cleared = append(cleared, e.toMessage(attempt.fingerprint))
	}
	return cleared
}

// Clear lifts the quarantine of a fingerprint on an operator's command and returns the
// entry for the peers.
func (g *Guard) Clear(now time.Time, f Fingerprint) *mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.ensureEntry(now, f)
	e.clear(now)
	return e.toMessage(f)
}

// verdict returns the verdict from the entry of the fingerprint alone, whether or not
// another request with it is running. The caller holds mu.
func (g *Guard) verdict(now time.Time, f Fingerprint) Verdict {
	e := g.unexpired(now, f)
	switch {
	case e == nil:
		return VerdictRun
	case e.quarantined:
		return VerdictQuarantined
	case e.crashes > 0:
		return VerdictExclusive
	}
	return VerdictRun
}

func (g *Guard) ensureEntry(now time.Time, f Fingerprint) *entry {
	if e := g.entries[f]; e != nil {
		if !now.Before(e.expires) {
			e.crashes, e.quarantined = 0, false
		}
		return e
	}
	if g.entries == nil {
		g.entries = make(map[Fingerprint]*entry)
	}
	if len(g.entries) >= maxEntries {
		g.evict(now)
	}
	e := &entry{}
	g.entries[f] = e
	return e
}

// evict removes expired entries. If there are none, it removes the entry that expires
// first, suspects before quarantined ones.
func (g *Guard) evict(now time.Time) {
	var victim Fingerprint
	var victimEntry *entry
	for f, e := range g.entries {
		if !now.Before(e.expires) {
			delete(g.entries, f)
			continue
		}
		evictFirst := victimEntry == nil || (victimEntry.quarantined && !e.quarantined) ||
			(victimEntry.quarantined == e.quarantined && e.expires.Before(victimEntry.expires))
		if evictFirst {
			victim, victimEntry = f, e
		}
	}
	if len(g.entries) >= maxEntries {
		delete(g.entries, victim)
	}
}

// addCrash counts a crash against the entry and quarantines it at its limit.
func (e *entry) addCrash(now time.Time, r requestInFlight) {
	e.crashes++
	e.cleared = false
	e.quarantined = e.crashes >= isolatedCrashLimit && (r.isolated || e.crashes+r.unanswered >= crashLimit)
	e.markChanged(now)
}

func (e *entry) clear(now time.Time) {
	e.crashes, e.quarantined, e.cleared = 0, false, true
	e.markChanged(now)
}

// markChanged raises the version and extends the expiry. A version is at least the current
// time in versionUnit, so that it exceeds all versions of an earlier, expired entry of the
// fingerprint.
func (e *entry) markChanged(now time.Time) {
	e.version = max(e.version+1, uint64(now.UnixNano())/uint64(versionUnit))
	e.expires = now.Add(suspectTTL)
	if e.quarantined {
		e.expires = now.Add(quarantineTTL)
	}
}

func (e *entry) toMessage(f Fingerprint) *mcmessage.QuarantineEntry {
	return &mcmessage.QuarantineEntry{
		Fingerprint: uint64(f), Crashes: e.crashes, Quarantined: e.quarantined, Cleared: e.cleared,
		Version: e.version, ExpiresUnixMs: e.expires.UnixMilli(), Part: e.part,
	}
}
