package mcmember

import (
	"time"

	"marigoldcroft"
)

// EventKind says what changed.
type EventKind string

// The kinds of events.
const (
	// EventMember means that the state or the record of member Name changed.
	EventMember EventKind = "member"
	// EventEndpoint means that endpoint Name was added, removed, marked or marked down.
	EventEndpoint EventKind = "endpoint"
	// EventLoad carries a newer load report in Report.
	EventLoad EventKind = "load"
	// EventInFlight carries the work of member Name in InFlight.
	EventInFlight EventKind = "inFlight"
	// EventQuarantine means that the entry of Fingerprint changed or expired.
	EventQuarantine EventKind = "quarantine"
	// EventConfig carries a newer configuration revision in Revision.
	EventConfig EventKind = "config"
	// EventResumed means that this process did not run for Gap.
	EventResumed EventKind = "resumed"
	// EventSelfRemoved means that peers had given this member up. Revision holds the
	// incarnation with which it came back.
	EventSelfRemoved EventKind = "selfRemoved"
	// EventDropped means that events were lost because the subscriber was slow; it
	// has to read the state again through queries.
	EventDropped EventKind = "dropped"
)

// Event is one change that a subscriber learns of.
type Event struct {
	Kind        EventKind
	Name        string
	Fingerprint uint64
	Revision    uint64
	Gap         time.Duration
	// Report and Asked belong to EventLoad. Asked is the local time at which the
	// endpoint was asked, as far as the ages in messages tell.
	Report marigoldcroft.LoadReport
	Asked  time.Time
	// InFlight belongs to EventInFlight and must not be changed.
	InFlight map[string]marigoldcroft.InFlight
}

// emit keeps the event until Events is called. Beyond maxEvents the oldest half is
// replaced by one EventDropped.
func (t *Table) emit(e Event) {
	if len(t.events) >= maxEvents {
		kept := append([]Event{{Kind: EventDropped}}, t.events[maxEvents/2:]...)
		t.events = kept
	}
	t.events = append(t.events, e)
}

// Events returns the events since the last call.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

// Urgent tells, once, whether something changed that should not wait for the next
// interval: a mark, an endpoint down, a quarantine entry or a configuration revision.
func (t *Table) Urgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}
