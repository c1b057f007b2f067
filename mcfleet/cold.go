package mcfleet

import (
	"time"

	"marigoldcroft"
)

// recordDelay is the age that a record can have when it is read: the pause between two watches of up
// to 0.8 s and the time that the store takes. A record does not shorten a cold time that became known
// within that time.
const recordDelay = 1500 * time.Millisecond

type (
	// coldSettings is what a service states about its cold endpoints: how long they are cold after a
	// start, and how many requests a second they take from all instances together meanwhile.
	coldSettings struct {
		time      time.Duration
		perSecond float64
	}

	// coldState is what is known of the cold phase of an endpoint's process.
	coldState struct {
		// statedUntil is the end of the phase that the endpoint stated, or zero.
		statedUntil time.Time
		// assumedFrom is when the endpoint may have become cold without having stated it, or zero.
		// It then counts as cold for the time that its service states.
		assumedFrom time.Time
		// at is the time of what is known, zero if nothing is.
		at time.Time
	}
)

// until returns the end of the cold phase, or zero if there is none. assumed is how long an endpoint
// of the service is cold after its start.
func (c coldState) until(assumed time.Duration) time.Time {
	if c.assumedFrom.IsZero() || assumed <= 0 {
		return c.statedUntil
	}
	if until := c.assumedFrom.Add(assumed); until.After(c.statedUntil) {
		return until
	}
	return c.statedUntil
}

// state records that the endpoint stated at the given time to be cold for another left. It shortens a
// known time only if shortens is set.
func (c *coldState) state(at time.Time, left time.Duration, shortens bool) {
	var until time.Time
	if left > 0 {
		until = at.Add(left)
	}
	switch {
	case shortens:
		c.statedUntil, c.assumedFrom = until, time.Time{}
	case until.After(c.statedUntil):
		c.statedUntil = until
	default:
		return
	}
	c.at = at
}

// assume records that the endpoint may have become cold at the given time.
func (c *coldState) assume(at time.Time) { c.assumedFrom, c.at = at, at }

// observeRecordCold sets what the new entry's record states of its cold phase. previous is the entry
// that it replaces, or nil. A process that was not known before counts as cold unless its record
// states for how long, except in the first listing, which also holds processes that began long ago.
func (f *Fleet) observeRecordCold(now time.Time, previous, entry *fleetEntry) {
	r, known := &entry.record, false
	if previous != nil && previous.record.Incarnation == r.Incarnation {
		entry.cold, known = previous.cold, true
	} else if removed, ok := f.removed[r.Name]; ok && removed.incarnation == r.Incarnation {
		entry.cold, known = removed.cold, true
	}
	switch {
	case r.Warming > 0:
		entry.cold.state(now, r.Warming, now.Sub(entry.cold.at) >= recordDelay)
	case known && previous != nil && previous.record == *r:
		// The record was read once more and states nothing new.
	case known || !f.known:
		entry.cold.state(now, 0, now.Sub(entry.cold.at) >= recordDelay)
	default:
		entry.cold.assume(now)
	}
	f.logCold(now, r, previous, entry, "record")
}

// logCold logs a cold phase that has become known.
func (f *Fleet) logCold(now time.Time, r *marigoldcroft.EndpointRecord, previous, entry *fleetEntry, source string) {
	settings := f.cold[r.Service]
	until := entry.cold.until(settings.time)
	if settings.perSecond <= 0 || !until.After(now) || previous != nil && previous.cold.until(settings.time).After(now) {
		return
	}
	f.Logger.Info().Str("endpoint", r.Name).Uint64("incarnation", r.Incarnation).Dur("leftMs", until.Sub(now)).
		Float64("perSecond", settings.perSecond).Str("source", source).Msg("endpointCold")
}

// ColdPhase returns the cold phase of the endpoint, or the zero value if it is unknown.
func (f *Fleet) ColdPhase(name string) marigoldcroft.ColdPhase {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.entries[name]
	if entry == nil {
		return marigoldcroft.ColdPhase{}
	}
	return marigoldcroft.ColdPhase{PerSecond: entry.endpoint.ColdRequestsPerSecond(), Until: entry.endpoint.ColdUntil()}
}

// ColdCount returns the number of endpoints that are cold and limit their requests.
func (f *Fleet) ColdCount(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, entry := range f.entries {
		if entry.endpoint.ColdRequestsPerSecond() > 0 && now.Before(entry.endpoint.ColdUntil()) {
			n++
		}
	}
	return n
}

// MarkRestarted makes an endpoint count as cold whose process was found to have ended and that accepts
// connections again, although no record of the new process has been read yet.
func (f *Fleet) MarkRestarted(name string, now time.Time) {
	f.assumeCold(now, "restart", func(entry *fleetEntry) bool { return entry.record.Name == name })
}

// assumeCold makes the endpoints that match count as cold from now on.
func (f *Fleet) assumeCold(now time.Time, source string, matches func(entry *fleetEntry) bool) {
	f.mu.Lock()
	changed := f.assumeColdLocked(now, source, matches)
	f.mu.Unlock()
	if changed {
		f.announce()
	}
}

// assumeColdLocked is assumeCold with mu held, and without an announcement. It reports whether one is
// due.
func (f *Fleet) assumeColdLocked(now time.Time, source string, matches func(entry *fleetEntry) bool) bool {
	return f.changeColdLocked(func(entry *fleetEntry) bool {
		if !matches(entry) {
			return false
		}
		previous := *entry
		entry.cold.assume(now)
		f.logCold(now, &entry.record, &previous, entry, source)
		return true
	})
}

// ObserveCold records for how much longer the endpoint states that it is cold, in an answer to a
// request that was sent at sentAt. An answer to an earlier request than what is known shortens
// nothing.
func (f *Fleet) ObserveCold(name string, sentAt, now time.Time, left time.Duration) {
	f.changeCold(func(entry *fleetEntry) bool {
		if entry.record.Name != name {
			return false
		}
		previous := *entry
		entry.cold.state(now, left, sentAt.After(entry.cold.at))
		f.logCold(now, &entry.record, &previous, entry, "answer")
		return entry.cold != previous.cold
	})
}

// changeCold calls change for each entry, and announces the endpoints if it returned true for one
// whose service has a cold phase.
func (f *Fleet) changeCold(change func(entry *fleetEntry) bool) {
	f.mu.Lock()
	changed := f.changeColdLocked(change)
	f.mu.Unlock()
	if changed {
		f.announce()
	}
}

// changeColdLocked is changeCold with mu held, and without an announcement. It reports whether one is
// due.
func (f *Fleet) changeColdLocked(change func(entry *fleetEntry) bool) bool {
	changed := false
	for _, entry := range f.entries {
		if f.cold[entry.record.Service] != (coldSettings{}) && change(entry) {
			entry.endpoint = f.buildEndpoint(entry)
			changed = true
		}
	}
	return changed
}
