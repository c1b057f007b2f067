package mcfleet

import (
	"time"

	"marigoldcroft"
)

const (
	// removedRetention is how long removed endpoints are remembered, and maxRemoved how many. The
	// copies from which the store is restored are seconds old.
	removedRetention = 10 * time.Minute
	maxRemoved       = 4096
	// olderRecordTime is how long a record of an older incarnation must stay before it counts. If an
	// older process wrote it late, the next heartbeat of the running one replaces it; if it stays,
	// the endpoint's clock went back before its last start.
	olderRecordTime = 1500 * time.Millisecond
)

type (
	// removedEndpoint is an endpoint that was removed.
	removedEndpoint struct {
		incarnation uint64
		// leaving is true if the endpoint had announced that it was leaving.
		leaving bool
		cold    coldState
		at      time.Time
	}

	// returnedEndpoint holds the arguments of one call of Fleet.OnReturned.
	returnedEndpoint struct {
		endpoint    marigoldcroft.Endpoint
		incarnation uint64
	}
)

// Confirm puts an endpoint into use that OnReturned was called for. It has no effect on an endpoint
// that has announced its leaving, or if another process has taken the name.
func (f *Fleet) Confirm(name string, incarnation uint64) {
	f.confirm(name, func(entry *fleetEntry) bool { return entry.record.Incarnation == incarnation })
}

// confirm ends the time for which an endpoint is unconfirmed if the condition holds.
func (f *Fleet) confirm(name string, condition func(entry *fleetEntry) bool) {
	f.mu.Lock()
	entry := f.entries[name]
	if entry == nil || entry.unconfirmedUntil.IsZero() || !condition(entry) {
		f.mu.Unlock()
		return
	}
	entry.unconfirmedUntil = time.Time{}
	entry.endpoint = f.buildEndpoint(entry)
	f.Logger.Info().Str("endpoint", name).Uint64("incarnation", entry.record.Incarnation).Msg("endpointConfirmed")
	f.mu.Unlock()
	f.announce()
}

// holdOlder keeps a record of an older incarnation than that of the entry until it has stayed for
// olderRecordTime.
func (f *Fleet) holdOlder(entry *fleetEntry, record marigoldcroft.EndpointRecord) {
	f.logIgnored(record.Name, "older incarnation", record.Incarnation, entry.record.Incarnation)
	if entry.older != nil && *entry.older == record {
		return
	}
	held := &record
	entry.older = held
	time.AfterFunc(olderRecordTime, func() { f.adoptOlder(held) })
}

// adoptOlder replaces an endpoint's record by the held one if that is still the last.
func (f *Fleet) adoptOlder(held *marigoldcroft.EndpointRecord) {
	f.mu.Lock()
	previous := f.entries[held.Name]
	if previous == nil || previous.older != held {
		f.mu.Unlock()
		return
	}
	entry := &fleetEntry{record: *held, adopted: true, leaving: held.Leaving}
	f.observeRecordCold(time.Now(), previous, entry)
	f.Logger.Info().Str("endpoint", held.Name).Uint64("incarnation", held.Incarnation).Uint64("previous", previous.record.Incarnation).
		Bool("leaving", held.Leaving).Msg("olderRecordAdopted")
	if !held.Leaving {
		f.awaitConfirmation(time.Now(), entry)
	}
	entry.endpoint = f.buildEndpoint(entry)
	f.entries[held.Name] = entry
	returned := f.takeReturned()
	f.mu.Unlock()
	f.announce()
	f.notifyReturned(returned)
}

// awaitConfirmation keeps new work from the entry's endpoint until it is confirmed.
func (f *Fleet) awaitConfirmation(now time.Time, entry *fleetEntry) {
	f.returned = append(f.returned, returnedEndpoint{f.buildEndpoint(entry), entry.record.Incarnation})
	entry.unconfirmedUntil = now.Add(returnedRecordTime)
	name := entry.record.Name
	time.AfterFunc(returnedRecordTime, func() {
		f.confirm(name, func(entry *fleetEntry) bool { return !time.Now().Before(entry.unconfirmedUntil) })
	})
}

// recallRemoved applies to a new entry what is known of an endpoint that was removed under its name.
// A process that left without an announcement can't be told from one whose record lapsed, nor an
// older process from one whose clock went back, so the record alone brings none of them back at once.
func (f *Fleet) recallRemoved(now time.Time, entry *fleetEntry) {
	name := entry.record.Name
	removed, known := f.removed[name]
	switch {
	case !known || removed.incarnation < entry.record.Incarnation:
		return
	case entry.record.Leaving, removed.leaving && removed.incarnation == entry.record.Incarnation:
		entry.leaving = true
	default:
		f.awaitConfirmation(now, entry)
	}
	f.Logger.Info().Str("endpoint", name).Uint64("incarnation", entry.record.Incarnation).Uint64("removed", removed.incarnation).
		Bool("leaving", entry.leaving).Msg("endpointReturned")
}

// takeReturned returns the arguments of the calls of OnReturned that are due; mu must be held.
func (f *Fleet) takeReturned() []returnedEndpoint {
	returned := f.returned
	f.returned = nil
	return returned
}

// notifyReturned calls OnReturned for each endpoint; mu must not be held.
func (f *Fleet) notifyReturned(returned []returnedEndpoint) {
	for _, r := range returned {
		if f.OnReturned != nil {
			f.OnReturned(r.endpoint, r.incarnation)
		}
	}
}

// rememberRemoved remembers a removed endpoint and forgets those that were removed long ago.
func (f *Fleet) rememberRemoved(name string, entry *fleetEntry) {
	now := time.Now()
	for other, removed := range f.removed {
		if now.Sub(removed.at) > removedRetention {
			delete(f.removed, other)
		}
	}
	if f.removed == nil {
		f.removed = make(map[string]removedEndpoint)
	}
	if len(f.removed) < maxRemoved {
		f.removed[name] = removedEndpoint{incarnation: entry.record.Incarnation, leaving: entry.record.Leaving || entry.leaving, cold: entry.cold, at: now}
	}
}
