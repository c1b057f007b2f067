package mcmember

import (
	"cmp"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// defaultInFlightEndpoints is the default limit of endpoints in one member's in-flight
	// record. With all 67 endpoints in the records of 37 members, the records spread so slowly
	// that they were older than the load reports that they are to correct.
	defaultInFlightEndpoints = 16
	// maxUsageTeams limits the teams in one usage chunk; the others follow in later chunks.
	maxUsageTeams = 8
	// usageRefresh is the time after which unchanged usage is sent again. It must be well
	// below usageRetention.
	usageRefresh = 20 * time.Second
	// minShareAge is the age from which a new report replaces the shared one of an endpoint.
	// It is just below PollInterval, so that the reports of only one of the two pollers are
	// shared; those of both would only cost traffic.
	minShareAge = 900 * time.Millisecond
	// downAfterFailures is the number of consecutive failed polls after which an endpoint is down.
	downAfterFailures = 3
	// freshReportAge is how long after a report an endpoint stays in use although the instance
	// list no longer contains it.
	freshReportAge = 10 * time.Second
	// clockStuckAfter is the time after which a report counts as newer than the shared one even if
	// the endpoint's clock has not advanced.
	clockStuckAfter = 2 * time.Second
)

// Limits of values that this member originates. Peers refuse a whole message if one field
// exceeds its limit, so larger values must not enter the table.
const (
	maxNameBytes = 64
	maxTokens    = 1 << 40
	maxTokenRate = 1e12
	maxUnixMs    = 1 << 46
	maxRevision  = 1 << 53
)

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

// clampRate limits value to the range from 0 to maximum. NaN becomes 0.
func clampRate(value, maximum float64) float32 {
	if !(value > 0) {
		return 0
	}
	return float32(min(value, maximum))
}

func clampUnixMs(ms int64) int64 { return min(max(ms, 0), maxUnixMs) }

// TeamUsage is the usage of one team at one instance.
type TeamUsage = marigoldcroft.TeamUsage

// SetState sets the state of this member to live, draining or gone. Gone means that it has
// left.
func (t *Table) SetState(now time.Time, state mcmessage.MemberState) {
	if t.own.record.GetState() != state {
		t.urgent = true
		t.updateOwnRecord(now, func(r *mcmessage.MemberRecord) { r.State = state })
	}
}

// SetRevision sets the configuration revision that this instance applies and the newest
// one that it knows of.
func (t *Table) SetRevision(now time.Time, applied, newest uint64) {
	applied = min(applied, maxRevision)
	t.applyRevision(min(newest, maxRevision))
	own := t.own.record
	if own.GetConfigRevision() != applied || own.GetConfigNewestSeen() != t.newestRevision {
		t.updateOwnRecord(now, func(r *mcmessage.MemberRecord) {
			r.ConfigRevision, r.ConfigNewestSeen = applied, t.newestRevision
		})
	}
}

// ShareRevision makes the revision known to peers with the next exchanges, without a change of this
// member's record.
func (t *Table) ShareRevision(revision uint64) {
	t.newestRevision = max(t.newestRevision, min(revision, maxRevision))
}

// SetInFlight replaces this member's in-flight requests by endpoint. If there are more
// endpoints than the limit of SetMaxInFlightEndpoints, those with the most prefill tokens are shared.
// Endpoints that are neither listed nor have ever reported are left out, as peers may not
// know them.
func (t *Table) SetInFlight(now time.Time, inFlight map[string]marigoldcroft.InFlight) {
	entries := t.selectInFlight(inFlight)
	if sameInFlight(entries, t.own.inFlight.entries) {
		return
	}
	version := t.ownVersion(now, t.own.inFlight.version)
	t.own.inFlight = newMemberInFlight(version, entries)
	t.pendingPushes.inFlight = Fanout
}

// ownVersion returns a version greater than last and raises the sequence of this member to
// it: peers ignore versions above the sequence of their owner.
func (t *Table) ownVersion(now time.Time, last uint64) uint64 {
	t.advanceOwnSequence(now)
	version := max(last+1, t.own.sequence)
	t.own.sequence = version
	return version
}

func (t *Table) selectInFlight(inFlight map[string]marigoldcroft.InFlight) map[string]marigoldcroft.InFlight {
	names := make([]string, 0, len(inFlight))
	for name, w := range inFlight {
		if e := t.endpoints[name]; e != nil && (e.listed || e.state.GetVersion() > 0) && w != (marigoldcroft.InFlight{}) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(inFlight[b].PrefillTokens, inFlight[a].PrefillTokens),
			cmp.Compare(inFlight[b].Short+inFlight[b].Long, inFlight[a].Short+inFlight[a].Long),
			cmp.Compare(a, b),
		)
	})
	entries := make(map[string]marigoldcroft.InFlight, min(len(names), t.maxInFlightEndpoints))
	for _, name := range names[:min(len(names), t.maxInFlightEndpoints)] {
		entries[name] = inFlight[name]
	}
	return entries
}

// sameInFlight reports whether a and b are encoded as the same message.
func sameInFlight(a, b map[string]marigoldcroft.InFlight) bool {
	if len(a) != len(b) {
		return false
	}
	for name, x := range a {
		y, held := b[name]
		if !held || x.Short != y.Short || x.Long != y.Long ||
			toKibi(x.PrefillTokens) != toKibi(y.PrefillTokens) || toKibi(x.KVTokens) != toKibi(y.KVTokens) {
			return false
		}
	}
	return true
}

// SetUsage replaces the team usage of this member. Each call shares the next maxUsageTeams
// teams in turn.
func (t *Table) SetUsage(now time.Time, uses []TeamUsage) {
	if len(uses) == 0 {
		return
	}
	n := min(len(uses), maxUsageTeams)
	chunk := make([]*mcmessage.TeamUse, n)
	for i := range chunk {
		u := uses[(t.usageCursor+i)%len(uses)]
		chunk[i] = &mcmessage.TeamUse{
			Team: xxhash.Sum64String(u.Team), TokensPerSecond: clampRate(u.TokensPerSecond, maxTokenRate),
			Concurrency: clampCount(u.Concurrency), Share: clampRate(u.Share, 1),
		}
	}
	if len(uses) > n {
		t.usageCursor = (t.usageCursor + n) % len(uses)
	} else if t.sameUsage(now, chunk) {
		return
	}
	t.own.usage.version = t.ownVersion(now, t.own.usage.version)
	t.own.usage.chunk = chunk
	t.own.usage.merge(now)
	t.pendingPushes.usage = Fanout
}

func (t *Table) sameUsage(now time.Time, chunk []*mcmessage.TeamUse) bool {
	return now.Sub(versionTime(t.own.usage.version)) < usageRefresh &&
		slices.EqualFunc(chunk, t.own.usage.chunk, func(a, b *mcmessage.TeamUse) bool { return proto.Equal(a, b) })
}

// SetQuarantine stores and shares a quarantine entry with a version above the known one and not
// below its own, as the instance that made it would ignore peers' entries until theirs are higher.
// The entry of a shared part keeps its version, by which crashes that several instances count at
// the same time are merged.
func (t *Table) SetQuarantine(now time.Time, q *mcmessage.QuarantineEntry) {
	cur := t.quarantine[q.GetFingerprint()]
	version := max(cur.GetVersion()+1, versionAt(now), q.GetVersion())
	if q.GetPart() {
		version = q.GetVersion()
	}
	t.applyQuarantine(now, &mcmessage.QuarantineEntry{
		Fingerprint: q.GetFingerprint(), Crashes: min(q.GetCrashes(), maxCount), Quarantined: q.GetQuarantined(),
		Cleared: q.GetCleared(), ExpiresUnixMs: clampUnixMs(q.GetExpiresUnixMs()),
		Version: version, Part: q.GetPart(),
	}, true)
}

// SetLimit stores and shares the limit of an endpoint, unless a newer one is known. Invalid records
// are ignored.
func (t *Table) SetLimit(now time.Time, l *mcmessage.EndpointLimit) {
	if validName(l.GetEndpoint()) {
		t.applyLimit(now, l, true)
	}
}

// SetLeaving marks an endpoint as leaving, or as joined again, on behalf of an
// operator. The endpoint may be in any data centre.
func (t *Table) SetLeaving(now time.Time, endpoint string, leaving bool) error {
	if !validName(endpoint) {
		return marigoldcroft.NewFailure("mark endpoint", KindInvalid,
			errors.Newf("the name has %d bytes, the limits are 1 and %d bytes of UTF-8", len(endpoint), maxNameBytes))
	}
	version := max(t.marks[endpoint].GetVersion()+1, versionAt(now))
	t.setMark(now, endpoint, leaving, version, mcmessage.MarkSource_MARK_SOURCE_OPERATOR, now)
	return nil
}

func (t *Table) setMark(now time.Time, name string, leaving bool, version uint64, source mcmessage.MarkSource, at time.Time) {
	incarnation := uint64(0)
	if e := t.endpoints[name]; e != nil {
		incarnation = e.state.GetEndpointIncarnation()
	}
	t.applyMark(now, &mcmessage.EndpointMark{
		Endpoint: name, EndpointIncarnation: incarnation, Version: version, Leaving: leaving,
		Source: source, MarkedUnixMs: clampUnixMs(at.UnixMilli()),
	}, true)
}

// leaving reports whether the endpoint has an effective leaving mark. A mark from the
// endpoint's own report ends with the incarnation that reported it.
func (t *Table) leaving(name string) bool {
	m := t.marks[name]
	if !m.GetLeaving() {
		return false
	}
	e := t.endpoints[name]
	return e == nil || m.GetSource() != mcmessage.MarkSource_MARK_SOURCE_REPORT ||
		e.state.GetEndpointIncarnation() <= m.GetEndpointIncarnation()
}

// ApplyListing applies an answer of the instance list. Listed instances are only contacts
// and become members when they or a peer report them. Endpoints that are no longer listed
// stay in use while their reports are fresh.
func (t *Table) ApplyListing(now time.Time, listing marigoldcroft.InstanceListing) {
	t.listingApplied = true
	clear(t.listedInstances)
	for _, i := range listing.Instances {
		if i.Name != t.self.Identity.Instance() && !i.Leaving && len(t.listedInstances) < maxRecords {
			t.listedInstances[i.Name] = Contact{Instance: i.Name, DataCentre: i.DataCentre, Region: i.Region, Address: i.PeerAddress}
		}
	}
	listed := make(map[string]bool, len(listing.Endpoints))
	for _, l := range listing.Endpoints {
		if !validName(l.Name) {
			continue
		}
		t.applyListedLeaving(now, l.Name, l.Leaving)
		if l.DataCentre == t.self.Identity.DataCentre() {
			listed[l.Name] = true
			t.applyListedEndpoint(l)
		}
	}
	for name, e := range t.endpoints {
		if e.listed && !listed[name] {
			e.listed = false
			t.emit(Event{Kind: EventEndpoint, Name: name})
		}
	}
}

func (t *Table) applyListedEndpoint(l marigoldcroft.ListedEndpoint) {
	spec := marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
		Name: l.Name, Kind: l.Kind, Address: l.Address, DataCentre: l.DataCentre,
		Pool: l.Pool, ChecksFencing: l.ChecksFencing,
	})
	e := t.endpoints[l.Name]
	if e == nil {
		if len(t.endpoints) >= maxRecords {
			return
		}
		e = &endpoint{name: l.Name, state: &mcmessage.EndpointState{Endpoint: l.Name}}
		e.setKey()
		t.endpoints[l.Name] = e
		t.roster = nil
	}
	if !e.listed || e.spec != spec {
		e.listed, e.spec = true, spec
		t.emit(Event{Kind: EventEndpoint, Name: l.Name})
	}
}

// applyListedLeaving turns a change of the leaving flag in the instance list into a mark. If
// this member has not seen the flag change, the flag does not override an existing mark, as
// the list may be older than the mark.
func (t *Table) applyListedLeaving(now time.Time, name string, leaving bool) {
	before, seen := t.listedLeaving[name]
	if !seen && len(t.listedLeaving) >= maxRecords {
		return
	}
	t.listedLeaving[name] = leaving
	cur := t.marks[name]
	const source = mcmessage.MarkSource_MARK_SOURCE_INSTANCE_LIST
	switch {
	case leaving && cur == nil:
		t.setMark(now, name, true, 1, source, now)
	case leaving && seen && !before && !cur.GetLeaving():
		t.setMark(now, name, true, cur.GetVersion()+1, source, now)
	case !leaving && seen && before && cur.GetLeaving() && cur.GetSource() == source:
		t.setMark(now, name, false, cur.GetVersion()+1, source, now)
	}
}

// ObservePoll records the answer to a poll that was sent at requestedAt. The report is shared
// with peers if the shared one is at least minShareAge old.
func (t *Table) ObservePoll(now, requestedAt time.Time, report marigoldcroft.LoadReport) error {
	return t.observe(now, requestedAt, report, true)
}

// ObserveLoad records a load report that arrived with the response to a call sent at
// requestedAt. Only this member uses the load; a leaving flag, a restart, a changed capacity
// and the end of a down state are shared with peers.
func (t *Table) ObserveLoad(now, requestedAt time.Time, report marigoldcroft.LoadReport) error {
	return t.observe(now, requestedAt, report, false)
}

// observe applies a load report. With share set, or if the report ends a down state, it also
// becomes the shared report, unless that one is at least as new or younger than minShareAge.
func (t *Table) observe(now, requestedAt time.Time, report marigoldcroft.LoadReport, share bool) error {
	e := t.endpoints[report.Endpoint]
	if e == nil {
		return marigoldcroft.NewFailure("observe "+report.Endpoint, KindUnknownEndpoint, nil)
	}
	if report.Incarnation < e.state.GetEndpointIncarnation() {
		return nil
	}
	e = t.observeState(now, e, report)
	e.failures = 0
	t.observeLeaving(now, e, report)
	version := loadVersionAt(report.Time)
	if report.Time.IsZero() || loadTooFarAhead(now, version) {
		version = loadVersionAt(requestedAt)
	}
	if version <= e.loadVersion && requestedAt.Sub(e.sharedLoad.requestedAt) > clockStuckAfter {
		version = e.loadVersion + 1
	}
	if e.isDown() && requestedAt.After(e.sharedLoad.requestedAt) {
		version, share = max(version, e.state.GetDownVersion()+1), true
	}
	if share && version > e.loadVersion && now.Sub(e.sharedLoad.requestedAt) >= minShareAge {
		t.setLoad(now, e, version, requestedAt, report)
		t.pendingPushes.loads[e.name] = Fanout
	}
	t.updateNewestLoad(e, observation{load: report, requestedAt: requestedAt})
	return nil
}

// observeState records a restart or a changed KV capacity from the report.
func (t *Table) observeState(now time.Time, e *endpoint, report marigoldcroft.LoadReport) *endpoint {
	capacity := uint64(min(max(report.KVCapacityTokens, 0), maxTokens))
	if e.state.GetVersion() > 0 && report.Incarnation == e.state.GetEndpointIncarnation() && capacity == e.state.GetKvCapacityTokens() {
		return e
	}
	state := &mcmessage.EndpointState{
		Endpoint: e.name, EndpointIncarnation: report.Incarnation,
		Version: max(versionAt(now), e.state.GetVersion()+1), KvCapacityTokens: capacity,
	}
	if report.Incarnation == e.state.GetEndpointIncarnation() {
		state.DownVersion = e.state.GetDownVersion()
		e.state = state
	} else {
		e = t.replaceEndpoint(e, state)
	}
	t.updateEndpointStamp(now, e, true)
	return e
}

// observeLeaving turns the leaving flag of a report into a mark, and clears that mark when
// a later report of the same incarnation no longer has the flag.
func (t *Table) observeLeaving(now time.Time, e *endpoint, report marigoldcroft.LoadReport) {
	const source = mcmessage.MarkSource_MARK_SOURCE_REPORT
	cur := t.marks[e.name]
	version := max(cur.GetVersion()+1, versionAt(now))
	switch {
	case report.Leaving && !t.leaving(e.name):
		t.setMark(now, e.name, true, version, source, report.Time)
	case !report.Leaving && cur.GetLeaving() && cur.GetSource() == source &&
		report.Incarnation == cur.GetEndpointIncarnation() && report.Time.UnixMilli() > cur.GetMarkedUnixMs():
		t.setMark(now, e.name, false, version, source, report.Time)
	}
}

// ObserveFailure records the failure of a poll that was sent at requestedAt. The endpoint is
// down after a refused connection or downAfterFailures consecutive failures, unless another
// member has polled it successfully since the first failure.
func (t *Table) ObserveFailure(now, requestedAt time.Time, name string, refused bool) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	if e.failures == 0 {
		e.firstFailure = requestedAt
	}
	e.failures++
	since := e.firstFailure
	if refused {
		since = requestedAt
	}
	if !refused && e.failures < downAfterFailures || e.isDown() || !e.sharedLoad.requestedAt.Before(since) && !e.sharedLoad.requestedAt.IsZero() {
		return
	}
	down := e.loadVersion + 1
	if e.loadVersion == 0 {
		down = loadVersionAt(now)
	}
	s := e.state
	e.state = &mcmessage.EndpointState{
		Endpoint: name, EndpointIncarnation: s.GetEndpointIncarnation(), Version: s.GetVersion(),
		KvCapacityTokens: s.GetKvCapacityTokens(), DownVersion: down,
	}
	t.urgent = true
	t.updateEndpointStamp(now, e, true)
}
