package mcmember

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// minAnswerBytes is the least room that a request offers for its answer.
	minAnswerBytes = 512
	// tagBytes are set aside in a message for the tags and lengths of nested messages
	// and columns.
	tagBytes = 64
	// maxFullBuckets bounds the buckets whose stamps one request lists.
	maxFullBuckets = 8
	// maxPushBytes bounds the records and updates that one request pushes.
	maxPushBytes = 1500
	// maxRecentBytes bounds the recent records that are sent to a requester that has
	// not listed what it holds.
	maxRecentBytes = 600
	// agreedTime is how long an answer counts as a sign that peers have the same roster.
	agreedTime = 2 * MaxInterval

	inFlightBaseBytes  = 16
	inFlightEntryBytes = 9
	usageBaseBytes     = 14
	usageEntryBytes    = 23

	// Work weighs more than usage: the larger the lag times the weight, the earlier
	// it goes.
	inFlightWeight = 4
	usageWeight    = 1
)

type (
	// Sent is what Finish needs to know of the request it belongs to.
	Sent struct {
		Request *mcmessage.ExchangeRequest
		at      time.Time
		roster  *roster
		// sequence is the own sequence that the request carries.
		sequence uint64
	}

	// view is a vector resolved against the own table. Unknown positions are nil.
	view struct {
		members   []*member
		endpoints []*endpoint
		vector    *mcmessage.Vector
	}

	// update is one candidate of the frequently changing part of an answer.
	update struct {
		lag      uint64
		size     int
		position int
		kind     updateKind
	}

	updateKind uint8
)

const (
	updateInFlight updateKind = iota
	updateUsage
)

// Request returns the request of an exchange with any peer. With keys false the
// vector's keys are left out if a peer has lately had the same roster.
func (t *Table) Request(now time.Time, keys bool) Sent {
	t.beat(now)
	r := t.currentRoster()
	// Without a recent answer it is unknown whether peers still have the same roster,
	// and a peer that does not cannot use a vector without keys.
	agreed := t.agreedRoster == r.hash && now.Sub(t.agreedAt) <= agreedTime
	request := &mcmessage.ExchangeRequest{
		Sender:           t.sender(),
		Vector:           t.vector(r, keys || !agreed),
		RecordsHash:      t.recordsHash(),
		ConfigRevision:   t.newestRevision,
		MaxResponseBytes: MaxMessageBytes,
	}
	if t.unequal {
		request.BucketHashes = t.bucketHashes()
		t.listFullBuckets(request)
	}
	push := min(MaxMessageBytes-proto.Size(request)-tagBytes, maxPushBytes)
	request.Records = t.hotRecords(now, &push)
	request.Updates = t.ownUpdates(now, r, request.GetVector(), push)
	room := t.allowance() - proto.Size(request)
	request.MaxResponseBytes = uint32(min(max(room, minAnswerBytes), MaxMessageBytes))
	if room < minAnswerBytes {
		t.rounds.truncated++
	}
	return Sent{Request: request, at: now, roster: r, sequence: t.own.sequence}
}

// allowance is what one exchange may cost in both directions. Each member starts
// Fanout exchanges an interval and on average answers as many.
func (t *Table) allowance() int {
	return int(float64(t.budget)*t.interval.Seconds()/(2*Fanout)) - MessageOverhead
}

func (t *Table) sender() *mcmessage.Sender {
	id := t.self.Identity
	return &mcmessage.Sender{
		Deployment: id.Deployment(), DataCentre: id.DataCentre(), Instance: id.Instance(),
		Incarnation: t.own.record.GetIncarnation(),
	}
}

func (t *Table) vector(r *roster, keys bool) *mcmessage.Vector {
	v := &mcmessage.Vector{
		Roster:       r.hash,
		SequenceLags: make([]uint64, len(r.members)),
		InFlightLags: make([]uint64, len(r.members)),
		UsageLags:    make([]uint64, len(r.members)),
		LoadLags:     make([]uint64, len(r.endpoints)),
	}
	for _, m := range r.members {
		v.MemberBase = max(v.MemberBase, m.sequence)
	}
	for _, e := range r.endpoints {
		v.LoadBase = max(v.LoadBase, e.loadVersion)
	}
	for i, m := range r.members {
		v.SequenceLags[i] = lagOf(v.MemberBase, m.sequence)
		v.InFlightLags[i] = lagOf(v.MemberBase, m.work.version)
		v.UsageLags[i] = lagOf(v.MemberBase, m.usage.version)
	}
	for i, e := range r.endpoints {
		v.LoadLags[i] = lagOf(v.LoadBase, e.loadVersion)
	}
	t.addCentres(v)
	if keys {
		for _, m := range r.members {
			v.MemberKeys = append(v.MemberKeys, m.key)
		}
		for _, e := range r.endpoints {
			v.EndpointKeys = append(v.EndpointKeys, e.key)
		}
	}
	return v
}

// addCentres adds the versions of data centres' totals to the vector.
func (t *Table) addCentres(v *mcmessage.Vector) {
	for _, u := range t.usage {
		v.CentreBase = max(v.CentreBase, u.record.GetVersion())
	}
	for name, u := range t.usage {
		v.CentreKeys = append(v.CentreKeys, fold(hashOf(name)))
		v.CentreLags = append(v.CentreLags, lagOf(v.CentreBase, u.record.GetVersion()))
	}
}

// fillCentres adds the totals of data centres that the requester lacks.
func (t *Table) fillCentres(now time.Time, v *mcmessage.Vector, records *mcmessage.Records, room *int) bool {
	held := make(map[uint32]uint64, len(v.GetCentreKeys()))
	for i, key := range v.GetCentreKeys() {
		held[key] = versionOf(v.GetCentreBase(), v.GetCentreLags(), i)
	}
	for name, u := range t.usage {
		if u.record.GetVersion() > held[fold(hashOf(name))] && !t.addRecord(now, records, recordID{recordUsage, name}, room) {
			return false
		}
	}
	return true
}

// lagOf returns the wire form of a version: 0 for none, else the lag plus one.
func lagOf(base, version uint64) uint64 {
	if version == 0 || version > base {
		return 0
	}
	return base - version + 1
}

// versionOf is the inverse of lagOf.
func versionOf(base uint64, lags []uint64, position int) uint64 {
	if position >= len(lags) || lags[position] == 0 || lags[position] > base {
		return 0
	}
	return base - lags[position] + 1
}

// recordsHash is equal at two members that hold the same rarely changing records.
func (t *Table) recordsHash() uint64 {
	hash := uint64(0)
	for _, h := range t.buckets {
		hash ^= h
	}
	return hash
}

func (t *Table) bucketHashes() []uint32 {
	hashes := make([]uint32, bucketCount)
	for i, h := range t.buckets {
		hashes[i] = fold(h)
	}
	return hashes
}

// listFullBuckets lists the stamps of the buckets that differed at the last
// exchange, so that the answer holds exactly what is lacking.
func (t *Table) listFullBuckets(request *mcmessage.ExchangeRequest) {
	offset := t.random.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (i + offset) % bucketCount
		if t.wantFull[bucket] && len(request.FullBuckets) < maxFullBuckets {
			request.FullBuckets = append(request.FullBuckets, uint32(bucket))
		}
	}
	if len(request.FullBuckets) == 0 {
		return
	}
	for id, r := range t.slow {
		if id.kind != recordUsage && slices.Contains(request.FullBuckets, uint32(r.bucket)) {
			request.Stamps = append(request.Stamps, fold(r.stamp))
		}
	}
	slices.Sort(request.Stamps)
}

// hotRecords returns the records that have just changed, oldest change first.
func (t *Table) hotRecords(now time.Time, room *int) *mcmessage.Records {
	var ids []recordID
	for id, r := range t.slow {
		if r.pushes > 0 {
			ids = append(ids, id)
		}
	}
	records := &mcmessage.Records{}
	for _, id := range t.oldestFirst(ids) {
		if !t.addRecord(now, records, id, room) {
			break
		}
		t.slow[id].pushes--
	}
	return records
}

func (t *Table) oldestFirst(ids []recordID) []recordID {
	sort.Slice(ids, func(i, j int) bool { return t.slow[ids[i]].index < t.slow[ids[j]].index })
	return ids
}

// addRecord adds the record if it fits in the room.
func (t *Table) addRecord(now time.Time, records *mcmessage.Records, id recordID, room *int) bool {
	const headBytes = 3
	fits := func(m proto.Message) bool {
		size := proto.Size(m) + headBytes
		if size > *room {
			return false
		}
		*room -= size
		return true
	}
	switch id.kind {
	case recordMember:
		r := t.memberOnWire(t.members[id.name])
		if !fits(r) {
			return false
		}
		records.Members = append(records.Members, r)
	case recordEndpoint:
		r := t.endpointOnWire(t.endpoints[id.name])
		if !fits(r) {
			return false
		}
		records.Endpoints = append(records.Endpoints, r)
	case recordMark:
		if !fits(t.marks[id.name]) {
			return false
		}
		records.Marks = append(records.Marks, t.marks[id.name])
	case recordQuarantine:
		q := t.quarantine[fingerprintOf(id)]
		if q.GetExpiresUnixMs() < now.UnixMilli() {
			return true
		}
		if !fits(q) {
			return false
		}
		records.Quarantine = append(records.Quarantine, q)
	case recordSummary:
		if !fits(t.summaries[id.name].record) {
			return false
		}
		records.Summaries = append(records.Summaries, t.summaries[id.name].record)
	case recordUsage:
		if !fits(t.usage[id.name].record) {
			return false
		}
		records.Usage = append(records.Usage, t.usage[id.name].record)
	}
	return true
}

func (t *Table) memberOnWire(m *member) *mcmessage.MemberRecord {
	r := copyMember(m.record)
	r.Sequence, r.GoneSequence = m.sequence, m.gone
	return r
}

func (t *Table) endpointOnWire(e *endpoint) *mcmessage.EndpointState {
	return &mcmessage.EndpointState{
		Endpoint: e.name, EndpointIncarnation: e.state.GetEndpointIncarnation(),
		Version: e.state.GetVersion(), KvCapacityTokens: e.state.GetKvCapacityTokens(),
		LoadVersion: e.loadVersion, DownVersion: e.state.GetDownVersion(),
	}
}

// ownUpdates returns what this member originated and has not yet pushed to Fanout
// members: the reports of its own polls, its work and its usage.
func (t *Table) ownUpdates(now time.Time, r *roster, v *mcmessage.Vector, room int) *mcmessage.Updates {
	updates := &mcmessage.Updates{}
	for i, e := range r.endpoints {
		if left := t.pushes.loads[e.name]; left > 0 && e.loadVersion > 0 {
			size := loadSize(now, v, i, e)
			if size > room {
				break
			}
			t.pushes.loads[e.name] = left - 1
			room -= size
			addLoad(now, updates, v, i, e)
		}
	}
	position := slices.Index(r.members, t.own)
	if size := t.own.workSize(); t.pushes.work > 0 && t.own.work.version > 0 && size <= room {
		t.pushes.work--
		room -= size
		t.addInFlight(updates, positionsOf(r), position, t.own)
	}
	if size := t.own.usageSize(); t.pushes.usage > 0 && t.own.usage.version > 0 && size <= room {
		t.pushes.usage--
		updates.Usage = append(updates.Usage, usageOnWire(position, t.own))
	}
	return updates
}

func (m *member) workSize() int { return inFlightBaseBytes + inFlightEntryBytes*len(m.work.entries) }

func (m *member) usageSize() int { return usageBaseBytes + usageEntryBytes*len(m.usage.chunk) }

func positionsOf(r *roster) map[*endpoint]int {
	positions := make(map[*endpoint]int, len(r.endpoints))
	for i, e := range r.endpoints {
		positions[e] = i
	}
	return positions
}

// resolve returns the own members and endpoints at the positions of the vector, or
// false when the vector has no keys and the rosters differ.
func (t *Table) resolve(v *mcmessage.Vector) (view, bool) {
	r := t.currentRoster()
	resolved := view{vector: v}
	if v.GetRoster() == r.hash && len(v.GetSequenceLags()) == len(r.members) && len(v.GetLoadLags()) == len(r.endpoints) {
		resolved.members, resolved.endpoints = r.members, r.endpoints
		return resolved, true
	}
	if len(v.GetMemberKeys()) != len(v.GetSequenceLags()) || len(v.GetEndpointKeys()) != len(v.GetLoadLags()) {
		return view{}, false
	}
	byKey := make(map[uint32]*member, len(t.members))
	for _, m := range t.members {
		if _, taken := byKey[m.key]; taken {
			// Two keys collide; neither may take the other's heartbeats.
			byKey[m.key] = nil
			continue
		}
		byKey[m.key] = m
	}
	endpointByKey := make(map[uint32]*endpoint, len(t.endpoints))
	for _, e := range t.endpoints {
		if _, taken := endpointByKey[e.key]; taken {
			endpointByKey[e.key] = nil
			continue
		}
		endpointByKey[e.key] = e
	}
	for _, key := range v.GetMemberKeys() {
		resolved.members = append(resolved.members, byKey[key])
	}
	for _, key := range v.GetEndpointKeys() {
		resolved.endpoints = append(resolved.endpoints, endpointByKey[key])
	}
	return resolved, true
}

// Serve merges a request and returns the answer.
func (t *Table) Serve(now time.Time, request *mcmessage.ExchangeRequest) *mcmessage.ExchangeResponse {
	t.lastContact = now
	t.beat(now)
	answer := &mcmessage.ExchangeResponse{Sender: t.sender()}
	sender := request.GetSender()
	if m := t.members[sender.GetInstance()]; m != nil && m.givenUp() && m.record.GetIncarnation() == sender.GetIncarnation() {
		answer.HeldGone, answer.HeldSequence = true, m.gone
	}
	resolved, ok := t.resolve(request.GetVector())
	answer.RosterMismatch = !ok
	t.applyRecords(now, request.GetRecords(), true)
	t.applyRevision(request.GetConfigRevision())
	if ok {
		t.mergeHeartbeats(now, resolved)
		t.applyUpdates(now, now, resolved, request.GetUpdates())
	}
	answer.Roster = t.currentRoster().hash
	answer.ConfigRevision = t.newestRevision

	room := int(request.GetMaxResponseBytes())
	room = min(max(room, minAnswerBytes), MaxMessageBytes) - proto.Size(answer) - tagBytes
	answer.Updates = &mcmessage.Updates{}
	complete := t.fillHeartbeats(resolved, answer.Updates, &room)
	complete = t.fillRecords(now, request, answer, &room) && complete
	complete = t.fillCentres(now, request.GetVector(), answer.Records, &room) && complete
	complete = t.fillLoads(now, resolved, answer.Updates, &room) && complete
	t.fillWork(resolved, answer.Updates, room)
	answer.Truncated = !complete
	return answer
}

func (t *Table) mergeHeartbeats(now time.Time, v view) {
	for i := range v.members {
		if m := t.peerAt(v, uint32(i)); m != nil {
			t.advance(now, m, versionOf(v.vector.GetMemberBase(), v.vector.GetSequenceLags(), i))
		}
	}
}

// fillHeartbeats adds the sequences that the requester lacks.
func (t *Table) fillHeartbeats(v view, updates *mcmessage.Updates, room *int) bool {
	for i, m := range v.members {
		if m == nil || m.sequence <= versionOf(v.vector.GetMemberBase(), v.vector.GetSequenceLags(), i) {
			continue
		}
		newer := int64(m.sequence - v.vector.GetMemberBase())
		size := protowire.SizeVarint(uint64(i)) + protowire.SizeVarint(protowire.EncodeZigZag(newer))
		if *room < size {
			return false
		}
		*room -= size
		updates.HeartbeatIndex = append(updates.HeartbeatIndex, uint32(i))
		updates.Heartbeat = append(updates.Heartbeat, newer)
	}
	return true
}

// fillRecords adds the rarely changing records that the requester lacks, oldest
// change first, and names the unequal buckets. Of buckets that the requester has not
// listed it adds only recent changes, as it cannot know which of them are lacking.
func (t *Table) fillRecords(now time.Time, request *mcmessage.ExchangeRequest, answer *mcmessage.ExchangeResponse, room *int) bool {
	answer.Records = &mcmessage.Records{}
	if request.GetRecordsHash() == t.recordsHash() {
		return true
	}
	answer.Unequal = true
	listed := t.compareBuckets(request, answer)
	*room -= len(answer.UnequalBuckets) + 2
	var lacking, recent []recordID
	for id, r := range t.slow {
		if id.kind == recordUsage {
			continue
		}
		_, held := slices.BinarySearch(request.GetStamps(), fold(r.stamp))
		switch {
		case listed[r.bucket] == bucketListed && !held:
			lacking = append(lacking, id)
		case listed[r.bucket] == bucketUnknown && now.Sub(r.changed) <= recentWindow:
			recent = append(recent, id)
		}
	}
	for _, id := range t.oldestFirst(lacking) {
		if !t.addRecord(now, answer.Records, id, room) {
			return false
		}
	}
	recentRoom := min(*room, maxRecentBytes)
	before := recentRoom
	for _, id := range t.oldestFirst(recent) {
		if !t.addRecord(now, answer.Records, id, &recentRoom) {
			break
		}
	}
	*room -= before - recentRoom
	return true
}

type bucketState uint8

const (
	bucketEqual bucketState = iota
	// bucketListed means that the request lists all that the requester holds of it.
	bucketListed
	// bucketUnknown means that it differs or that no hash was sent.
	bucketUnknown
)

// compareBuckets returns the state of each bucket and names those that differ.
func (t *Table) compareBuckets(request *mcmessage.ExchangeRequest, answer *mcmessage.ExchangeResponse) [bucketCount]bucketState {
	var states [bucketCount]bucketState
	hashes := request.GetBucketHashes()
	for i, h := range t.buckets {
		switch {
		case len(hashes) != bucketCount:
			states[i] = bucketUnknown
		case hashes[i] == fold(h):
			continue
		case hashes[i] == 0 || slices.Contains(request.GetFullBuckets(), uint32(i)):
			states[i] = bucketListed
			answer.UnequalBuckets = append(answer.UnequalBuckets, uint32(i))
		default:
			states[i] = bucketUnknown
			answer.UnequalBuckets = append(answer.UnequalBuckets, uint32(i))
		}
	}
	return states
}

// fillLoads adds newer load reports, the largest lag first.
func (t *Table) fillLoads(now time.Time, v view, updates *mcmessage.Updates, room *int) bool {
	type newer struct {
		lag      uint64
		position int
	}
	var reports []newer
	for i, e := range v.endpoints {
		if e == nil {
			continue
		}
		if theirs := versionOf(v.vector.GetLoadBase(), v.vector.GetLoadLags(), i); e.loadVersion > theirs {
			reports = append(reports, newer{e.loadVersion - theirs, i})
		}
	}
	slices.SortStableFunc(reports, func(a, b newer) int { return cmp.Compare(b.lag, a.lag) })
	for _, r := range reports {
		size := loadSize(now, v.vector, r.position, v.endpoints[r.position])
		if *room < size {
			return false
		}
		*room -= size
		addLoad(now, updates, v.vector, r.position, v.endpoints[r.position])
	}
	return true
}

// fillWork uses what room is left for members' work and usage, the largest weighted
// lag first.
func (t *Table) fillWork(v view, updates *mcmessage.Updates, room int) {
	var candidates []update
	add := func(kind updateKind, version uint64, lags []uint64, position, weight, size int) {
		if theirs := versionOf(v.vector.GetMemberBase(), lags, position); version > theirs {
			candidates = append(candidates, update{lag: (version - theirs) * uint64(weight), size: size, position: position, kind: kind})
		}
	}
	for i, m := range v.members {
		if m != nil {
			add(updateInFlight, m.work.version, v.vector.GetInFlightLags(), i, inFlightWeight, m.workSize())
			add(updateUsage, m.usage.version, v.vector.GetUsageLags(), i, usageWeight, m.usageSize())
		}
	}
	slices.SortStableFunc(candidates, func(a, b update) int { return cmp.Compare(b.lag, a.lag) })
	var positions map[*endpoint]int
	for _, c := range candidates {
		if c.size > room {
			return
		}
		room -= c.size
		if c.kind == updateUsage {
			updates.Usage = append(updates.Usage, usageOnWire(c.position, v.members[c.position]))
			continue
		}
		if positions == nil {
			positions = make(map[*endpoint]int, len(v.endpoints))
			for i, e := range v.endpoints {
				positions[e] = i
			}
		}
		t.addInFlight(updates, positions, c.position, v.members[c.position])
	}
}

// maxKibi and maxCount bound what goes on the wire; peers refuse larger values.
const (
	maxKibi  = 1 << 30
	maxCount = 1 << 20
)

func kibi(tokens int64) uint32 { return uint32(min((max(tokens, 0)+1023)/1024, maxKibi)) }

func count32(n int) uint32 { return uint32(min(max(n, 0), maxCount)) }

// loadColumns is one load report as it goes on the wire.
type loadColumns struct {
	version                                  int64
	ageMs, running, waiting, prefill, kvUsed uint32
}

func columnsOf(now time.Time, v *mcmessage.Vector, e *endpoint) loadColumns {
	load := e.shared.load
	return loadColumns{
		version: int64(e.loadVersion - v.GetLoadBase()),
		ageMs:   uint32(min(max(now.Sub(e.shared.asked), 0), time.Hour).Milliseconds()),
		running: count32(load.Running), waiting: count32(load.Waiting),
		prefill: kibi(load.PrefillTokens), kvUsed: kibi(load.KVUsedTokens),
	}
}

// loadSize returns the encoded bytes of one report.
func loadSize(now time.Time, v *mcmessage.Vector, position int, e *endpoint) int {
	c := columnsOf(now, v, e)
	size := protowire.SizeVarint(protowire.EncodeZigZag(c.version)) + protowire.SizeVarint(uint64(position))
	for _, n := range [...]uint32{c.ageMs, c.running, c.waiting, c.prefill, c.kvUsed} {
		size += protowire.SizeVarint(uint64(n))
	}
	return size
}

func addLoad(now time.Time, updates *mcmessage.Updates, v *mcmessage.Vector, position int, e *endpoint) {
	if updates.Loads == nil {
		updates.Loads = &mcmessage.Loads{}
	}
	l, c := updates.Loads, columnsOf(now, v, e)
	l.Index = append(l.Index, uint32(position))
	l.Version = append(l.Version, c.version)
	l.AgeMs = append(l.AgeMs, c.ageMs)
	l.Running = append(l.Running, c.running)
	l.Waiting = append(l.Waiting, c.waiting)
	l.PrefillKi = append(l.PrefillKi, c.prefill)
	l.KvUsedKi = append(l.KvUsedKi, c.kvUsed)
}

// addInFlight adds the work of m, unless the requester does not know all endpoints in
// it: a part would pass for the whole.
func (t *Table) addInFlight(updates *mcmessage.Updates, positions map[*endpoint]int, position int, m *member) {
	w := &mcmessage.InFlight{Member: uint32(position), Version: m.work.version}
	for name, entry := range m.work.entries {
		at, known := positions[t.endpoints[name]]
		if !known {
			return
		}
		w.Endpoint = append(w.Endpoint, uint32(at))
		w.ShortRequests = append(w.ShortRequests, count32(entry.Short))
		w.LongRequests = append(w.LongRequests, count32(entry.Long))
		w.PrefillKi = append(w.PrefillKi, kibi(entry.PrefillTokens))
		w.KvKi = append(w.KvKi, kibi(entry.KVTokens))
	}
	updates.InFlight = append(updates.InFlight, w)
}

func usageOnWire(position int, m *member) *mcmessage.MemberUsage {
	return &mcmessage.MemberUsage{Member: uint32(position), Version: m.usage.version, Teams: m.usage.chunk}
}

// peerAt returns the other member at the position, or nil when it is unknown or has
// been replaced by another incarnation since the view was taken.
func (t *Table) peerAt(v view, position uint32) *member {
	if int(position) >= len(v.members) {
		return nil
	}
	m := v.members[position]
	if m == nil || m == t.own || t.members[m.record.GetInstance()] != m {
		return nil
	}
	return m
}

// endpointAt returns the endpoint at the position, or nil like peerAt.
func (t *Table) endpointAt(v view, position uint32) *endpoint {
	if int(position) >= len(v.endpoints) {
		return nil
	}
	e := v.endpoints[position]
	if e == nil || t.endpoints[e.name] != e {
		return nil
	}
	return e
}

// applyUpdates merges what changes all the time. Positions are those of the view and
// ages count from sent.
func (t *Table) applyUpdates(now, sent time.Time, v view, u *mcmessage.Updates) {
	for i, position := range u.GetHeartbeatIndex() {
		if m := t.peerAt(v, position); m != nil && i < len(u.GetHeartbeat()) {
			t.advance(now, m, v.vector.GetMemberBase()+uint64(u.GetHeartbeat()[i]))
		}
	}
	t.applyLoads(now, sent, v, u.GetLoads())
	for _, w := range u.GetInFlight() {
		if m := t.peerAt(v, w.GetMember()); m != nil {
			t.applyInFlight(m, v, w)
		}
	}
	for _, w := range u.GetUsage() {
		if m := t.peerAt(v, w.GetMember()); m != nil {
			t.applyMemberUsage(now, m, w)
		}
	}
}

func (t *Table) applyLoads(now, sent time.Time, v view, l *mcmessage.Loads) {
	n := min(len(l.GetIndex()), len(l.GetVersion()), len(l.GetAgeMs()), len(l.GetRunning()),
		len(l.GetWaiting()), len(l.GetPrefillKi()), len(l.GetKvUsedKi()))
	for i := range n {
		e := t.endpointAt(v, l.GetIndex()[i])
		version := v.vector.GetLoadBase() + uint64(l.GetVersion()[i])
		if e == nil || version <= e.loadVersion || loadTooFarAhead(now, version) {
			continue
		}
		t.setLoad(now, e, version, sent.Add(-time.Duration(l.GetAgeMs()[i])*time.Millisecond), marigoldcroft.LoadReport{
			Running: int(l.GetRunning()[i]), Waiting: int(l.GetWaiting()[i]),
			PrefillTokens: int64(l.GetPrefillKi()[i]) * 1024, KVUsedTokens: int64(l.GetKvUsedKi()[i]) * 1024,
		})
	}
}

// setLoad replaces the shared load of e and clears an older down mark.
func (t *Table) setLoad(now time.Time, e *endpoint, version uint64, asked time.Time, load marigoldcroft.LoadReport) {
	wasDown := e.isDown()
	load.Time = loadTime(version)
	e.loadVersion, e.shared = version, observation{load: load, asked: asked}
	if wasDown && !e.isDown() {
		t.touchEndpoint(now, e, true)
	}
	t.see(e, e.shared)
}

// see replaces what this member knows of the load of e by a younger observation.
func (t *Table) see(e *endpoint, o observation) {
	if !o.asked.After(e.seen.asked) {
		return
	}
	o.load.Endpoint, o.load.Incarnation = e.name, e.state.GetEndpointIncarnation()
	o.load.KVCapacityTokens = int64(e.state.GetKvCapacityTokens())
	o.load.Leaving = t.leaving(e.name)
	e.seen = o
	t.emit(Event{Kind: EventLoad, Name: e.name, Report: o.load, Asked: o.asked})
}

func (t *Table) applyInFlight(m *member, v view, w *mcmessage.InFlight) {
	if w.GetVersion() <= m.work.version || w.GetVersion() > m.sequence {
		return
	}
	n := min(len(w.GetEndpoint()), len(w.GetShortRequests()), len(w.GetLongRequests()), len(w.GetPrefillKi()), len(w.GetKvKi()))
	entries := make(map[string]marigoldcroft.InFlight, n)
	for i := range n {
		e := t.endpointAt(v, w.GetEndpoint()[i])
		if e == nil {
			// The rest would pass for the whole; it comes again once the endpoint is known.
			return
		}
		entries[e.name] = marigoldcroft.InFlight{
			Short: int(w.GetShortRequests()[i]), Long: int(w.GetLongRequests()[i]),
			PrefillTokens: int64(w.GetPrefillKi()[i]) * 1024, KVTokens: int64(w.GetKvKi()[i]) * 1024,
		}
	}
	m.work = memberWork{version: w.GetVersion(), entries: entries}
	t.emit(Event{Kind: EventInFlight, Name: m.record.GetInstance(), InFlight: entries})
}

func (t *Table) applyMemberUsage(now time.Time, m *member, w *mcmessage.MemberUsage) {
	if w.GetVersion() <= m.usage.version || w.GetVersion() > m.sequence {
		return
	}
	m.usage.version, m.usage.chunk = w.GetVersion(), w.GetTeams()
	m.usage.merge(now)
}

// merge takes the last chunk into the team map and drops teams not heard of lately.
func (u *memberUsage) merge(now time.Time) {
	if u.teams == nil {
		u.teams = make(map[uint64]teamUse)
	}
	for _, use := range u.chunk {
		u.teams[use.GetTeam()] = teamUse{use: use, seen: now}
	}
	for team, use := range u.teams {
		if now.Sub(use.seen) > usageRetention {
			delete(u.teams, team)
		}
	}
}

// Finish merges the answer to a request. It returns true when the exchange has to
// be repeated at once with the vector's keys.
func (t *Table) Finish(now time.Time, sent Sent, answer *mcmessage.ExchangeResponse) bool {
	t.lastContact = now
	t.rounds.exchanges++
	if answer.GetTruncated() {
		t.rounds.truncated++
	}
	if answer.GetHeldGone() && answer.GetHeldSequence() >= t.acknowledged && t.own.record.GetIncarnation() == sent.Request.GetSender().GetIncarnation() {
		// No peer has heard anything newer than what this member was given up at.
		t.reincarnate(now, t.own.record.GetIncarnation())
	}
	t.acknowledged = max(t.acknowledged, sent.sequence)
	t.agreedRoster, t.agreedAt = answer.GetRoster(), now
	t.unequal = answer.GetUnequal()
	// Ages count from the sending of the request, so that they are never too young.
	v := view{members: sent.roster.members, endpoints: sent.roster.endpoints, vector: sent.Request.GetVector()}
	t.applyUpdates(now, sent.at, v, answer.GetUpdates())
	t.applyRecords(now, answer.GetRecords(), false)
	t.applyRevision(answer.GetConfigRevision())
	t.wantFull = [bucketCount]bool{}
	for _, bucket := range answer.GetUnequalBuckets() {
		if bucket < bucketCount {
			t.wantFull[bucket] = true
		}
	}
	return answer.GetRosterMismatch()
}
