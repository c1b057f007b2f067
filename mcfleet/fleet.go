// Package mcfleet maintains the set of endpoints from their records in the platform's store.
package mcfleet

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
)

const (
	// recordReturnTime is how long an endpoint whose record expired during an outage of the
	// store is kept after the end of the outage. The platform promises that the records of live
	// endpoints are back within about two seconds.
	recordReturnTime = 2 * time.Second
	// returnedRecordTime is how long an endpoint whose record was gone and is there again gets no
	// work unless it is confirmed. The store may have been restored from a copy with the record, or
	// a write of the endpoint may have been carried out late; records that no endpoint renews
	// disappear within a few heartbeats.
	returnedRecordTime = 6 * time.Second
	// ignoredLogInterval and ignoredLogBurst bound the log lines of records that are ignored, which
	// other programs may write at any rate.
	ignoredLogInterval = time.Second
	ignoredLogBurst    = 16
)

type (
	// Fleet is the set of known endpoints. Exported fields must be set before use. It is safe
	// for concurrent use.
	Fleet struct {
		Logger zerolog.Logger
		// AwaitEvacuations is true if no request may be placed before the evacuated data centres are
		// known.
		AwaitEvacuations bool
		// Regions maps data centres to their regions. An endpoint whose data centre is missing is in no
		// known region.
		Regions map[string]string
		// OnChange is called after each change with all endpoints, by one goroutine at a time, so that
		// no listing follows a newer one. It must not change the fleet.
		OnChange func(endpoints []marigoldcroft.Endpoint)
		// OnProcessEnded is called when an endpoint's process has ended without announcing that it was
		// leaving. Either its record expired and incarnation is 0, or a newer process took its
		// name and incarnation is that of the newer one. It may be nil.
		OnProcessEnded func(name string, incarnation uint64)
		// OnReturned is called when the record of a removed endpoint is there again. The endpoint gets
		// no work before Confirm is called for it or its record has stayed for a time. It may be nil.
		OnReturned func(endpoint marigoldcroft.Endpoint, incarnation uint64)

		// announceMu is locked before mu.
		announceMu sync.Mutex
		mu         sync.Mutex
		entries    map[string]*fleetEntry
		// performance holds the engine performance figures of the services that the routing table or
		// an endpoint names.
		performance map[string]marigoldcroft.EnginePerformance
		// cold holds what the same services state about their cold endpoints.
		cold map[string]coldSettings
		// known is true once a full listing has been applied, and announced once OnChange has
		// returned for it.
		known, announced bool
		// ignoredLog limits the lines of records that are ignored.
		ignoredLog rate.Sometimes
		// removed holds the endpoints that were removed lately, by name.
		removed map[string]removedEndpoint
		// returned holds the arguments of the calls of OnReturned that are due.
		returned []returnedEndpoint
		// evacuated maps the evacuated data centres to the time at which that became known. It is nil
		// before they were set.
		evacuated map[string]time.Time
		// keepMissingUntil is the time until which endpoints with missing records are kept
		// after an outage.
		keepMissingUntil time.Time
	}

	// fleetEntry is one endpoint with its record.
	fleetEntry struct {
		record   marigoldcroft.EndpointRecord
		endpoint marigoldcroft.Endpoint
		// removeAt is when the endpoint is removed because its record is missing, or zero
		// if the record is present.
		removeAt time.Time
		// leaving is true once the process has stated that it is leaving.
		leaving bool
		// unconfirmedUntil is the time until which the record may have returned without its endpoint,
		// or zero.
		unconfirmedUntil time.Time
		// moved is true once another endpoint has answered at the address of the record.
		moved bool
		// cold is what is known of the cold phase of the process.
		cold coldState
		// older is the last record, if it is that of an older incarnation.
		older *marigoldcroft.EndpointRecord
		// adopted is true if the record took the place of one with a newer incarnation.
		adopted bool
	}

	// endedProcess holds the arguments of one call of Fleet.OnProcessEnded.
	endedProcess struct {
		name        string
		incarnation uint64
	}
)

// HasListing reports whether a full listing has been applied and OnChange has returned for it, so
// that requests find its endpoints, and the evacuated data centres are known.
func (f *Fleet) HasListing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced && (f.evacuated != nil || !f.AwaitEvacuations)
}

// Endpoint returns the endpoint and true, or false if it is unknown or may not get new work.
func (f *Fleet) Endpoint(name string) (marigoldcroft.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.entries[name]
	if entry == nil || entry.endpoint.Leaving() {
		return marigoldcroft.Endpoint{}, false
	}
	return entry.endpoint, true
}

// Known reports whether the endpoint is known, even if it may not get new work.
func (f *Fleet) Known(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[name] != nil
}

// Endpoints returns all endpoints, including those that are leaving.
func (f *Fleet) Endpoints() []marigoldcroft.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoints := make([]marigoldcroft.Endpoint, 0, len(f.entries))
	for _, entry := range f.entries {
		endpoints = append(endpoints, entry.endpoint)
	}
	return endpoints
}

// Count returns the number of endpoints of the service that may get new work.
func (f *Fleet) Count(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, entry := range f.entries {
		if entry.record.Service == service && !entry.endpoint.Leaving() {
			n++
		}
	}
	return n
}

// Incarnation returns the incarnation of the endpoint, or 0 if it is unknown.
func (f *Fleet) Incarnation(name string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation(name)
}

// incarnation is Incarnation with mu held.
func (f *Fleet) incarnation(name string) uint64 {
	if entry := f.entries[name]; entry != nil {
		return entry.record.Incarnation
	}
	return 0
}

// MarkMoved records that another endpoint answers at the endpoint's address. The endpoint gets
// no new work until its record changes.
func (f *Fleet) MarkMoved(name string) {
	f.mu.Lock()
	entry := f.entries[name]
	if entry == nil || entry.moved {
		f.mu.Unlock()
		return
	}
	entry.moved = true
	entry.endpoint = f.buildEndpoint(entry)
	f.Logger.Info().Str("endpoint", name).Str("address", entry.record.Address).Msg("endpointMoved")
	f.mu.Unlock()
	f.announce()
}

// MarkLeaving records that the endpoint has stated that it is leaving. It gets no new work until
// another process takes its name.
func (f *Fleet) MarkLeaving(name string) {
	f.mu.Lock()
	entry := f.entries[name]
	if entry == nil || entry.leaving {
		f.mu.Unlock()
		return
	}
	entry.leaving = true
	entry.endpoint = f.buildEndpoint(entry)
	f.Logger.Info().Str("endpoint", name).Msg("endpointLeaving")
	f.mu.Unlock()
	f.announce()
}

// SetRoutingTable updates all endpoints with the engine performance figures of their services
// in the table. A service that the table lacks keeps its figures while it has endpoints: requests
// on the table before may still reach it.
func (f *Fleet) SetRoutingTable(table *marigoldcroft.RoutingTable) {
	f.mu.Lock()
	previous, previousCold := f.performance, f.cold
	f.performance, f.cold = make(map[string]marigoldcroft.EnginePerformance), make(map[string]coldSettings)
	for _, entry := range f.entries {
		if figures, known := previous[entry.record.Service]; known {
			f.performance[entry.record.Service] = figures
			f.cold[entry.record.Service] = previousCold[entry.record.Service]
		}
	}
	for _, s := range table.Services() {
		f.performance[s.Name] = s.Engine
		f.cold[s.Name] = coldSettings{time: s.ColdTime, perSecond: s.ColdRequestsPerSecond}
	}
	for _, entry := range f.entries {
		entry.endpoint = f.buildEndpoint(entry)
	}
	f.mu.Unlock()
	f.announce()
}

// Apply updates the endpoints with changed records. After an outage of the store, endpoints
// whose records are missing are kept for recordReturnTime.
func (f *Fleet) Apply(change mcfollow.Change[marigoldcroft.EndpointRecord]) {
	now := time.Now()
	f.mu.Lock()
	if f.entries == nil {
		f.entries = make(map[string]*fleetEntry)
		f.ignoredLog = rate.Sometimes{First: ignoredLogBurst, Interval: ignoredLogInterval}
	}
	if change.OutageDuration > 0 && f.known {
		f.keepMissingUntil = now.Add(recordReturnTime)
		if !change.OutageEndedAt.IsZero() {
			f.keepMissingUntil = change.OutageEndedAt.Add(recordReturnTime)
		}
		time.AfterFunc(f.keepMissingUntil.Sub(now), f.removeOverdue)
	}
	var ended []endedProcess
	listed := make(map[string]bool, len(change.Records))
	changed := !f.known
	for _, r := range change.Records {
		listed[r.Name] = true
		switch {
		case r.Deleted:
			ended, changed = f.handleMissing(now, r.Name, ended), true
		case r.Value == nil:
			// Another program has written it. The endpoint's own next record replaces it, and
			// until then what is known of the endpoint holds.
			f.logIgnored(r.Name, "not an endpoint's record", 0, f.incarnation(r.Name))
		default:
			ended, changed = f.putRecord(now, *r.Value, ended), true
		}
	}
	if change.Snapshot {
		f.known = true
		for name := range f.entries {
			if !listed[name] {
				ended, changed = f.handleMissing(now, name, ended), true
			}
		}
	}
	returned := f.takeReturned()
	f.mu.Unlock()
	if changed {
		f.announce()
	}
	f.markAnnounced()
	f.notifyEnded(ended)
	f.notifyReturned(returned)
}

// logIgnored writes the log line of a record that is ignored. known is the incarnation that the
// record does not replace.
func (f *Fleet) logIgnored(name, reason string, incarnation, known uint64) {
	f.ignoredLog.Do(func() {
		f.Logger.Warn().Str("endpoint", name).Str("reason", reason).Uint64("incarnation", incarnation).Uint64("known", known).Msg("recordIgnored")
	})
}

// announce passes the endpoints to OnChange. The listing is read while announceMu is held, so that
// the last call has the newest one. mu must not be held.
func (f *Fleet) announce() {
	f.announceMu.Lock()
	defer f.announceMu.Unlock()
	f.OnChange(f.Endpoints())
}

func (f *Fleet) markAnnounced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = f.known
}

// notifyEnded calls OnProcessEnded for each process in ended; mu must not be held.
func (f *Fleet) notifyEnded(ended []endedProcess) {
	for _, e := range ended {
		if f.OnProcessEnded != nil {
			f.OnProcessEnded(e.name, e.incarnation)
		}
	}
}

// removeOverdue runs recordReturnTime after an outage and removes the endpoints whose records
// did not come back. A later outage starts a timer of its own, which fires after this one.
func (f *Fleet) removeOverdue() {
	f.mu.Lock()
	ended, removed := f.removeMissingLocked(time.Now(), nil)
	f.mu.Unlock()
	if removed {
		f.announce()
	}
	f.notifyEnded(ended)
}

// putRecord adds or replaces an endpoint's record; one of an older incarnation has to stay for a
// time before it does. It appends to ended if a newer incarnation shows that the previous process
// has ended. An endpoint that was leaving stays so, even if the store was restored from a copy in
// which it was ready.
func (f *Fleet) putRecord(now time.Time, record marigoldcroft.EndpointRecord, ended []endedProcess) []endedProcess {
	previous := f.entries[record.Name]
	if previous != nil && previous.record.Incarnation > record.Incarnation {
		f.holdOlder(previous, record)
		return ended
	}
	if previous != nil && record.Incarnation > previous.record.Incarnation && !previous.record.Leaving && !previous.adopted {
		ended = append(ended, endedProcess{record.Name, record.Incarnation})
	}
	if previous == nil || previous.record != record {
		f.Logger.Info().Str("endpoint", record.Name).Str("service", record.Service).Str("address", record.Address).
			Uint64("incarnation", record.Incarnation).Bool("leaving", record.Leaving).Msg("endpointChanged")
	}
	entry := &fleetEntry{record: record, moved: previous != nil && previous.moved && previous.record == record}
	if previous != nil && previous.record.Incarnation == record.Incarnation {
		entry.leaving = previous.leaving || previous.record.Leaving
		entry.unconfirmedUntil, entry.adopted = previous.unconfirmedUntil, previous.adopted
	}
	if previous == nil {
		f.recallRemoved(now, entry)
	}
	f.observeRecordCold(now, previous, entry)
	entry.endpoint = f.buildEndpoint(entry)
	f.entries[record.Name] = entry
	return ended
}

// handleMissing handles a missing record: it removes the endpoint, or keeps it until
// keepMissingUntil if the record may have expired during an outage of the store. An endpoint
// that announced that it was leaving is always removed.
func (f *Fleet) handleMissing(now time.Time, name string, ended []endedProcess) []endedProcess {
	entry := f.entries[name]
	if entry == nil {
		return ended
	}
	entry.older = nil
	if now.Before(f.keepMissingUntil) && !entry.record.Leaving {
		if entry.removeAt.IsZero() {
			entry.removeAt = f.keepMissingUntil
			f.Logger.Info().Str("endpoint", name).Time("until", entry.removeAt).Msg("endpointAwaited")
		}
		return ended
	}
	return f.removeEndpoint(name, entry, ended)
}

// removeEndpoint removes an endpoint, and appends to ended unless the endpoint announced that
// it was leaving.
func (f *Fleet) removeEndpoint(name string, entry *fleetEntry, ended []endedProcess) []endedProcess {
	delete(f.entries, name)
	f.rememberRemoved(name, entry)
	f.Logger.Info().Str("endpoint", name).Str("service", entry.record.Service).Bool("leaving", entry.record.Leaving).Msg("endpointGone")
	if entry.record.Leaving {
		return ended
	}
	return append(ended, endedProcess{name, 0})
}

// removeMissingLocked removes the endpoints whose missing records did not come back in time.
// It reports whether there were any; mu must be held.
func (f *Fleet) removeMissingLocked(now time.Time, ended []endedProcess) ([]endedProcess, bool) {
	removed := false
	for name, entry := range f.entries {
		if !entry.removeAt.IsZero() && !now.Before(entry.removeAt) {
			ended, removed = f.removeEndpoint(name, entry, ended), true
		}
	}
	return ended, removed
}

// buildEndpoint builds an endpoint from its record. Services with a prefill rate are engines.
func (f *Fleet) buildEndpoint(entry *fleetEntry) marigoldcroft.Endpoint {
	r := entry.record
	kind := marigoldcroft.EndpointService
	figures := f.performance[r.Service]
	_, evacuated := f.evacuated[r.DataCentre]
	if figures.PrefillTokensPerSecond > 0 {
		kind = marigoldcroft.EndpointEngine
	}
	return marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
		Name: r.Name, Kind: kind, Address: r.Address, DataCentre: r.DataCentre, Pool: r.Service, Region: f.Regions[r.DataCentre],
		Evacuated: evacuated,
		Leaving:   r.Leaving || entry.leaving || entry.moved || !entry.unconfirmedUntil.IsZero(), Slots: r.Slots, Performance: figures,
		ColdUntil: entry.cold.until(f.cold[r.Service].time), ColdRequestsPerSecond: f.cold[r.Service].perSecond,
	})
}
