package mcmember

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// ownUpdates returns the updates of this member that are still to be pushed: load reports
// that it polled, its in-flight record and its usage. Each is pushed with several requests.
func (t *Table) ownUpdates(now time.Time, r *roster, v *mcmessage.Vector, bytesLeft int) *mcmessage.Updates {
	updates := &mcmessage.Updates{}
	for i, e := range r.endpoints {
		if left := t.pendingPushes.loads[e.name]; left > 0 && e.loadVersion > 0 {
			size := loadSize(now, v, i, e)
			if size > bytesLeft {
				break
			}
			t.pendingPushes.loads[e.name] = left - 1
			bytesLeft -= size
			addLoad(now, updates, v, i, e)
		}
	}
	position := slices.Index(r.members, t.own)
	if size := t.own.inFlight.size; t.pendingPushes.inFlight > 0 && t.own.inFlight.version > 0 && size <= bytesLeft {
		t.pendingPushes.inFlight--
		bytesLeft -= size
		t.addInFlight(updates, positionsOf(r), position, t.own)
	}
	if size := t.own.usageSize(); t.pendingPushes.usage > 0 && t.own.usage.version > 0 && size <= bytesLeft {
		t.pendingPushes.usage--
		updates.Usage = append(updates.Usage, usageOnWire(position, t.own))
	}
	return updates
}

// newMemberInFlight returns the in-flight record of a member with an upper bound of its
// encoded size.
func newMemberInFlight(version uint64, entries map[string]marigoldcroft.InFlight) memberInFlight {
	const positionBytes = 2
	size := inFlightBaseBytes
	for _, e := range entries {
		size += positionBytes
		for _, n := range [...]uint32{clampCount(e.Short), clampCount(e.Long), toKibi(e.PrefillTokens), toKibi(e.KVTokens)} {
			size += protowire.SizeVarint(uint64(n))
		}
	}
	return memberInFlight{version: version, entries: entries, size: size}
}

func (m *member) usageSize() int { return usageBaseBytes + usageEntryBytes*len(m.usage.chunk) }

func positionsOf(r *roster) map[*endpoint]int {
	positions := make(map[*endpoint]int, len(r.endpoints))
	for i, e := range r.endpoints {
		positions[e] = i
	}
	return positions
}

// fillLoads adds the load reports that are newer than the requester's, the largest lag
// first. It returns false if some do not fit.
func (t *Table) fillLoads(now time.Time, v resolvedVector, updates *mcmessage.Updates, bytesLeft *int) bool {
	type newer struct {
		lag      uint64
		position int
	}
	var reports []newer
	for i, e := range v.endpoints {
		if e == nil {
			continue
		}
		if theirs := decodeLag(v.vector.GetLoadBase(), v.vector.GetLoadLags(), i); e.loadVersion > theirs {
			reports = append(reports, newer{e.loadVersion - theirs, i})
		}
	}
	slices.SortStableFunc(reports, func(a, b newer) int { return cmp.Compare(b.lag, a.lag) })
	for _, r := range reports {
		size := loadSize(now, v.vector, r.position, v.endpoints[r.position])
		if *bytesLeft < size {
			return false
		}
		*bytesLeft -= size
		addLoad(now, updates, v.vector, r.position, v.endpoints[r.position])
	}
	return true
}

// fillInFlightAndUsage fills the remaining bytes with in-flight records and usage of members
// that are newer than the requester's, the largest weighted lag first.
func (t *Table) fillInFlightAndUsage(v resolvedVector, updates *mcmessage.Updates, bytesLeft int) {
	var candidates []updateCandidate
	add := func(kind updateKind, version uint64, lags []uint64, position, weight, size int) {
		if theirs := decodeLag(v.vector.GetMemberBase(), lags, position); version > theirs {
			candidates = append(candidates, updateCandidate{lag: (version - theirs) * uint64(weight), size: size, position: position, kind: kind})
		}
	}
	for i, m := range v.members {
		if m != nil {
			add(updateInFlight, m.inFlight.version, v.vector.GetInFlightLags(), i, inFlightWeight, m.inFlight.size)
			add(updateUsage, m.usage.version, v.vector.GetUsageLags(), i, usageWeight, m.usageSize())
		}
	}
	slices.SortStableFunc(candidates, func(a, b updateCandidate) int { return cmp.Compare(b.lag, a.lag) })
	var positions map[*endpoint]int
	for _, c := range candidates {
		if c.size > bytesLeft {
			return
		}
		bytesLeft -= c.size
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

// maxKibi and maxCount limit values in messages. Peers refuse larger ones.
const (
	maxKibi  = 1 << 30
	maxCount = 1 << 20
)

func toKibi(tokens int64) uint32 { return uint32(min((max(tokens, 0)+1023)/1024, maxKibi)) }

func clampCount(n int) uint32 { return uint32(min(max(n, 0), maxCount)) }

// loadColumns holds the fields of one load report as they are encoded.
type loadColumns struct {
	version                                  int64
	ageMs, running, waiting, prefill, kvUsed uint32
}

func columnsOf(now time.Time, v *mcmessage.Vector, e *endpoint) loadColumns {
	load := e.sharedLoad.load
	return loadColumns{
		version: int64(e.loadVersion - v.GetLoadBase()),
		ageMs:   uint32(min(max(now.Sub(e.sharedLoad.requestedAt), 0), time.Hour).Milliseconds()),
		running: clampCount(load.Running), waiting: clampCount(load.Waiting),
		prefill: toKibi(load.PrefillTokens), kvUsed: toKibi(load.KVUsedTokens),
	}
}

// loadSize returns the encoded size of one load report in bytes.
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

// addInFlight adds the in-flight record of m. It adds nothing if the requester lacks one of
// its endpoints, because the requester would take a partial record for the complete one.
func (t *Table) addInFlight(updates *mcmessage.Updates, positions map[*endpoint]int, position int, m *member) {
	w := &mcmessage.InFlight{Member: uint32(position), Version: m.inFlight.version}
	for name, entry := range m.inFlight.entries {
		at, known := positions[t.endpoints[name]]
		if !known {
			return
		}
		w.Endpoint = append(w.Endpoint, uint32(at))
		w.ShortRequests = append(w.ShortRequests, clampCount(entry.Short))
		w.LongRequests = append(w.LongRequests, clampCount(entry.Long))
		w.PrefillKi = append(w.PrefillKi, toKibi(entry.PrefillTokens))
		w.KvKi = append(w.KvKi, toKibi(entry.KVTokens))
	}
	updates.InFlight = append(updates.InFlight, w)
}

func usageOnWire(position int, m *member) *mcmessage.MemberUsage {
	return &mcmessage.MemberUsage{Member: uint32(position), Version: m.usage.version, Teams: m.usage.chunk}
}

// applyUpdates merges the frequently changing updates. Their positions refer to v, and ages
// are counted from sent.
func (t *Table) applyUpdates(now, sent time.Time, v resolvedVector, u *mcmessage.Updates) {
	for i, position := range u.GetHeartbeatIndex() {
		if m := t.peerAt(v, position); m != nil && i < len(u.GetHeartbeat()) {
			t.applyHeartbeat(now, m, v.vector.GetMemberBase()+uint64(u.GetHeartbeat()[i]))
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

func (t *Table) applyLoads(now, sent time.Time, v resolvedVector, l *mcmessage.Loads) {
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

// setLoad replaces the shared load report of e. A report newer than the down version ends
// the down state.
func (t *Table) setLoad(now time.Time, e *endpoint, version uint64, requestedAt time.Time, load marigoldcroft.LoadReport) {
	wasDown := e.isDown()
	load.Time = loadTime(version)
	e.loadVersion, e.sharedLoad = version, observation{load: load, requestedAt: requestedAt}
	if wasDown && !e.isDown() {
		t.updateEndpointStamp(now, e, true)
	}
	t.updateNewestLoad(e, e.sharedLoad)
}

// updateNewestLoad replaces the newest observation of e if o was requested later.
func (t *Table) updateNewestLoad(e *endpoint, o observation) {
	if !o.requestedAt.After(e.newestLoad.requestedAt) {
		return
	}
	o.load.Endpoint, o.load.Incarnation = e.name, e.state.GetEndpointIncarnation()
	o.load.KVCapacityTokens = int64(e.state.GetKvCapacityTokens())
	o.load.Leaving = t.leaving(e.name)
	e.newestLoad = o
	t.emit(Event{Kind: EventLoad, Name: e.name, Report: o.load, RequestedAt: o.requestedAt})
}

func (t *Table) applyInFlight(m *member, v resolvedVector, w *mcmessage.InFlight) {
	if w.GetVersion() <= m.inFlight.version || w.GetVersion() > m.sequence {
		return
	}
	n := min(len(w.GetEndpoint()), len(w.GetShortRequests()), len(w.GetLongRequests()), len(w.GetPrefillKi()), len(w.GetKvKi()))
	entries := make(map[string]marigoldcroft.InFlight, n)
	for i := range n {
		e := t.endpointAt(v, w.GetEndpoint()[i])
		if e == nil {
			// A partial record would be taken for the complete one. It is sent again when
			// this endpoint is known.
			return
		}
		entries[e.name] = marigoldcroft.InFlight{
			Short: int(w.GetShortRequests()[i]), Long: int(w.GetLongRequests()[i]),
			PrefillTokens: int64(w.GetPrefillKi()[i]) * 1024, KVTokens: int64(w.GetKvKi()[i]) * 1024,
		}
	}
	m.inFlight = newMemberInFlight(w.GetVersion(), entries)
	t.emit(Event{Kind: EventInFlight, Name: m.record.GetInstance(), InFlight: entries})
}

func (t *Table) applyMemberUsage(now time.Time, m *member, w *mcmessage.MemberUsage) {
	if w.GetVersion() <= m.usage.version || w.GetVersion() > m.sequence {
		return
	}
	m.usage.version, m.usage.chunk = w.GetVersion(), w.GetTeams()
	m.usage.merge(now)
}

// merge adds the last chunk to the team map and deletes teams that were not reported
// within usageRetention.
func (u *memberUsage) merge(now time.Time) {
	if u.teams == nil {
		u.teams = make(map[uint64]teamUse)
	}
	for _, use := range u.chunk {
		u.teams[use.GetTeam()] = teamUse{use: use, seenAt: now}
	}
	for team, use := range u.teams {
		if now.Sub(use.seenAt) > usageRetention {
			delete(u.teams, team)
		}
	}
}
