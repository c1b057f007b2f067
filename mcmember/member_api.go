package mcmember

import (
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// SetState is Table.SetState.
func (m *Member) SetState(state mcmessage.MemberState) {
	m.do(func(t *Table, now time.Time) { t.SetState(now, state) })
}

// SetRevision is Table.SetRevision.
func (m *Member) SetRevision(inForce, newest uint64) {
	m.do(func(t *Table, now time.Time) { t.SetRevision(now, inForce, newest) })
}

// SetQuarantine is Table.SetQuarantine.
func (m *Member) SetQuarantine(q *mcmessage.QuarantineEntry) {
	m.do(func(t *Table, now time.Time) { t.SetQuarantine(now, q) })
}

// SetLeaving is Table.SetLeaving.
func (m *Member) SetLeaving(endpoint string, leaving bool) error {
	return query(m, func(t *Table, now time.Time) error { return t.SetLeaving(now, endpoint, leaving) })
}

// ObserveLoad is Table.ObserveLoad.
func (m *Member) ObserveLoad(asked time.Time, report marigoldcroft.LoadReport) error {
	var err error
	m.do(func(t *Table, now time.Time) { err = t.ObserveLoad(now, asked, report) })
	return err
}

// ObserveFailure is Table.ObserveFailure.
func (m *Member) ObserveFailure(asked time.Time, endpoint string, refused bool) {
	m.do(func(t *Table, now time.Time) { t.ObserveFailure(now, asked, endpoint, refused) })
}

// query runs f with the table and returns its result.
func query[T any](m *Member, f func(t *Table, now time.Time) T) T {
	var result T
	m.do(func(t *Table, now time.Time) { result = f(t, now) })
	return result
}

// Members is Table.Members.
func (m *Member) Members() []MemberView { return query(m, (*Table).Members) }

// Endpoints is Table.Endpoints.
func (m *Member) Endpoints() []EndpointView { return query(m, (*Table).Endpoints) }

// Endpoint is Table.Endpoint.
func (m *Member) Endpoint(name string) (view EndpointView, known bool) {
	m.do(func(t *Table, now time.Time) { view, known = t.Endpoint(now, name) })
	return view, known
}

// Leaving is Table.Leaving.
func (m *Member) Leaving(endpoint string) bool {
	return query(m, func(t *Table, _ time.Time) bool { return t.Leaving(endpoint) })
}

// Quarantine is Table.Quarantine.
func (m *Member) Quarantine(fingerprint uint64) (entry *mcmessage.QuarantineEntry, held bool) {
	m.do(func(t *Table, _ time.Time) { entry, held = t.Quarantine(fingerprint) })
	return entry, held
}

// QuarantineEntries is Table.QuarantineEntries.
func (m *Member) QuarantineEntries() []*mcmessage.QuarantineEntry {
	return query(m, func(t *Table, _ time.Time) []*mcmessage.QuarantineEntry { return t.QuarantineEntries() })
}

// NewestRevision is Table.NewestRevision.
func (m *Member) NewestRevision() uint64 {
	return query(m, func(t *Table, _ time.Time) uint64 { return t.NewestRevision() })
}

// Candidates is Table.Candidates.
func (m *Member) Candidates() []string {
	return query(m, func(t *Table, _ time.Time) []string { return t.Candidates() })
}

// DeploymentCandidates is Table.DeploymentCandidates.
func (m *Member) DeploymentCandidates() []string {
	return query(m, func(t *Table, _ time.Time) []string { return t.DeploymentCandidates() })
}

// IncarnationGone is Table.IncarnationGone.
func (m *Member) IncarnationGone(instance string, incarnation uint64) bool {
	return query(m, func(t *Table, _ time.Time) bool { return t.IncarnationGone(instance, incarnation) })
}

// Isolated is Table.Isolated.
func (m *Member) Isolated() bool { return query(m, (*Table).Isolated) }

// PeerInFlight is Table.PeerInFlight.
func (m *Member) PeerInFlight(instance string) map[string]marigoldcroft.InFlight {
	return query(m, func(t *Table, _ time.Time) map[string]marigoldcroft.InFlight { return t.PeerInFlight(instance) })
}

// PeerUsage is Table.PeerUsage.
func (m *Member) PeerUsage(team string) map[string]TeamUsage {
	return query(m, func(t *Table, now time.Time) map[string]TeamUsage { return t.PeerUsage(now, team) })
}

// CentreUsage is Table.CentreUsage.
func (m *Member) CentreUsage(team string) map[string]TeamUsage {
	return query(m, func(t *Table, _ time.Time) map[string]TeamUsage { return t.CentreUsage(team) })
}
