// Package mcquarantine finds the requests that crash endpoints and keeps them from
// crashing more. It is pure: time comes in with each call.
package mcquarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

type (
	// Fingerprint is the same for all tries of one request of one team.
	Fingerprint uint64

	// Verdict says how a request may run.
	Verdict int

	// Guard attributes crashes of endpoints to the requests in flight there. Safe for
	// use from many goroutines; its zero value is ready.
	Guard struct {
		mu        sync.Mutex
		entries   map[Fingerprint]*entry
		endpoints map[string]*endpoint
	}

	// entry is what is known of one fingerprint. Entries merge by version; see merge.
	entry struct {
		crashes     uint32
		quarantined bool
		cleared     bool
		version     uint64
		expires     time.Time
		// runner is the request that runs this suspect here, or "".
		runner string
	}
)

// The verdicts.
const (
	// VerdictRun lets a request run like any other.
	VerdictRun Verdict = iota
	// VerdictAlone lets a suspect run at its home instance, where no other suspect runs.
	VerdictAlone
	// VerdictBusy holds back a suspect that runs already.
	VerdictBusy
	// VerdictQuarantined refuses the request.
	VerdictQuarantined
)

const (
	// crashLimit is the number of attributable crashes that quarantine a fingerprint.
	crashLimit = 2
	// suspectFor and quarantineFor bound how long an entry stands after its last crash.
	suspectFor    = 10 * time.Minute
	quarantineFor = time.Hour
	// maxEntries bounds the memory; suspects are dropped before quarantined entries.
	maxEntries = 10_000
)

// FingerprintOf returns the fingerprint of a team's request body.
func FingerprintOf(team string, body []byte) Fingerprint {
	h := xxhash.New()
	// A hash never fails to write; the zero byte ends the team's name.
	_, _ = h.WriteString(team)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// Enter asks to run an attempt of the request. After VerdictAlone no other request
// with the fingerprint enters until Leave.
func (g *Guard) Enter(now time.Time, f Fingerprint, request string) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.verdict(now, f)
	if verdict != VerdictAlone {
		return verdict
	}
	e := g.entries[f]
	if e.runner != "" && e.runner != request {
		return VerdictBusy
	}
	e.runner = request
	return VerdictAlone
}

// Leave ends what Enter began.
func (g *Guard) Leave(f Fingerprint, request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.entries[f]; e != nil && e.runner == request {
		e.runner = ""
	}
}

// Begin notes that an attempt is sent to the endpoint.
func (g *Guard) Begin(now time.Time, endpointName string, id marigoldcroft.StreamID, f Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoint(endpointName).running[id] = flight{fingerprint: f, begun: now}
}

// End notes that an attempt ended. A finished one clears a suspect, as its request can
// be answered without a crash; it returns the cleared entry for the peers. An attempt
// that Cut was called for stays under suspicion until the endpoint's fate is known.
func (g *Guard) End(now time.Time, endpointName string, id marigoldcroft.StreamID, finished bool) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.endpoint(endpointName)
	f, known := p.running[id]
	if !known || (!f.cut.IsZero() && !finished) {
		return nil
	}
	delete(p.running, id)
	e := g.entries[f.fingerprint]
	if !finished || e == nil || e.quarantined || e.crashes == 0 {
		return nil
	}
	e.clear(now)
	return []*mcmessage.QuarantineEntry{e.message(f.fingerprint)}
}

// Clear lifts the quarantine of a fingerprint by an operator's order; it returns the
// entry for the peers.
func (g *Guard) Clear(now time.Time, f Fingerprint) *mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entryOf(now, f)
	e.clear(now)
	return e.message(f)
}

// verdict is the caller's verdict apart from other runs of a suspect.
func (g *Guard) verdict(now time.Time, f Fingerprint) Verdict {
	e := g.entries[f]
	switch {
	case e == nil || !now.Before(e.expires):
		return VerdictRun
	case e.quarantined:
		return VerdictQuarantined
	case e.crashes > 0:
		return VerdictAlone
	}
	return VerdictRun
}

func (g *Guard) entryOf(now time.Time, f Fingerprint) *entry {
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
		g.makeRoom(now)
	}
	e := &entry{}
	g.entries[f] = e
	return e
}

// makeRoom drops expired entries, or else the suspect that expires first.
func (g *Guard) makeRoom(now time.Time) {
	var oldest Fingerprint
	var found *entry
	for f, e := range g.entries {
		if !now.Before(e.expires) {
			delete(g.entries, f)
			continue
		}
		before := found == nil || (found.quarantined && !e.quarantined) ||
			(found.quarantined == e.quarantined && e.expires.Before(found.expires))
		if before {
			oldest, found = f, e
		}
	}
	if len(g.entries) >= maxEntries {
		delete(g.entries, oldest)
	}
}

// crash counts an attributable crash.
func (e *entry) crash(now time.Time) {
	e.crashes++
	e.cleared = false
	e.quarantined = e.crashes >= crashLimit
	e.change(now)
}

func (e *entry) clear(now time.Time) {
	e.crashes, e.quarantined, e.cleared = 0, false, true
	e.change(now)
}

// change raises the version above all that an earlier entry of the fingerprint, now
// expired, may have had: versions start at the time in ms.
func (e *entry) change(now time.Time) {
	e.version = max(e.version+1, uint64(now.UnixMilli()))
	e.expires = now.Add(suspectFor)
	if e.quarantined {
		e.expires = now.Add(quarantineFor)
	}
}

func (e *entry) message(f Fingerprint) *mcmessage.QuarantineEntry {
	return &mcmessage.QuarantineEntry{
		Fingerprint: uint64(f), Crashes: e.crashes, Quarantined: e.quarantined, Cleared: e.cleared,
		Version: e.version, ExpiresUnixMs: e.expires.UnixMilli(),
	}
}
