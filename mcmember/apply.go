package mcmember

import (
	"cmp"
	"math"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"marigoldcroft/mcmessage"
)

const (
	// maxRecords limits the records of each kind, so that peers cannot make the table
	// grow without bound.
	maxRecords = 4096
	// maxAheadOfClock is how far a sequence, version or incarnation may be ahead of the local
	// clock. A dead member's record is kept at least until the clock reaches its sequence.
	maxAheadOfClock = 24 * time.Hour
	// usageRetention is how long a team's usage is counted after it was last reported.
	usageRetention = time.Minute
	// limitRetention is how long the limit of an endpoint is kept after it was last written. The
	// instances that use the endpoint write a limit that lasts again before that.
	limitRetention = time.Hour
)

func quarantineID(fingerprint uint64) recordID {
	return recordID{recordQuarantine, strconv.FormatUint(fingerprint, 16)}
}

// applyRecords merges rarely changing records. Each merge keeps the larger of two
// versions, so the result does not depend on lost, repeated or reordered messages. With
// push set, changed records are pushed to peers.
func (t *Table) applyRecords(now time.Time, r *mcmessage.Records, push bool) {
	for _, m := range r.GetMembers() {
		t.applyMember(now, m, push)
	}
	for _, e := range r.GetEndpoints() {
		t.applyEndpoint(now, e, push)
	}
	for _, m := range r.GetMarks() {
		t.applyMark(now, m, push)
	}
	for _, q := range r.GetQuarantine() {
		t.applyQuarantine(now, q, push)
	}
	for _, l := range r.GetLimits() {
		t.applyLimit(now, l, push)
	}
	for _, e := range r.GetEvacuations() {
		t.applyEvacuation(now, e, push)
	}
	for _, s := range r.GetSummaries() {
		t.applySummary(now, s, push)
	}
	for _, u := range r.GetUsage() {
		t.applyUsageTotal(now, u)
	}
}

// applyMember merges the record of a member of this data centre.
func (t *Table) applyMember(now time.Time, r *mcmessage.MemberRecord, push bool) {
	name := r.GetInstance()
	if r.GetDataCentre() != t.self.Identity.DataCentre() || incarnationTooFarAhead(now, r.GetIncarnation()) ||
		t.sequenceTooFarAhead(now, max(r.GetSequence(), r.GetGoneSequence())) {
		return
	}
	if name == t.self.Identity.Instance() {
		t.refute(now, r)
		return
	}
	m := t.members[name]
	switch {
	case m == nil:
		m = t.addMember(now, r)
		if m == nil {
			return
		}
	case r.GetIncarnation() < m.record.GetIncarnation():
		return
	case r.GetIncarnation() > m.record.GetIncarnation():
		// The struct is replaced, so that answers to requests that were sent for the old
		// incarnation are not applied to the new one; see peerAt.
		m = &member{record: r, sequence: r.GetSequence(), goneSequence: r.GetGoneSequence(), heartbeatAt: now}
		m.setKey()
		t.members[name] = m
		t.roster = nil
	default:
		if r.GetVersion() > m.record.GetVersion() {
			m.record = r
		}
		m.goneSequence = max(m.goneSequence, r.GetGoneSequence())
		t.applyHeartbeat(now, m, r.GetSequence())
	}
	t.applyRevision(r.GetConfigNewestSeen())
	t.updateMemberStamp(now, m, push)
}

// addMember adds a member. It returns nil if the table is full or if the member has been
// gone for longer than goneRetention.
func (t *Table) addMember(now time.Time, r *mcmessage.MemberRecord) *member {
	m := &member{record: r, sequence: r.GetSequence(), goneSequence: r.GetGoneSequence(), heartbeatAt: now}
	if len(t.members) >= maxRecords || m.isGone() && now.Sub(versionTime(m.sequence)) > goneRetention {
		return nil
	}
	m.setKey()
	t.members[r.GetInstance()] = m
	return m
}

func (t *Table) sequenceTooFarAhead(now time.Time, sequence uint64) bool {
	return sequence > versionAt(now.Add(maxAheadOfClock))
}

// incarnationTooFarAhead reports whether an incarnation, which is a start time in Unix ns, is
// further ahead than clocks can differ. No restart could replace such an incarnation.
func incarnationTooFarAhead(now time.Time, incarnation uint64) bool {
	return incarnation > uint64(now.Add(maxAheadOfClock).UnixNano())
}

func loadTooFarAhead(now time.Time, version uint64) bool {
	return version > loadVersionAt(now.Add(maxAheadOfClock))
}

// applyHeartbeat applies a heartbeat of m: a newer sequence ends a suspicion and refutes a
// removal.
func (t *Table) applyHeartbeat(now time.Time, m *member, sequence uint64) {
	if sequence <= m.sequence || t.sequenceTooFarAhead(now, sequence) {
		return
	}
	wasGone := m.isGone()
	m.sequence, m.heartbeatAt = sequence, now
	if !m.suspectedAt.IsZero() {
		m.suspectedAt, m.probed = time.Time{}, false
		t.emit(Event{Kind: EventMember, Name: m.record.GetInstance()})
	}
	if wasGone {
		t.updateMemberStamp(now, m, true)
	}
}

// refute handles a record that a peer holds of this member: a removal is refuted by a
// higher sequence, a later incarnation by a still later one.
func (t *Table) refute(now time.Time, r *mcmessage.MemberRecord) {
	own := t.own.record
	switch {
	case r.GetIncarnation() > own.GetIncarnation():
		// The clock was set back before a restart, or two processes share the name.
		t.reincarnate(now, r.GetIncarnation())
	case r.GetIncarnation() == own.GetIncarnation():
		t.own.sequence = max(t.own.sequence, r.GetSequence(), r.GetGoneSequence()+1)
		if r.GetVersion() > own.GetVersion() {
			t.updateOwnRecord(now, func(next *mcmessage.MemberRecord) { next.Version = r.GetVersion() })
		}
	}
}

// reincarnate gives this member an incarnation greater than after. It keeps the low bits,
// which are the salt of the process.
func (t *Table) reincarnate(now time.Time, after uint64) {
	const saltMask = 1<<10 - 1
	salt := t.own.record.GetIncarnation() & saltMask
	next := max(uint64(now.UnixNano())&^saltMask, after&^saltMask+saltMask+1) | salt
	t.updateOwnRecord(now, func(r *mcmessage.MemberRecord) { r.Incarnation = next })
	t.own.goneSequence = 0
	t.own.setKey()
	t.roster = nil
	t.urgent = true
	t.emit(Event{Kind: EventSelfRemoved, Name: t.self.Identity.Instance(), Revision: next})
}

// applyEndpoint merges the state of an endpoint of this data centre.
func (t *Table) applyEndpoint(now time.Time, r *mcmessage.EndpointState, push bool) {
	if t.sequenceTooFarAhead(now, r.GetVersion()) || loadTooFarAhead(now, max(r.GetLoadVersion(), r.GetDownVersion())) {
		return
	}
	e := t.endpoints[r.GetEndpoint()]
	if e == nil {
		if len(t.endpoints) >= maxRecords {
			return
		}
		e = &endpoint{name: r.GetEndpoint(), state: r}
		if t.endpointExpired(now, e) {
			return
		}
		t.endpoints[e.name] = e
		e.setKey()
		t.roster = nil
	}
	wasDown := e.isDown()
	switch {
	case r.GetEndpointIncarnation() < e.state.GetEndpointIncarnation():
		return
	case r.GetEndpointIncarnation() > e.state.GetEndpointIncarnation():
		e = t.replaceEndpoint(e, r)
	default:
		e.state = mergeEndpoint(e.state, r)
	}
	t.updateEndpointStamp(now, e, push)
	if push && e.isDown() && !wasDown {
		t.urgent = true
	}
}

// replaceEndpoint replaces e by a new incarnation in a new struct, so that answers to
// requests that were sent for the old incarnation are not applied to it; see endpointAt.
func (t *Table) replaceEndpoint(e *endpoint, state *mcmessage.EndpointState) *endpoint {
	next := &endpoint{name: e.name, listed: e.listed, spec: e.spec, state: state}
	next.setKey()
	t.endpoints[e.name] = next
	t.roster = nil
	return next
}

// mergeEndpoint merges two states of one incarnation: the fields of the newer version
// with the larger down version.
func mergeEndpoint(a, b *mcmessage.EndpointState) *mcmessage.EndpointState {
	if b.GetVersion() > a.GetVersion() {
		a, b = b, a
	}
	if b.GetDownVersion() <= a.GetDownVersion() {
		return a
	}
	return &mcmessage.EndpointState{
		Endpoint: a.GetEndpoint(), EndpointIncarnation: a.GetEndpointIncarnation(),
		Version: a.GetVersion(), KvCapacityTokens: a.GetKvCapacityTokens(),
		DownVersion: b.GetDownVersion(),
	}
}

// applyMark merges the leaving mark of an endpoint of any data centre.
func (t *Table) applyMark(now time.Time, r *mcmessage.EndpointMark, push bool) {
	cur := t.marks[r.GetEndpoint()]
	if cur == nil && len(t.marks) >= maxRecords || cur != nil && !markNewer(r, cur) {
		return
	}
	t.marks[r.GetEndpoint()] = r
	stamp := hashOf(r.GetEndpoint(), r.GetEndpointIncarnation(), r.GetVersion(), bit(r.GetLeaving()),
		uint64(r.GetSource()), uint64(r.GetMarkedUnixMs()))
	if t.updateStamp(now, recordID{recordMark, r.GetEndpoint()}, stamp, push) {
		t.emit(Event{Kind: EventEndpoint, Name: r.GetEndpoint()})
		t.urgent = t.urgent || push
	}
}

// markNewer is a total order, so that all members pick the same one of two concurrent marks.
func markNewer(a, b *mcmessage.EndpointMark) bool {
	return cmp.Or(
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(bit(a.GetLeaving()), bit(b.GetLeaving())),
		cmp.Compare(a.GetEndpointIncarnation(), b.GetEndpointIncarnation()),
		cmp.Compare(a.GetSource(), b.GetSource()),
		cmp.Compare(a.GetMarkedUnixMs(), b.GetMarkedUnixMs()),
	) > 0
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// applyQuarantine merges a quarantine entry. Two entries of the same version are joined
// field by field.
func (t *Table) applyQuarantine(now time.Time, r *mcmessage.QuarantineEntry, push bool) {
	fingerprint := r.GetFingerprint()
	cur := t.quarantine[fingerprint]
	if r.GetExpiresUnixMs() < now.UnixMilli() || cur.GetVersion() > r.GetVersion() {
		return
	}
	if cur == nil && len(t.quarantine) >= maxRecords && !t.evictSuspect(r) {
		return
	}
	if cur.GetVersion() == r.GetVersion() && cur != nil {
		r = &mcmessage.QuarantineEntry{
			Fingerprint: fingerprint, Version: r.GetVersion(),
			Crashes:       max(cur.GetCrashes(), r.GetCrashes()),
			Quarantined:   cur.GetQuarantined() || r.GetQuarantined(),
			Cleared:       cur.GetCleared() || r.GetCleared(),
			ExpiresUnixMs: max(cur.GetExpiresUnixMs(), r.GetExpiresUnixMs()),
			Part:          cur.GetPart() || r.GetPart(),
		}
	}
	stamp := hashOf("", fingerprint, r.GetVersion(), uint64(r.GetCrashes()),
		bit(r.GetQuarantined()), bit(r.GetCleared()), uint64(r.GetExpiresUnixMs()))
	t.quarantine[fingerprint] = r
	if t.updateStamp(now, quarantineID(fingerprint), stamp, push) {
		t.emit(Event{Kind: EventQuarantine, Fingerprint: fingerprint})
		t.urgent = t.urgent || push
	}
}

// evictSuspect removes the least suspect entry, if it is less suspect than the new one, and reports
// whether it did. Quarantined entries stay.
func (t *Table) evictSuspect(next *mcmessage.QuarantineEntry) bool {
	var victim *mcmessage.QuarantineEntry
	for _, q := range t.quarantine {
		if !q.GetQuarantined() && (victim == nil || lessSuspect(q, victim)) {
			victim = q
		}
	}
	if victim == nil || !next.GetQuarantined() && !lessSuspect(victim, next) {
		return false
	}
	delete(t.quarantine, victim.GetFingerprint())
	t.stopReplicating(quarantineID(victim.GetFingerprint()))
	t.emit(Event{Kind: EventQuarantine, Fingerprint: victim.GetFingerprint()})
	return true
}

// lessSuspect orders suspects by their crashes, and then by their expiry.
func lessSuspect(a, b *mcmessage.QuarantineEntry) bool {
	return cmp.Or(cmp.Compare(a.GetCrashes(), b.GetCrashes()), cmp.Compare(a.GetExpiresUnixMs(), b.GetExpiresUnixMs())) < 0
}

// applyLimit merges the limit of an endpoint.
func (t *Table) applyLimit(now time.Time, r *mcmessage.EndpointLimit, push bool) {
	cur := t.limits[r.GetEndpoint()]
	age := now.UnixMilli() - int64(r.GetVersion())
	if age > limitRetention.Milliseconds() || -age > maxAheadOfClock.Milliseconds() || cur == nil && len(t.limits) >= maxRecords ||
		cur != nil && !limitNewer(r, cur) {
		return
	}
	t.limits[r.GetEndpoint()] = r
	stamp := hashOf(r.GetEndpoint(), r.GetVersion(), bit(r.GetLimited()), math.Float64bits(r.GetPerSecond()), r.GetColdUntilUnixMs())
	if t.updateStamp(now, recordID{recordLimit, r.GetEndpoint()}, stamp, push) {
		t.emit(Event{Kind: EventLimit, Name: r.GetEndpoint()})
		t.urgent = t.urgent || push
	}
}

// limitNewer is a total order, so that all members pick the same one of two concurrent records.
func limitNewer(a, b *mcmessage.EndpointLimit) bool {
	return cmp.Or(
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(bit(a.GetLimited()), bit(b.GetLimited())),
		cmp.Compare(b.GetPerSecond(), a.GetPerSecond()),
		cmp.Compare(a.GetColdUntilUnixMs(), b.GetColdUntilUnixMs()),
	) > 0
}

// applySummary merges the summary of a member of another data centre.
func (t *Table) applySummary(now time.Time, r *mcmessage.MemberSummary, push bool) {
	if r.GetDataCentre() == t.self.Identity.DataCentre() || incarnationTooFarAhead(now, r.GetIncarnation()) ||
		t.sequenceTooFarAhead(now, r.GetSequence()) {
		return
	}
	cur := t.summaries[r.GetInstance()]
	if cur == nil {
		gone := r.GetState() == mcmessage.MemberState_MEMBER_STATE_GONE
		if len(t.summaries) >= maxRecords || gone && now.Sub(versionTime(r.GetSequence())) > goneRetention {
			return
		}
	} else if !summaryNewer(r, cur.record) {
		return
	}
	t.summaries[r.GetInstance()] = &summary{record: r, receivedAt: now}
	stamp := hashOf(r.GetInstance(), r.GetIncarnation(), r.GetSequence(), uint64(r.GetState()), r.GetConfigRevision())
	if t.updateStamp(now, recordID{recordSummary, r.GetInstance()}, stamp, push) {
		t.emit(Event{Kind: EventMember, Name: r.GetInstance()})
	}
}

func summaryNewer(a, b *mcmessage.MemberSummary) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		cmp.Compare(a.GetState(), b.GetState()),
		cmp.Compare(a.GetConfigRevision(), b.GetConfigRevision()),
	) > 0
}

// applyUsageTotal merges the team usage totals of this or another data centre.
func (t *Table) applyUsageTotal(now time.Time, r *mcmessage.DataCentreUsage) {
	cur := t.usage[r.GetDataCentre()]
	if t.sequenceTooFarAhead(now, r.GetVersion()) || cur == nil && len(t.usage) >= maxRecords ||
		cur != nil && !usageNewer(r, cur.record) {
		return
	}
	t.usage[r.GetDataCentre()] = &centreUsage{record: r, receivedAt: now}
	t.updateStamp(now, recordID{recordUsage, r.GetDataCentre()}, usageStamp(r), false)
}

// usageNewer orders totals by version. The two relays of a data centre can write the same
// version concurrently; then the larger hash of the encoding wins at every member.
func usageNewer(a, b *mcmessage.DataCentreUsage) bool {
	return cmp.Or(
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(usageStamp(a), usageStamp(b)),
	) > 0
}

func usageStamp(r *mcmessage.DataCentreUsage) uint64 {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return r.GetVersion()
	}
	return hashOf(string(encoded), r.GetVersion())
}

// applyRevision records a newer configuration revision.
func (t *Table) applyRevision(revision uint64) {
	if revision > t.newestRevision {
		t.newestRevision = revision
		t.urgent = true
		t.emit(Event{Kind: EventConfig, Revision: revision})
	}
}
