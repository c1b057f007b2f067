package mcquarantine

import (
	"time"

	"marigoldcroft/mcmessage"
)

// Merge merges peers' entries and returns the number of entries that it changed. The higher
// version wins. Of equal versions, written by two instances at the same time, each field
// takes the stricter value. The result does not depend on the order of merges.
func (g *Guard) Merge(now time.Time, messages []*mcmessage.QuarantineEntry) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := 0
	for _, m := range messages {
		expires := time.UnixMilli(m.GetExpiresUnixMs())
		if !now.Before(expires) || expires.After(now.Add(2*quarantineTTL)) {
			continue
		}
		if g.ensureEntry(now, Fingerprint(m.GetFingerprint())).merge(now, m, expires) {
			changed++
		}
	}
	return changed
}

func (e *entry) merge(now time.Time, m *mcmessage.QuarantineEntry, expires time.Time) bool {
	if m.GetPart() && !now.Before(e.expires) {
		*e = entry{part: true}
	}
	if m.GetVersion() < e.version {
		return false
	}
	next := *e
	// A build that does not know shared parts drops the mark when it joins two entries.
	next.part = e.part || m.GetPart()
	if m.GetVersion() > e.version {
		next.version, next.crashes, next.expires = m.GetVersion(), m.GetCrashes(), expires
		next.quarantined, next.cleared = m.GetQuarantined(), m.GetCleared()
	} else {
		next.crashes = max(e.crashes, m.GetCrashes())
		next.quarantined = e.quarantined || m.GetQuarantined()
		next.cleared = e.cleared && m.GetCleared()
		if expires.After(e.expires) {
			next.expires = expires
		}
	}
	if next == *e {
		return false
	}
	if next.crashes != e.crashes {
		next.changedAt = now
	}
	*e = next
	return true
}
