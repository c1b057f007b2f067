package mcquarantine

import (
	"time"

	"marigoldcroft/mcmessage"
)

// Check returns how a request would run: VerdictRun, VerdictExclusive or
// VerdictQuarantined. Unlike Acquire, it reserves nothing and never returns VerdictWait.
func (g *Guard) Check(now time.Time, f Fingerprint) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict(now, f)
}

// Entries returns all entries that have not expired, sorted by fingerprint, for the
// exchange with peers.
func (g *Guard) Entries(now time.Time) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	messages := make([]*mcmessage.QuarantineEntry, 0, len(g.entries))
	for f, e := range g.entries {
		if now.Before(e.expires) {
			messages = append(messages, e.toMessage(f))
		}
	}
	sortEntries(messages)
	return messages
}

// Proven reports whether a request with the shared part is known to have been answered recently.
func (g *Guard) Proven(now time.Time, part Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proven(now, part)
}

// unexpired returns the entry of the fingerprint, or nil if there is none or it has expired. The
// caller holds mu.
func (g *Guard) unexpired(now time.Time, f Fingerprint) *entry {
	if e := g.entries[f]; e != nil && now.Before(e.expires) {
		return e
	}
	return nil
}

// crashes returns the number of crashes attributed to the fingerprint. The caller holds mu.
func (g *Guard) crashes(now time.Time, f Fingerprint) uint32 {
	if e := g.unexpired(now, f); e != nil {
		return e.crashes
	}
	return 0
}
