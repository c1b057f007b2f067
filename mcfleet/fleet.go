// Package mcfleet keeps the endpoints that the platform's store shows.
package mcfleet

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
)

const (
	// returnTime is how long endpoints whose records lapsed while the store was away are
	// awaited after its return, from the platform's promise that live ones are back
	// within about two seconds.
	returnTime = 2 * time.Second
	// outage is the gap between two good calls from which records may have lapsed.
	outage = time.Second
)

type (
	// Fleet holds the endpoints. Exported fields are set before use; it is safe for use
	// from many goroutines.
	Fleet struct {
		Logger zerolog.Logger
		// Changed is called with all endpoints after each change, without a lock held.
		Changed func(endpoints []marigoldcroft.Endpoint)
		// Ended is called when an endpoint's process has ended without having said that it
		// leaves: its record lapsed, or a newer incarnation took its name. It may be nil.
		Ended func(name string, incarnation uint64)

		mu      sync.Mutex
		members map[string]*member
		figures map[string]marigoldcroft.EngineFigures
		known   bool
		// awaitUntil ends the time in which missing records are awaited.
		awaitUntil time.Time
	}

	// member is one endpoint.
	member struct {
		record   marigoldcroft.EndpointRecord
		endpoint marigoldcroft.Endpoint
		// missingUntil is when a record that is gone is taken as such, or zero.
		missingUntil time.Time
		// moved is true once another endpoint has answered at the address.
		moved bool
	}

	// ended is one call of Fleet.Ended.
	ended struct {
		name        string
		incarnation uint64
	}
)

// Known tells whether a listing was ever read.
func (f *Fleet) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Endpoint returns the endpoint if new work may be sent to it.
func (f *Fleet) Endpoint(name string) (marigoldcroft.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.endpoint.Leaving() {
		return marigoldcroft.Endpoint{}, false
	}
	return m.endpoint, true
}

// Endpoints returns all endpoints, those that are leaving among them.
func (f *Fleet) Endpoints() []marigoldcroft.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all()
}

// Incarnation returns the incarnation of the endpoint, or 0.
func (f *Fleet) Incarnation(name string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		return m.record.Incarnation
	}
	return 0
}

// Moved notes that another endpoint has the endpoint's address. Nothing new is sent there
// until the record changes.
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

// SetServices takes the figures of the services from a routing table.
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

// Apply takes a change of the records.
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

func (f *Fleet) tellEnded(gone []ended) {
	for _, e := range gone {
		if f.Ended != nil {
			f.Ended(e.name, e.incarnation)
		}
	}
}

// endAwait drops endpoints that were awaited in vain. A later outage has a time of its
// own, whose end comes after this one.
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

// put takes an endpoint's record.
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

// missing handles a record that is gone: at once, or after the time in which records
// that lapsed with the store come back.
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

func (f *Fleet) drop(name string, m *member, gone []ended) []ended {
	delete(f.members, name)
	f.Logger.Info().Str("endpoint", name).Str("service", m.record.Service).Bool("leaving", m.record.Leaving).Msg("endpointGone")
	if m.record.Leaving {
		return gone
	}
	return append(gone, ended{name, 0})
}

// lapse drops endpoints that were awaited in vain.
func (f *Fleet) lapse(now time.Time, gone []ended) ([]ended, bool) {
	lapsed := false
	for name, m := range f.members {
		if !m.missingUntil.IsZero() && !now.Before(m.missingUntil) {
			gone, lapsed = f.drop(name, m, gone), true
		}
	}
	return gone, lapsed
}

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

// all needs mu.
func (f *Fleet) all() []marigoldcroft.Endpoint {
	endpoints := make([]marigoldcroft.Endpoint, 0, len(f.members))
	for _, m := range f.members {
		endpoints = append(endpoints, m.endpoint)
	}
	return endpoints
}
