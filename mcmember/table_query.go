package mcmember

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

type (
	// MemberView is the state of one member as this instance knows it.
	MemberView struct {
		Contact
		AdminAddress   string
		Incarnation    uint64
		State          mcmessage.MemberState
		ConfigRevision uint64
		// Age is the time since the newest heartbeat arrived here. For a member of another
		// data centre it is the time since the last usage totals of that data centre, or the
		// last change of the member, arrived.
		Age time.Duration
		// Left is true if the member announced its end; other members that are gone may still be
		// running out of reach.
		Left bool
	}

	// EndpointView is the state of one endpoint of this data centre as this member knows it.
	EndpointView struct {
		Endpoint marigoldcroft.Endpoint
		// Report is the newest load report, or zero if there is none.
		Report marigoldcroft.LoadReport
		Down   bool
		// Leaving is also set in Endpoint.
		Leaving bool
		// Listed reports whether the instance list contains the endpoint.
		Listed bool
		// RequestedAt is the local time at which Report was requested from the endpoint, and Age the
		// time since then.
		RequestedAt time.Time
		Age         time.Duration
	}
)

// Members returns the known members of all data centres, sorted by data centre and name.
func (t *Table) Members(now time.Time) []MemberView {
	views := make([]MemberView, 0, len(t.members)+len(t.summaries))
	for _, m := range t.members {
		r := m.record
		views = append(views, MemberView{
			Contact: contactOf(r), AdminAddress: r.GetAdminAddress(), Incarnation: r.GetIncarnation(),
			State: m.state(), ConfigRevision: r.GetConfigRevision(), Age: now.Sub(m.heartbeatAt),
			Left: r.GetState() == mcmessage.MemberState_MEMBER_STATE_GONE,
		})
	}
	for _, s := range t.summaries {
		r := s.record
		receivedAt := s.receivedAt
		if u := t.usage[r.GetDataCentre()]; u != nil && u.receivedAt.After(receivedAt) {
			receivedAt = u.receivedAt
		}
		views = append(views, MemberView{
			Contact: Contact{Instance: r.GetInstance(), DataCentre: r.GetDataCentre(), Region: r.GetRegion(), Address: r.GetPeerAddress()},
			Age:     now.Sub(receivedAt), AdminAddress: r.GetAdminAddress(), Incarnation: r.GetIncarnation(),
			State: r.GetState(), ConfigRevision: r.GetConfigRevision(),
		})
	}
	sort.Slice(views, func(i, j int) bool {
		a, b := views[i], views[j]
		return a.DataCentre < b.DataCentre || a.DataCentre == b.DataCentre && a.Instance < b.Instance
	})
	return views
}

// Contact returns the contact of a member of this data centre that is not this one.
func (t *Table) Contact(instance string) (Contact, bool) { return t.contact(instance) }

// NeverContacted returns the instances in the instance list that have never been reported as
// members, neither by themselves nor by peers.
func (t *Table) NeverContacted() []Contact {
	var contacts []Contact
	for name, contact := range t.listedInstances {
		if t.members[name] == nil && t.summaries[name] == nil {
			contacts = append(contacts, contact)
		}
	}
	sort.Slice(contacts, func(i, j int) bool { return contacts[i].Instance < contacts[j].Instance })
	return contacts
}

// Endpoints returns the endpoints of this data centre that are listed or have a load report
// not older than freshReportAge, sorted by name.
func (t *Table) Endpoints(now time.Time) []EndpointView {
	views := make([]EndpointView, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		if e.listed || now.Sub(e.newestLoad.requestedAt) <= freshReportAge {
			views = append(views, t.endpointView(now, e))
		}
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Endpoint.Name() < views[j].Endpoint.Name() })
	return views
}

// Endpoint returns one endpoint of this data centre.
func (t *Table) Endpoint(now time.Time, name string) (EndpointView, bool) {
	e := t.endpoints[name]
	if e == nil {
		return EndpointView{}, false
	}
	return t.endpointView(now, e), true
}

func (t *Table) endpointView(now time.Time, e *endpoint) EndpointView {
	spec := e.spec
	if spec.Name() == "" {
		spec = marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: e.name, DataCentre: t.self.Identity.DataCentre()})
	}
	leaving := t.leaving(e.name)
	report := e.newestLoad.load
	report.Leaving = leaving
	return EndpointView{
		Endpoint: spec.WithLeaving(leaving), Report: report, Down: e.isDown(), Leaving: leaving,
		Listed: e.listed, RequestedAt: e.newestLoad.requestedAt, Age: now.Sub(e.newestLoad.requestedAt),
	}
}

// HasListing reports whether an instance list has been applied.
func (t *Table) HasListing() bool { return t.listingApplied }

// Leaving reports whether an endpoint of any data centre is marked as leaving.
func (t *Table) Leaving(endpoint string) bool { return t.leaving(endpoint) }

// Quarantine returns the entry of the fingerprint.
func (t *Table) Quarantine(fingerprint uint64) (*mcmessage.QuarantineEntry, bool) {
	q, held := t.quarantine[fingerprint]
	return q, held
}

// Limits returns the limits of all endpoints, sorted by endpoint.
func (t *Table) Limits() []*mcmessage.EndpointLimit {
	return slices.SortedFunc(maps.Values(t.limits), func(a, b *mcmessage.EndpointLimit) int {
		return cmp.Compare(a.GetEndpoint(), b.GetEndpoint())
	})
}

// QuarantineEntries returns all entries, sorted by fingerprint.
func (t *Table) QuarantineEntries() []*mcmessage.QuarantineEntry {
	entries := make([]*mcmessage.QuarantineEntry, 0, len(t.quarantine))
	for _, q := range t.quarantine {
		entries = append(entries, q)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].GetFingerprint() < entries[j].GetFingerprint() })
	return entries
}

// NewestRevision returns the newest known configuration revision.
func (t *Table) NewestRevision() uint64 { return t.newestRevision }

// Candidates returns the members of this data centre that can be made responsible for keys
// or polls: those that are live, not suspected and not draining, including this one. They
// are sorted.
func (t *Table) Candidates() []string {
	var names []string
	for _, name := range t.memberNames() {
		if t.members[name].state() == mcmessage.MemberState_MEMBER_STATE_LIVE {
			names = append(names, name)
		}
	}
	return names
}

// DeploymentCandidates returns Candidates and the live members of other data centres, sorted.
func (t *Table) DeploymentCandidates() []string {
	names := t.Candidates()
	for name, s := range t.summaries {
		if s.record.GetState() == mcmessage.MemberState_MEMBER_STATE_LIVE {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// IncarnationGone reports whether that incarnation of the instance is known to have ended.
// It returns false for an unknown instance.
func (t *Table) IncarnationGone(instance string, incarnation uint64) bool {
	if m := t.members[instance]; m != nil {
		return m.record.GetIncarnation() > incarnation || m.record.GetIncarnation() == incarnation && m.isGone()
	}
	if s := t.summaries[instance]; s != nil {
		gone := s.record.GetState() == mcmessage.MemberState_MEMBER_STATE_GONE
		return s.record.GetIncarnation() > incarnation || s.record.GetIncarnation() == incarnation && gone
	}
	return false
}

// Isolated reports whether other instances are known but no exchange with any of them has
// succeeded for suspectIntervals. Members that look gone may then only be unreachable.
func (t *Table) Isolated(now time.Time) bool {
	return (len(t.members) > 1 || len(t.listedInstances) > 0) && now.Sub(t.lastContact) > suspectIntervals*t.interval
}

// PeerInFlight returns the in-flight requests of a member by endpoint. Callers must not
// modify the map.
func (t *Table) PeerInFlight(instance string) map[string]marigoldcroft.InFlight {
	if m := t.members[instance]; m != nil {
		return m.inFlight.entries
	}
	return nil
}

// PeerUsage returns the usage of the team at each member of this data centre that is not
// gone and has reported it within usageRetention.
func (t *Table) PeerUsage(now time.Time, team string) map[string]TeamUsage {
	hash := xxhash.Sum64String(team)
	uses := make(map[string]TeamUsage)
	for name, m := range t.members {
		use, held := m.usage.teams[hash]
		if held && !m.isGone() && now.Sub(use.receivedAt) <= usageRetention {
			uses[name] = usageOf(team, use.record)
		}
	}
	return uses
}

// CentreUsage returns the usage totals of the team in each other data centre.
func (t *Table) CentreUsage(team string) map[string]TeamUsage {
	hash := xxhash.Sum64String(team)
	uses := make(map[string]TeamUsage)
	for name, u := range t.usage {
		for _, use := range u.record.GetTeams() {
			if use.GetTeam() == hash && name != t.self.Identity.DataCentre() {
				uses[name] = usageOf(team, use)
			}
		}
	}
	return uses
}

func usageOf(team string, use *mcmessage.TeamUse) TeamUsage {
	return TeamUsage{
		Team: team, TokensPerSecond: float64(use.GetTokensPerSecond()),
		Concurrency: int(use.GetConcurrency()), Share: float64(use.GetShare()),
	}
}

// AssignedPolls returns the endpoints that this member polls: those for which it is among the
// first two candidates by Rank, or all endpoints if there are no candidates.
func (t *Table) AssignedPolls(now time.Time) []marigoldcroft.Endpoint {
	const pollersPerEndpoint = 2
	candidates := t.Candidates()
	self := t.self.Identity.Instance()
	var endpoints []marigoldcroft.Endpoint
	for _, e := range t.currentRoster().endpoints {
		if e.spec.Address() == "" || !e.listed && now.Sub(e.newestLoad.requestedAt) > freshReportAge {
			continue
		}
		pollers := topTwo("poll/"+e.name, candidates)
		if len(candidates) == 0 || pollers[0] == self || len(pollers) == pollersPerEndpoint && pollers[1] == self {
			endpoints = append(endpoints, e.spec)
		}
	}
	return endpoints
}

// topTwo returns the first two members of Rank in linear time.
func topTwo(key string, members []string) []string {
	first := Home(key, members)
	if first == "" {
		return nil
	}
	rest := make([]string, 0, len(members))
	for _, m := range members {
		if m != first {
			rest = append(rest, m)
		}
	}
	if second := Home(key, rest); second != "" {
		return []string{first, second}
	}
	return []string{first}
}
