package mcmember

import (
	"time"

	"marigoldcroft"
)

// EventKind is the kind of change that an Event reports.
type EventKind string

// The kinds of events.
const (
	// EventMember means that the state or the record of member Name changed.
	EventMember EventKind = "member"
	// EventEndpoint means that endpoint Name was added, removed, went down or came back,
	// or that its leaving mark changed.
	EventEndpoint EventKind = "endpoint"
	// EventLoad carries a newer load report in Report.
	EventLoad EventKind = "load"
	// EventInFlight carries the in-flight requests of member Name in InFlight.
	EventInFlight EventKind = "inFlight"
	// EventQuarantine means that the entry of Fingerprint changed or expired.
	EventQuarantine EventKind = "quarantine"
	// EventLimit means that the limit that endpoint Name states changed.
	EventLimit EventKind = "limit"
	// EventEvacuation means that the record of the evacuation of data centre Name changed.
	EventEvacuation EventKind = "evacuation"
	// EventConfig carries a newer configuration revision in Revision.
	EventConfig EventKind = "config"
	// EventResumed means that this process was paused for Gap.
	EventResumed EventKind = "resumed"
	// EventSelfRemoved means that peers had removed this member. Revision holds the new
	// incarnation under which it has joined again.
	EventSelfRemoved EventKind = "selfRemoved"
	// EventDropped means that events were lost because the subscriber was slow. The
	// subscriber has to read the whole state again with the query methods.
	EventDropped EventKind = "dropped"
)

// Event is one change that is delivered to subscribers.
type Event struct {
	Kind        EventKind
	Name        string
	Fingerprint uint64
	Revision    uint64
	Gap         time.Duration
	// Report and RequestedAt belong to EventLoad. RequestedAt is the local time at which the endpoint
	// was polled. For a report from a peer it is computed from the age in the message.
	Report      marigoldcroft.LoadReport
	RequestedAt time.Time
	// InFlight belongs to EventInFlight. Subscribers must not modify it.
	InFlight map[string]marigoldcroft.InFlight
}

// emit queues the event until TakeEvents is called. When maxEvents are queued, the oldest
// half is replaced by one EventDropped.
func (t *Table) emit(e Event) {
	if len(t.events) >= maxEvents {
		kept := append([]Event{{Kind: EventDropped}}, t.events[maxEvents/2:]...)
		t.events = kept
	}
	t.events = append(t.events, e)
}

// TakeEvents returns and clears the queued events.
func (t *Table) TakeEvents() []Event {
	events := t.events
	t.events = nil
	return events
}

// TakeUrgent reports, and resets, whether a change should be pushed before the next exchange
// interval: an own state or incarnation, a leaving mark, an endpoint that is down, the limit of an
// endpoint, the evacuation of a data centre, a quarantine entry or a configuration revision.
func (t *Table) TakeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}
