package mcmember

import (
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// ListChanged makes the member read the instance list at once instead of at the end of
// the list interval.
func (m *Member) ListChanged() {
	m.once.Do(m.create)
	signal(m.listSignal)
}

// PushInFlight sends this member's in-flight record to peers at once instead of at the next
// exchange. It is meant for changes that other instances must know of before they place
// further requests on the same endpoint.
func (m *Member) PushInFlight() {
	m.once.Do(m.create)
	signal(m.inFlightSignal)
}

// SetState calls Table.SetState.
func (m *Member) SetState(state mcmessage.MemberState) {
	m.withTable(func(t *Table, now time.Time) { t.SetState(now, state) })
}

// SetRevision calls Table.SetRevision.
func (m *Member) SetRevision(applied, newest uint64) {
	m.withTable(func(t *Table, now time.Time) { t.SetRevision(now, applied, newest) })
}

// ShareRevision calls Table.ShareRevision.
func (m *Member) ShareRevision(revision uint64) {
	m.withTable(func(t *Table, _ time.Time) { t.ShareRevision(revision) })
}

// SetQuarantine calls Table.SetQuarantine.
func (m *Member) SetQuarantine(q *mcmessage.QuarantineEntry) {
	m.withTable(func(t *Table, now time.Time) { t.SetQuarantine(now, q) })
}

// SetLimit calls Table.SetLimit.
func (m *Member) SetLimit(l *mcmessage.EndpointLimit) {
	m.withTable(func(t *Table, now time.Time) { t.SetLimit(now, l) })
}

// SetEvacuation calls Table.SetEvacuation.
func (m *Member) SetEvacuation(e *mcmessage.Evacuation) {
	m.withTable(func(t *Table, now time.Time) { t.SetEvacuation(now, e) })
}

// SetLeaving calls Table.SetLeaving.
func (m *Member) SetLeaving(endpoint string, leaving bool) error {
	return query(m, func(t *Table, now time.Time) error { return t.SetLeaving(now, endpoint, leaving) })
}

// ObserveLoad calls Table.ObserveLoad.
func (m *Member) ObserveLoad(requestedAt time.Time, report marigoldcroft.LoadReport) error {
	var err error
	m.withTable(func(t *Table, now time.Time) { err = t.ObserveLoad(now, requestedAt, report) })
	return err
}

// ObserveFailure calls Table.ObserveFailure.
func (m *Member) ObserveFailure(requestedAt time.Time, endpoint string, refused bool) {
	m.withTable(func(t *Table, now time.Time) { t.ObserveFailure(now, requestedAt, endpoint, refused) })
}
