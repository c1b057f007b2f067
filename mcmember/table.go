package mcmember

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// Fanout is the number of members with which a member exchanges per interval.
	Fanout = 3
	// MinInterval is the exchange interval while all required content fits in the budget.
	MinInterval = time.Second
	// MaxInterval is the longest exchange interval.
	MaxInterval = 4 * time.Second
	// MaxMessageBytes is the size limit of a request or answer.
	MaxMessageBytes = 4096
	// DefaultBytesPerSecond is the default limit in bytes/s of the calls between a member and its
	// peers, sent and received together. The design allows 14 KB/s for all control traffic;
	// the rest is for endpoint polls, configuration and ledger calls.
	DefaultBytesPerSecond = 11 * 1024
	// CallOverheadBytes estimates the bytes that gRPC framing and headers add to one call,
	// both directions together. BenchmarkExchange of mcpeer reports 163 without TLS; the
	// rest is for TLS records. TCP/IP headers are not included.
	CallOverheadBytes = 256

	// suspectIntervals is the number of intervals without a heartbeat after which a member
	// is suspected, removeIntervals the number of further ones after which it is removed.
	suspectIntervals = 3
	removeIntervals  = 2
	// probesPerTick limits the probes that one Tick starts; the others follow at later ticks.
	probesPerTick = 8
	// bucketCount is the number of hash buckets in which rarely changing records are compared.
	bucketCount = 32
	// versionUnit is the resolution of sequences and versions, which are derived from the
	// clock. It is coarse so that the lag behind the newest version takes one byte on the wire.
	versionUnit = 100 * time.Millisecond
	// goneRetention is how long a gone member is kept, so that late messages do not add it
	// again and other data centres learn of its end after a partition of some hours. It is
	// counted from the member's last sequence, which is the same at all members.
	goneRetention = 24 * time.Hour
	// endpointRetention is how long an endpoint is kept that is neither listed nor reported.
	endpointRetention = 10 * time.Minute
	// recordPushes is the number of requests that carry a record after it has changed.
	recordPushes = 3
	// recentWindow is the age up to which changed records are sent for an unequal bucket
	// whose stamps the requester has not listed.
	recentWindow = 10 * time.Second
	// maxEvents limits the events that are queued between two calls of Events.
	maxEvents = 4096
)

type (
	// Contact is the name, location and address of a member.
	Contact struct {
		Instance   string
		DataCentre string
		Region     string
		Address    string
	}

	// Self describes the member that owns the table.
	Self struct {
		Identity     marigoldcroft.Identity
		PeerAddress  string
		AdminAddress string
	}

	member struct {
		// record is the newest record body that its owner wrote. It is replaced, never
		// modified in place.
		record *mcmessage.MemberRecord
		// key is a hash of name and incarnation by which vectors refer to the member.
		key uint32
		// sequence is the newest heartbeat, goneSequence the newest one at which any member
		// removed this one.
		sequence, goneSequence uint64
		// heartbeatAt is the local time at which sequence arrived, or at which failure detection
		// was last restarted.
		heartbeatAt time.Time
		// suspectedAt is the time since which the member is suspected, or zero.
		suspectedAt time.Time
		// probed is set once a probe was started during the current suspicion.
		probed   bool
		inFlight memberInFlight
		usage    memberUsage
	}

	// memberInFlight is the in-flight record of one member: its requests by endpoint.
	memberInFlight struct {
		version uint64
		entries map[string]marigoldcroft.InFlight
		// size is an upper bound of the encoded size in bytes.
		size int
	}

	// memberUsage is the team usage of one member, collected from the chunks it has sent.
	memberUsage struct {
		version uint64
		// teams is the usage by the hash of the team's name.
		teams map[uint64]teamUse
		// chunk is the newest chunk.
		chunk []*mcmessage.TeamUse
	}

	// teamUse is the usage of one team with the local time at which it was received.
	teamUse struct {
		record     *mcmessage.TeamUse
		receivedAt time.Time
	}

	// endpoint is an endpoint of this data centre. listed and spec come from the instance list,
	// state and the loads from polls and peers.
	endpoint struct {
		name string
		// key is a hash of name and incarnation by which vectors refer to the endpoint.
		key    uint32
		listed bool
		spec   marigoldcroft.Endpoint
		state  *mcmessage.EndpointState
		// loadVersion orders the shared reports of one incarnation. It is the time of the
		// report in Unix ms by the endpoint's clock, unless that clock is missing or stuck.
		loadVersion uint64
		sharedLoad  observation
		// newestLoad is the newest observation, which may come from a call of this member and
		// then need not be shared.
		newestLoad observation
		// failures counts consecutive failed polls since firstFailure.
		failures     int
		firstFailure time.Time
	}

	// observation is a load report with the local time at which it was requested from the
	// endpoint. For reports from peers that time is computed from the age in the message.
	observation struct {
		load        marigoldcroft.LoadReport
		requestedAt time.Time
	}

	// recordID identifies a rarely changing record.
	recordID struct {
		kind recordKind
		name string
	}

	recordKind uint8

	// replicationState is the replication state of one rarely changing record.
	replicationState struct {
		// stamp is a hash of the record's content.
		stamp  uint64
		bucket int
		// changeIndex is the position of the record's last change in the order of changes at
		// this member; relays read changes in this order.
		changeIndex uint64
		changedAt   time.Time
		// pushesLeft is the number of further requests that carry the record.
		pushesLeft int
	}

	// Table is the membership state machine. It does no I/O, and the time is an argument
	// of each call. It is not safe for concurrent use.
	Table struct {
		self     Self
		own      *member
		interval time.Duration
		// maxInFlightEndpoints limits the endpoints in this member's in-flight record.
		maxInFlightEndpoints int
		// minInterval is the shortest exchange interval.
		minInterval time.Duration
		random      *rand.Rand
		budget      int

		// members and endpoints are those of this data centre, including this member.
		members   map[string]*member
		endpoints map[string]*endpoint
		// marks are the leaving marks of the endpoints of all data centres.
		marks map[string]*mcmessage.EndpointMark
		// quarantine is keyed by fingerprint.
		quarantine map[uint64]*mcmessage.QuarantineEntry
		// limits are the limits that endpoints state, by endpoint.
		limits map[string]*mcmessage.EndpointLimit
		// evacuations states which data centres are evacuated, by data centre.
		evacuations map[string]*mcmessage.Evacuation
		// summaries are the members of other data centres.
		summaries map[string]*summary
		// usage is the usage totals by data centre.
		usage map[string]*centreUsage
		// listedInstances are the other instances in the last instance list that are not leaving.
		listedInstances map[string]Contact
		// listingApplied is true once an instance list has been applied.
		listingApplied bool

		replication map[recordID]*replicationState
		// buckets is the XOR of the record stamps in each bucket; see toggleBucketHash.
		buckets         [bucketCount]uint64
		lastChangeIndex uint64
		// listStampsUntil is the time until which requests list the record stamps of a bucket.
		listStampsUntil [bucketCount]time.Time

		// roster is nil after a change until currentRoster rebuilds it.
		roster *roster
		// peerRoster is the roster hash of the peer that answered last, at peerRosterAt.
		peerRoster   uint64
		peerRosterAt time.Time
		// compareBucketsUntil is the time until which requests carry bucket hashes, after the
		// records of a peer differed.
		compareBucketsUntil time.Time

		// newestRevision is the newest configuration revision that this member knows of.
		newestRevision uint64
		lastTick       time.Time
		// lastContact is the time of the last request from, or answer of, a peer.
		lastContact   time.Time
		exchangeRound int
		rounds        roundStats
		events        []Event
		// urgent is set when a change should be pushed before the next exchange interval.
		urgent bool
		// listedLeaving is the leaving flag that the instance list last had for each endpoint.
		listedLeaving map[string]bool
		// ackedSequence is the newest sequence of this member that a peer has received.
		ackedSequence uint64
		// usageCursor is the index of the first team in the next usage chunk, if not all teams
		// fit in one.
		usageCursor   int
		pendingPushes pendingPushes

		relayRound     int
		relayPositions map[string]relayPosition
	}

	// pendingPushes holds the number of further requests that carry this member's in-flight
	// record, its usage, and the load reports that it polled, by endpoint.
	pendingPushes struct {
		inFlight, usage int
		loads           map[string]int
	}

	// summary is a member of another data centre with the local time at which its record was
	// received.
	summary struct {
		record     *mcmessage.MemberSummary
		receivedAt time.Time
	}

	// centreUsage is the usage totals of one data centre with the local time at which they were
	// received.
	centreUsage struct {
		record     *mcmessage.DataCentreUsage
		receivedAt time.Time
	}

	// Probe is a suspected member and the members through which it is probed.
	Probe struct {
		Target  Contact
		Through []Contact
	}

	// roster is the sorted list of members and endpoints whose versions a vector holds. It
	// is never modified in place, as an answer refers to the roster of its request.
	roster struct {
		hash      uint64
		members   []*member
		endpoints []*endpoint
	}

	// roundStats is the input for adapting the exchange interval. A round is one interval.
	roundStats struct {
		// exchanges and truncated count the exchanges of the current interval.
		exchanges, truncated int
		// truncatedRounds and fittingRounds count consecutive intervals; see adaptInterval.
		truncatedRounds int
		fittingRounds   int
	}
)

const (
	recordMember recordKind = iota
	recordEndpoint
	recordMark
	recordQuarantine
	recordSummary
	recordUsage
	recordLimit
	recordEvacuation
)

// NewTable returns the table of a member that starts at now. seed seeds its random number
// generator, so that runs can be repeated.
func NewTable(self Self, now time.Time, seed uint64) *Table {
	t := &Table{
		self: self, interval: MinInterval, minInterval: MinInterval, maxInFlightEndpoints: defaultInFlightEndpoints, budget: DefaultBytesPerSecond,
		random:          rand.New(rand.NewPCG(seed, self.Identity.Incarnation())),
		members:         make(map[string]*member),
		endpoints:       make(map[string]*endpoint),
		marks:           make(map[string]*mcmessage.EndpointMark),
		quarantine:      make(map[uint64]*mcmessage.QuarantineEntry),
		limits:          make(map[string]*mcmessage.EndpointLimit),
		evacuations:     make(map[string]*mcmessage.Evacuation),
		summaries:       make(map[string]*summary),
		usage:           make(map[string]*centreUsage),
		listedInstances: make(map[string]Contact),
		replication:     make(map[recordID]*replicationState),
		listedLeaving:   make(map[string]bool),
		relayPositions:  make(map[string]relayPosition),
		pendingPushes:   pendingPushes{loads: make(map[string]int)},
		lastTick:        now, lastContact: now,
	}
	id := self.Identity
	record := &mcmessage.MemberRecord{
		Instance: id.Instance(), DataCentre: id.DataCentre(), Region: id.Region(),
		PeerAddress: self.PeerAddress, AdminAddress: self.AdminAddress,
		Incarnation: id.Incarnation(), IntervalMs: uint32(t.interval.Milliseconds()),
	}
	t.own = &member{record: record, heartbeatAt: now, sequence: versionAt(now)}
	t.own.setKey()
	t.members[id.Instance()] = t.own
	t.updateOwnRecord(now, func(*mcmessage.MemberRecord) {})
	return t
}

// SetBudget sets the limit in bytes/s of exchanges, sent and received together.
func (t *Table) SetBudget(bytesPerSecond int) { t.budget = bytesPerSecond }

// SetMaxInFlightEndpoints sets the limit of endpoints in this member's in-flight record.
func (t *Table) SetMaxInFlightEndpoints(n int) { t.maxInFlightEndpoints = n }

// SetMinExchangeInterval sets the shortest exchange interval in place of MinInterval.
func (t *Table) SetMinExchangeInterval(least time.Duration) { t.minInterval, t.interval = least, least }

// Interval returns the current exchange interval.
func (t *Table) Interval() time.Duration { return t.interval }

func versionAt(now time.Time) uint64 { return uint64(now.UnixNano()) / uint64(versionUnit) }

func versionTime(version uint64) time.Time { return time.Unix(0, int64(version)*int64(versionUnit)) }

// loadVersionAt returns the version of a load report: its time in Unix ms. Two reports of
// one endpoint with the same version are taken for the same report.
func loadVersionAt(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 0)) }

func loadTime(version uint64) time.Time { return time.UnixMilli(int64(version)) }

// hashOf returns a hash of a name and numbers.
func hashOf(name string, numbers ...uint64) uint64 {
	var buffer [64]byte
	b := buffer[:0]
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64String(name) ^ xxhash.Sum64(b)*0x9e3779b97f4a7c15
}

func fold32(h uint64) uint32 { return uint32(h ^ h>>32) }

func (m *member) setKey() {
	m.key = fold32(hashOf(m.record.GetInstance(), m.record.GetIncarnation(), uint64(recordMember)))
}

func (e *endpoint) setKey() {
	e.key = fold32(hashOf(e.name, e.state.GetEndpointIncarnation(), uint64(recordEndpoint)))
}

// isGone reports whether the member has left or was removed.
func (m *member) isGone() bool {
	return m.record.GetState() == mcmessage.MemberState_MEMBER_STATE_GONE || m.isRemoved()
}

// isRemoved reports whether a member has removed this one and no newer heartbeat has refuted
// the removal.
func (m *member) isRemoved() bool { return m.goneSequence > 0 && m.goneSequence >= m.sequence }

func (m *member) state() mcmessage.MemberState {
	switch {
	case m.isGone():
		return mcmessage.MemberState_MEMBER_STATE_GONE
	case !m.suspectedAt.IsZero():
		return mcmessage.MemberState_MEMBER_STATE_SUSPECT
	default:
		return m.record.GetState()
	}
}

// stamp returns a hash of the state on which all members must agree. Heartbeats are left out.
func (m *member) stamp() uint64 {
	gone := uint64(0)
	if m.isRemoved() {
		gone = m.goneSequence
	}
	return hashOf(m.record.GetInstance(), m.record.GetIncarnation(), m.record.GetVersion(), gone)
}

func (e *endpoint) isDown() bool { return e.state.GetDownVersion() > e.loadVersion }

func (e *endpoint) stamp() uint64 {
	down := uint64(0)
	if e.isDown() {
		down = e.state.GetDownVersion()
	}
	return hashOf(e.name, e.state.GetEndpointIncarnation(), e.state.GetVersion(), down)
}

// updateStamp updates the stamp of a rarely changing record and, with push set, schedules it
// for recordPushes requests. It returns false if the stamp is unchanged.
func (t *Table) updateStamp(now time.Time, id recordID, stamp uint64, push bool) bool {
	r := t.replication[id]
	if r == nil {
		r = &replicationState{bucket: int(hashOf(id.name, uint64(id.kind)) % bucketCount)}
		t.replication[id] = r
	} else {
		if r.stamp == stamp {
			return false
		}
		t.toggleBucketHash(id, r)
	}
	t.lastChangeIndex++
	r.stamp, r.changeIndex, r.changedAt = stamp, t.lastChangeIndex, now
	r.pushesLeft = 0
	if push {
		r.pushesLeft = recordPushes
	}
	t.toggleBucketHash(id, r)
	return true
}

// toggleBucketHash adds the record to the XOR hash of its bucket or, if it is already part of
// it, removes it. Usage totals are left out: they change every few seconds, so their versions
// are in the vector.
func (t *Table) toggleBucketHash(id recordID, r *replicationState) {
	if id.kind != recordUsage {
		t.buckets[r.bucket] ^= r.stamp
	}
}

func (t *Table) stopReplicating(id recordID) {
	if r := t.replication[id]; r != nil {
		t.toggleBucketHash(id, r)
		delete(t.replication, id)
	}
}

// updateMemberStamp updates the replication state after a change of the member.
func (t *Table) updateMemberStamp(now time.Time, m *member, push bool) {
	name := m.record.GetInstance()
	if t.updateStamp(now, recordID{recordMember, name}, m.stamp(), push) {
		t.roster = nil
		t.emit(Event{Kind: EventMember, Name: name})
	}
}

// updateEndpointStamp is updateMemberStamp for an endpoint. An endpoint that is listed but
// was never polled has no state to share.
func (t *Table) updateEndpointStamp(now time.Time, e *endpoint, push bool) {
	if e.state.GetVersion() == 0 && e.state.GetDownVersion() == 0 {
		return
	}
	if t.updateStamp(now, recordID{recordEndpoint, e.name}, e.stamp(), push) {
		t.roster = nil
		t.emit(Event{Kind: EventEndpoint, Name: e.name})
	}
}

// updateOwnRecord changes the record body of this member and gives it a newer version.
func (t *Table) updateOwnRecord(now time.Time, change func(*mcmessage.MemberRecord)) {
	old := t.own.record
	next := copyMember(old)
	change(next)
	t.advanceOwnSequence(now)
	next.Version = max(old.GetVersion()+1, next.GetVersion()+1, versionAt(now))
	t.own.sequence = max(t.own.sequence, next.GetVersion())
	t.own.record = next
	t.updateMemberStamp(now, t.own, true)
}

func copyMember(m *mcmessage.MemberRecord) *mcmessage.MemberRecord {
	return &mcmessage.MemberRecord{
		Instance: m.GetInstance(), DataCentre: m.GetDataCentre(), Region: m.GetRegion(),
		PeerAddress: m.GetPeerAddress(), AdminAddress: m.GetAdminAddress(),
		Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(), State: m.GetState(),
		ConfigRevision: m.GetConfigRevision(), ConfigNewestSeen: m.GetConfigNewestSeen(),
		Version: m.GetVersion(), GoneSequence: m.GetGoneSequence(), IntervalMs: m.GetIntervalMs(),
	}
}

// advanceOwnSequence advances the sequence of this member to the current time.
func (t *Table) advanceOwnSequence(now time.Time) {
	t.own.sequence = max(t.own.sequence, versionAt(now))
	t.own.heartbeatAt = now
}

// currentRoster returns the roster of all endpoints and of all members that are not gone,
// sorted by name. It is rebuilt after a change.
func (t *Table) currentRoster() *roster {
	if t.roster != nil {
		return t.roster
	}
	r := &roster{}
	for _, m := range t.members {
		if !m.isGone() {
			r.members = append(r.members, m)
		}
	}
	for _, e := range t.endpoints {
		r.endpoints = append(r.endpoints, e)
	}
	sort.Slice(r.members, func(i, j int) bool {
		return r.members[i].record.GetInstance() < r.members[j].record.GetInstance()
	})
	sort.Slice(r.endpoints, func(i, j int) bool { return r.endpoints[i].name < r.endpoints[j].name })
	b := make([]byte, 0, 4*(len(r.members)+len(r.endpoints))+4)
	for _, m := range r.members {
		b = binary.LittleEndian.AppendUint32(b, m.key)
	}
	b = binary.LittleEndian.AppendUint32(b, 0)
	for _, e := range r.endpoints {
		b = binary.LittleEndian.AppendUint32(b, e.key)
	}
	r.hash = xxhash.Sum64(b)
	t.roster = r
	return r
}

// Tick advances the sequence of this member, runs failure detection and returns the
// members to probe. It has to be called once per interval.
func (t *Table) Tick(now time.Time) []Probe {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	t.own.sequence = max(t.own.sequence+1, versionAt(now))
	t.own.heartbeatAt = now
	t.adaptInterval(now)
	t.expire(now)
	if gap > 2*t.interval {
		t.resetAfterPause(now, gap)
		return nil
	}
	return t.detectFailures(now)
}

// resetAfterPause restarts failure detection for all members after this process was paused:
// it could not receive heartbeats during the pause, so missing ones are no sign of failure.
func (t *Table) resetAfterPause(now time.Time, gap time.Duration) {
	for _, m := range t.members {
		m.heartbeatAt, m.suspectedAt, m.probed = now, time.Time{}, false
	}
	t.emit(Event{Kind: EventResumed, Gap: gap})
}

// detectFailures suspects members without a newer heartbeat for suspectIntervals, and removes
// those that have been probed and stayed suspected for removeIntervals. It returns the
// members to probe now.
func (t *Table) detectFailures(now time.Time) []Probe {
	var probes []Probe
	for _, name := range t.memberNames() {
		m := t.members[name]
		if m == t.own || m.isGone() {
			continue
		}
		interval := max(t.interval, time.Duration(m.record.GetIntervalMs())*time.Millisecond)
		if m.suspectedAt.IsZero() && now.Sub(m.heartbeatAt) > suspectIntervals*interval {
			m.suspectedAt = now
			t.emit(Event{Kind: EventMember, Name: name})
		}
		if m.suspectedAt.IsZero() {
			continue
		}
		if !m.probed && len(probes) < probesPerTick {
			m.probed = true
			probes = append(probes, t.newProbe(m))
		}
		if m.probed && now.Sub(m.suspectedAt) >= removeIntervals*interval {
			m.goneSequence = m.sequence
			m.suspectedAt, m.probed = time.Time{}, false
			t.updateMemberStamp(now, m, true)
		}
	}
	return probes
}

// newProbe returns the probe of m with two random members through which it is made.
func (t *Table) newProbe(m *member) Probe {
	p := Probe{Target: contactOf(m.record)}
	for _, c := range t.shuffledLive() {
		if c.Instance != p.Target.Instance && len(p.Through) < 2 {
			p.Through = append(p.Through, c)
		}
	}
	return p
}

// expire deletes records that are past their retention.
func (t *Table) expire(now time.Time) {
	for name, m := range t.members {
		if m != t.own && m.isGone() && now.Sub(versionTime(m.sequence)) > goneRetention {
			delete(t.members, name)
			t.stopReplicating(recordID{recordMember, name})
		}
	}
	for name, e := range t.endpoints {
		if !e.listed && t.endpointExpired(now, e) {
			delete(t.endpoints, name)
			t.stopReplicating(recordID{recordEndpoint, name})
			t.roster = nil
			t.emit(Event{Kind: EventEndpoint, Name: name})
		}
	}
	for fingerprint, q := range t.quarantine {
		if q.GetExpiresUnixMs() < now.UnixMilli() {
			delete(t.quarantine, fingerprint)
			t.stopReplicating(quarantineID(fingerprint))
			t.emit(Event{Kind: EventQuarantine, Fingerprint: fingerprint})
		}
	}
	for name, l := range t.limits {
		if now.UnixMilli()-int64(l.GetVersion()) > limitRetention.Milliseconds() {
			delete(t.limits, name)
			t.stopReplicating(recordID{recordLimit, name})
		}
	}
	t.expireEvacuations(now)
	for name, s := range t.summaries {
		if s.record.GetState() == mcmessage.MemberState_MEMBER_STATE_GONE &&
			now.Sub(versionTime(s.record.GetSequence())) > goneRetention {
			delete(t.summaries, name)
			t.stopReplicating(recordID{recordSummary, name})
		}
	}
}

func (t *Table) endpointExpired(now time.Time, e *endpoint) bool {
	newest := loadTime(max(e.loadVersion, e.state.GetLoadVersion(), e.state.GetDownVersion()))
	if written := versionTime(e.state.GetVersion()); written.After(newest) {
		newest = written
	}
	return now.Sub(newest) > endpointRetention
}

// adaptInterval doubles the interval, up to MaxInterval, after lengthenAfter consecutive
// intervals in which at least half of the exchanges were truncated. It halves the interval,
// down to the shortest one, after shortenAfter consecutive intervals in which fewer were.
func (t *Table) adaptInterval(now time.Time) {
	s := &t.rounds
	if s.exchanges == 0 {
		return
	}
	if 2*s.truncated >= s.exchanges {
		s.truncatedRounds++
		s.fittingRounds = 0
	} else {
		s.fittingRounds++
		s.truncatedRounds = 0
	}
	s.exchanges, s.truncated = 0, 0
	next := t.interval
	// Longer intervals delay failure detection, so a short burst of changes must not
	// lengthen them.
	const lengthenAfter, shortenAfter = 10, 10
	switch {
	case s.truncatedRounds >= lengthenAfter:
		next = min(2*t.interval, MaxInterval)
	case s.fittingRounds >= shortenAfter:
		next = max(t.interval/2, t.minInterval)
	}
	if next != t.interval {
		t.interval = next
		s.truncatedRounds, s.fittingRounds = 0, 0
		t.updateOwnRecord(now, func(r *mcmessage.MemberRecord) { r.IntervalMs = uint32(next.Milliseconds()) })
	}
}

// Peers returns the members to exchange with in the next interval. In every fifth round
// one of them is a removed member or an instance that is only listed, so that the two sides
// of a healed partition find each other.
func (t *Table) Peers() []Contact {
	t.exchangeRound++
	live := t.shuffledLive()
	live = live[:min(len(live), Fanout)]
	missing := t.shuffledMissing()
	const missingEvery = 5
	if len(missing) == 0 || len(live) > 1 && t.exchangeRound%missingEvery != 0 {
		return live
	}
	if len(live) < Fanout {
		return append(live, missing[:min(len(missing), Fanout-len(live))]...)
	}
	live[Fanout-1] = missing[0]
	return live
}

// UrgentPeers returns the members to which an urgent change is pushed.
func (t *Table) UrgentPeers() []Contact {
	live := t.shuffledLive()
	return live[:min(len(live), Fanout)]
}

// contact returns the contact of another member of this data centre.
func (t *Table) contact(instance string) (Contact, bool) {
	m := t.members[instance]
	if m == nil || m == t.own {
		return Contact{}, false
	}
	return contactOf(m.record), true
}

// shuffledLive returns, in random order, the live members with which this one exchanges: all
// of them in a small group, and its partners in a large one.
func (t *Table) shuffledLive() []Contact {
	var names []string
	for _, name := range t.memberNames() {
		if m := t.members[name]; m != t.own && !m.isGone() {
			names = append(names, name)
		}
	}
	return t.shuffledContacts(partners(t.self.Identity.Instance(), names))
}

// shuffledSubset returns the live members of the own subset in random order, or all partners if this
// member is not live.
func (t *Table) shuffledSubset() []Contact {
	subset := marigoldcroft.SubsetMembers(t.self.Identity.Instance(), t.Candidates())
	if len(subset) == 0 {
		return t.shuffledLive()
	}
	return t.shuffledContacts(subset)
}

func (t *Table) shuffledContacts(names []string) []Contact {
	contacts := make([]Contact, 0, len(names))
	for _, name := range names {
		contacts = append(contacts, contactOf(t.members[name].record))
	}
	t.random.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	return contacts
}

// shuffledMissing returns the removed members, except those that left on their own, and the
// listed instances of this data centre that are not members, in random order.
func (t *Table) shuffledMissing() []Contact {
	var contacts []Contact
	for _, name := range t.memberNames() {
		m := t.members[name]
		if m.isGone() && m.record.GetState() != mcmessage.MemberState_MEMBER_STATE_GONE {
			contacts = append(contacts, contactOf(m.record))
		}
	}
	names := make([]string, 0, len(t.listedInstances))
	for name, c := range t.listedInstances {
		if t.members[name] == nil && c.DataCentre == t.self.Identity.DataCentre() {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		contacts = append(contacts, t.listedInstances[name])
	}
	t.random.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	return contacts
}

func (t *Table) memberNames() []string {
	names := make([]string, 0, len(t.members))
	for name := range t.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func contactOf(r *mcmessage.MemberRecord) Contact {
	return Contact{
		Instance: r.GetInstance(), DataCentre: r.GetDataCentre(),
		Region: r.GetRegion(), Address: r.GetPeerAddress(),
	}
}
