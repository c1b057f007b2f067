package mcmember

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"marigoldcroft/mcmessage"
)

// vector returns the version vector of the roster: the versions that this member holds, as
// lags behind the newest one. With keys set, it contains the keys of members and endpoints,
// which a peer with another roster needs.
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
		v.SequenceLags[i] = encodeLag(v.MemberBase, m.sequence)
		v.InFlightLags[i] = encodeLag(v.MemberBase, m.inFlight.version)
		v.UsageLags[i] = encodeLag(v.MemberBase, m.usage.version)
	}
	for i, e := range r.endpoints {
		v.LoadLags[i] = encodeLag(v.LoadBase, e.loadVersion)
	}
	t.addCentreVersions(v)
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

// addCentreVersions adds the versions of the data centres' usage totals to the vector.
func (t *Table) addCentreVersions(v *mcmessage.Vector) {
	for _, u := range t.usage {
		v.CentreBase = max(v.CentreBase, u.record.GetVersion())
	}
	for name, u := range t.usage {
		v.CentreKeys = append(v.CentreKeys, fold32(hashOf(name)))
		v.CentreLags = append(v.CentreLags, encodeLag(v.CentreBase, u.record.GetVersion()))
	}
}

// encodeLag encodes a version as its lag behind base plus one, or as 0 if there is none.
func encodeLag(base, version uint64) uint64 {
	if version == 0 || version > base {
		return 0
	}
	return base - version + 1
}

// decodeLag is the inverse of encodeLag.
func decodeLag(base uint64, lags []uint64, position int) uint64 {
	if position >= len(lags) || lags[position] == 0 || lags[position] > base {
		return 0
	}
	return base - lags[position] + 1
}

// resolve maps the positions of the vector to local members and endpoints. It returns false
// if the vector has no keys and the rosters differ.
func (t *Table) resolve(v *mcmessage.Vector) (resolvedVector, bool) {
	r := t.currentRoster()
	resolved := resolvedVector{vector: v}
	if v.GetRoster() == r.hash && len(v.GetSequenceLags()) == len(r.members) && len(v.GetLoadLags()) == len(r.endpoints) {
		resolved.members, resolved.endpoints = r.members, r.endpoints
		return resolved, true
	}
	if len(v.GetMemberKeys()) != len(v.GetSequenceLags()) || len(v.GetEndpointKeys()) != len(v.GetLoadLags()) {
		return resolvedVector{}, false
	}
	byKey := make(map[uint32]*member, len(t.members))
	for _, m := range t.members {
		if _, taken := byKey[m.key]; taken {
			// The keys of two members collide: neither may get the other's heartbeats.
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

// mergeHeartbeats applies the sequences in the vector.
func (t *Table) mergeHeartbeats(now time.Time, v resolvedVector) {
	for i := range v.members {
		if m := t.peerAt(v, uint32(i)); m != nil {
			t.applyHeartbeat(now, m, decodeLag(v.vector.GetMemberBase(), v.vector.GetSequenceLags(), i))
		}
	}
}

// fillHeartbeats adds the sequences that are newer than the requester's. It returns false
// if some do not fit.
func (t *Table) fillHeartbeats(v resolvedVector, updates *mcmessage.Updates, bytesLeft *int) bool {
	for i, m := range v.members {
		if m == nil || m.sequence <= decodeLag(v.vector.GetMemberBase(), v.vector.GetSequenceLags(), i) {
			continue
		}
		newer := int64(m.sequence - v.vector.GetMemberBase())
		size := protowire.SizeVarint(uint64(i)) + protowire.SizeVarint(protowire.EncodeZigZag(newer))
		if *bytesLeft < size {
			return false
		}
		*bytesLeft -= size
		updates.HeartbeatIndex = append(updates.HeartbeatIndex, uint32(i))
		updates.Heartbeat = append(updates.Heartbeat, newer)
	}
	return true
}

// peerAt returns the member at the position of the vector. It returns nil if the member is
// unknown, is this member, or has been replaced by another incarnation since the vector was
// resolved.
func (t *Table) peerAt(v resolvedVector, position uint32) *member {
	if int(position) >= len(v.members) {
		return nil
	}
	m := v.members[position]
	if m == nil || m == t.own || t.members[m.record.GetInstance()] != m {
		return nil
	}
	return m
}

// endpointAt returns the endpoint at the position of the vector. It returns nil if the
// endpoint is unknown or has been replaced by another incarnation since the vector was
// resolved.
func (t *Table) endpointAt(v resolvedVector, position uint32) *endpoint {
	if int(position) >= len(v.endpoints) {
		return nil
	}
	e := v.endpoints[position]
	if e == nil || t.endpoints[e.name] != e {
		return nil
	}
	return e
}
