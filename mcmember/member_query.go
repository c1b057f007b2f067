package mcmember

import (
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// query runs f on the table under the lock and returns its result.
func query[T any](m *Member, f func(t *Table, now time.Time) T) T {
	var result T
	m.withTable(func(t *Table, now time.Time) { result = f(t, now) })
	return result
}

// Members calls Table.Members.
func (m *Member) Members() []MemberView { return query(m, (*Table).Members) }

// Contact calls Table.Contact.
func (m *Member) Contact(instance string) (contact Contact, known bool) {
	m.withTable(func(t *Table, _ time.Time) { contact, known = t.Contact(instance) })
	return contact, known
}

// NeverContacted calls Table.NeverContacted.
func (m *Member) NeverContacted() []Contact {
	return query(m, func(t *Table, _ time.Time) []Contact { return t.NeverContacted() })
}

// Endpoints calls Table.Endpoints.
func (m *Member) Endpoints() []EndpointView { return query(m, (*Table).Endpoints) }

// Endpoint calls Table.Endpoint.
func (m *Member) Endpoint(name string) (view EndpointView, known bool) {
	m.withTable(func(t *Table, now time.Time) { view, known = t.Endpoint(now, name) })
	return view, known
}

// HasListing calls Table.HasListing.
func (m *Member) HasListing() bool {
	return query(m, func(t *Table, _ time.Time) bool { return t.HasListing() })
}

// Leaving calls Table.Leaving.
func (m *Member) Leaving(endpoint string) bool {
	return query(m, func(t *Table, _ time.Time) bool { return t.Leaving(endpoint) })
}

// Quarantine calls Table.Quarantine.
func (m *Member) Quarantine(fingerprint uint64) (entry *mcmessage.QuarantineEntry, held bool) {
	m.withTable(func(t *Table, _ time.Time) { entry, held = t.Quarantine(fingerprint) })
	return entry, held
}

// QuarantineEntries calls Table.QuarantineEntries.
func (m *Member) QuarantineEntries() []*mcmessage.QuarantineEntry {
	return query(m, func(t *Table, _ time.Time) []*mcmessage.QuarantineEntry { return t.QuarantineEntries() })
}

// Limits calls Table.Limits.
func (m *Member) Limits() []*mcmessage.EndpointLimit {
	return query(m, func(t *Table, _ time.Time) []*mcmessage.EndpointLimit { return t.Limits() })
}

// Evacuations calls Table.Evacuations.
func (m *Member) Evacuations() []*mcmessage.Evacuation {
	return query(m, func(t *Table, _ time.Time) []*mcmessage.Evacuation { return t.Evacuations() })
}

// NewestRevision calls Table.NewestRevision.
func (m *Member) NewestRevision() uint64 {
	return query(m, func(t *Table, _ time.Time) uint64 { return t.NewestRevision() })
}

// Candidates calls Table.Candidates.
func (m *Member) Candidates() []string {
	return query(m, func(t *Table, _ time.Time) []string { return t.Candidates() })
}

// DeploymentCandidates calls Table.DeploymentCandidates.
func (m *Member) DeploymentCandidates() []string {
	return query(m, func(t *Table, _ time.Time) []string { return t.DeploymentCandidates() })
}

// IncarnationGone calls Table.IncarnationGone.
func (m *Member) IncarnationGone(instance string, incarnation uint64) bool {
	return query(m, func(t *Table, _ time.Time) bool { return t.IncarnationGone(instance, incarnation) })
}

// Isolated calls Table.Isolated.
func (m *Member) Isolated() bool { return query(m, (*Table).Isolated) }

// PeerInFlight calls Table.PeerInFlight.
func (m *Member) PeerInFlight(instance string) map[string]marigoldcroft.InFlight {
	return query(m, func(t *Table, _ time.Time) map[string]marigoldcroft.InFlight { return t.PeerInFlight(instance) })
}

// PeerUsage calls Table.PeerUsage.
func (m *Member) PeerUsage(team string) map[string]TeamUsage {
	return query(m, func(t *Table, now time.Time) map[string]TeamUsage { return t.PeerUsage(now, team) })
}

// CentreUsage calls Table.CentreUsage.
func (m *Member) CentreUsage(team string) map[string]TeamUsage {
	return query(m, func(t *Table, _ time.Time) map[string]TeamUsage { return t.CentreUsage(team) })
}

// AssignedPolls calls Table.AssignedPolls.
func (m *Member) AssignedPolls() []marigoldcroft.Endpoint { return query(m, (*Table).AssignedPolls) }
