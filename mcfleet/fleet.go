// Package mcfleet maintains the set of endpoints from their records in the platform's store.
package mcfleet

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
)

const (
	// returnTime is how long an endpoint whose record expired during an outage of the store
	// is kept after the outage. The platform promises that the records of live endpoints
	// are back within about two seconds.
	returnTime = 2 * time.Second
	// outage is the shortest outage of the store during which records may have expired.
	outage = time.Second
)

type (
	// Fleet is the set of known endpoints. Exported fields must be set before use. It is safe
	// for concurrent use.
	Fleet struct {
		Logger zerolog.Logger
		// Changed is called after each change with all endpoints; no lock is held.
		Changed func(endpoints []marigoldcroft.Endpoint)
		// Ended is called when an endpoint's process has ended without announcing that it was
		// leaving. Either its record expired and incarnation is 0, or a newer process took its
		// name and incarnation is that of the newer one. It may be nil.
		Ended func(name string, incarnation uint64)

		mu      sync.Mutex
		members map[string]*member
		figures map[string]marigoldcroft.EngineFigures
		known   bool
		// awaitUntil is the time until which endpoints with missing records are kept after an
		// outage.
		awaitUntil time.Time
	}

	// member is one endpoint with its record.
	member struct {
		record   marigoldcroft.EndpointRecord
		endpoint marigoldcroft.Endpoint
		// missingUntil is when the endpoint is removed because its record is missing, or zero
		// if the record is present.
		missingUntil time.Time
		// moved is true once another endpoint has answered at the address of the record.
		moved bool
	}

	// ended holds the arguments of one call of Fleet.Ended.
	ended struct {
		name        string
		incarnation uint64
	}
)

// Known reports whether a full listing has been applied.
func (f *Fleet) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Endpoint returns the endpoint and true, or false if it is unknown or may not get new work.
func (f *Fleet) Endpoint(name string) (marigoldcroft.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.endpoint.Leaving() {
		return marigoldcroft.Endpoint{}, false
	}
	return m.endpoint, true
}

// Endpoints returns all endpoints, including those that are leaving.
func (f *Fleet) Endpoints() []marigoldcroft.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all()
}

// Incarnation returns the incarnation of the endpoint, or 0 if it is unknown.
func (f *Fleet) Incarnation(name string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		return m.record.Incarnation
	}
	return 0
}

// Moved records that another endpoint answers at the endpoint's address. The endpoint gets
// no new work until its record changes.
func (f *Fleet) Moved(name string) {
	f.mu.Lock()
	m := f.members[name]
	if m == nil || m.moved {
		f.mu.Unlock()
		return
	}
	m.moved = true
	m.endpoint = f.endpoint(m)
	f.Logger.Info().Str("endpoint", name).Str("address", m.record.Address).Msg("endpointMoved")
	all := f.all()
	f.mu.Unlock()
	f.Changed(all)
}

// SetServices takes the engine figures of the services from a routing table and applies them
// to all endpoints.
func (f *Fleet) SetServices(table *marigoldcroft.RoutingTable) {
	f.mu.Lock()
	f.figures = make(map[string]marigoldcroft.EngineFigures)
	for _, s := range table.Services() {
		f.figures[s.Name] = s.Engine
	}
	for _, m := range f.members {
		m.endpoint = f.endpoint(m)
	}
	all := f.all()
	f.mu.Unlock()
	f.Changed(all)
}

// Apply updates the endpoints with changed records. After an outage of the store, endpoints
// whose records are missing are kept for returnTime.
func (f *Fleet) Apply(change mcfollow.Change[marigoldcroft.EndpointRecord]) {
	now := time.Now()
	f.mu.Lock()
	if f.members == nil {
		f.members = make(map[string]*member)
	}
	if change.Gap > outage && f.known {
		f.awaitUntil = now.Add(returnTime)
		time.AfterFunc(returnTime, f.endAwait)
	}
	var gone []ended
	listed := make(map[string]bool, len(change.Records))
	changed := !f.known
	for _, r := range change.Records {
		listed[r.Name] = true
		if r.Deleted || r.Value == nil {
			gone = f.missing(now, r.Name, gone)
		} else {
			gone = f.put(*r.Value, gone)
		}
		changed = true
	}
	if change.Whole {
		f.known = true
		for name := range f.members {
			if !listed[name] {
				gone, changed = f.missing(now, name, gone), true
			}
		}
	}
	all := f.all()
	f.mu.Unlock()
	if changed {
		f.Changed(all)
	}
	f.tellEnded(gone)
}

// tellEnded calls Ended for each process in gone; mu must not be held.
func (f *Fleet) tellEnded(gone []ended) {
	for _, e := range gone {
		if f.Ended != nil {
			f.Ended(e.name, e.incarnation)
		}
	}
}

// endAwait runs returnTime after an outage and removes the endpoints whose records did not
// come back. A later outage starts a timer of its own, which fires after this one.
func (f *Fleet) endAwait() {
	f.mu.Lock()
	gone, lapsed := f.lapse(time.Now(), nil)
	all := f.all()
	f.mu.Unlock()
	if lapsed {
		f.Changed(all)
	}
	f.tellEnded(gone)
}

// put adds or replaces an endpoint's record and ignores a record of an older incarnation. It
// appends to gone if a newer incarnation shows that the previous process has ended.
func (f *Fleet) put(record marigoldcroft.EndpointRecord, gone []ended) []ended {
	held := f.members[record.Name]
	if held != nil && held.record.Incarnation > record.Incarnation && record.Incarnation != 0 {
		return gone
	}
	if held != nil && record.Incarnation > held.record.Incarnation && !held.record.Leaving {
		gone = append(gone, ended{record.Name, record.Incarnation})
	}
	if held == nil || held.record != record {
		f.Logger.Info().Str("endpoint", record.Name).Str("service", record.Service).Str("address", record.Address).
			Uint64("incarnation", record.Incarnation).Bool("leaving", record.Leaving).Msg("endpointChanged")
	}
	m := &member{record: record, moved: held != nil && held.moved && held.record == record}
	m.endpoint = f.endpoint(m)
	f.members[record.Name] = m
	return gone
}

// missing handles a missing record: it removes the endpoint, or keeps it until awaitUntil if
// the record may have expired during an outage of the store. An endpoint that announced that
// it was leaving is always removed.
func (f *Fleet) missing(now time.Time, name string, gone []ended) []ended {
	m := f.members[name]
	if m == nil {
		return gone
	}
	if now.Before(f.awaitUntil) && !m.record.Leaving {
		if m.missingUntil.IsZero() {
			m.missingUntil = f.awaitUntil
			f.Logger.Info().Str("endpoint", name).Time("until", m.missingUntil).Msg("endpointAwaited")
		}
		return gone
	}
	return f.drop(name, m, gone)
}

// drop removes an endpoint, and appends to gone unless it announced that it was leaving.
func (f *Fleet) drop(name string, m *member, gone []ended) []ended {
	delete(f.members, name)
	f.Logger.Info().Str("endpoint", name).Str("service", m.record.Service).Bool("leaving", m.record.Leaving).Msg("endpointGone")
	if m.record.Leaving {
		return gone
	}
	return append(gone, ended{name, 0})
}

// lapse removes the endpoints whose missing records did not come back in time. It reports
// whether there were any.
func (f *Fleet) lapse(now time.Time, gone []ended) ([]ended, bool) {
	lapsed := false
	for name, m := range f.members {
		if !m.missingUntil.IsZero() && !now.Before(m.missingUntil) {
			gone, lapsed = f.drop(name, m, gone), true
		}
	}
	return gone, lapsed
}

// endpoint builds an endpoint from its record. Services with a prefill rate are engines.
func (f *Fleet) endpoint(m *member) marigoldcroft.Endpoint {
	r := m.record
	kind := marigoldcroft.EndpointService
	figures := f.figures[r.Service]
	if figures.PrefillTokensPerSecond > 0 {
		kind = marigoldcroft.EndpointEngine
	}
	return marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
		Name: r.Name, Kind: kind, Address: r.Address, DataCentre: r.DataCentre, Pool: r.Service,
		Leaving: r.Leaving || m.moved, Slots: r.Slots, Figures: figures,
	})
}

// all returns all endpoints; mu must be held.
func (f *Fleet) all() []marigoldcroft.Endpoint {
	endpoints := make([]marigoldcroft.Endpoint, 0, len(f.members))
	for _, m := range f.members {
		endpoints = append(endpoints, m.endpoint)
	}
	return endpoints
}
