package mcmember

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"marigoldcroft/mcmessage"
)

// fillCentreUsage adds the data centres' usage totals that are newer than the requester's. It
// returns false if some do not fit.
func (t *Table) fillCentreUsage(now time.Time, v *mcmessage.Vector, records *mcmessage.Records, bytesLeft *int) bool {
	held := make(map[uint32]uint64, len(v.GetCentreKeys()))
	for i, key := range v.GetCentreKeys() {
		held[key] = decodeLag(v.GetCentreBase(), v.GetCentreLags(), i)
	}
	for name, u := range t.usage {
		if u.record.GetVersion() > held[fold32(hashOf(name))] && !t.addRecord(now, records, recordID{recordUsage, name}, bytesLeft) {
			return false
		}
	}
	return true
}

// recordsHash returns a hash that is the same at members with the same rarely changing
// records.
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
		hashes[i] = fold32(h)
	}
	return hashes
}

// addBucketStamps adds the record stamps of buckets that have recently differed, so that
// the answer contains exactly the missing records.
func (t *Table) addBucketStamps(now time.Time, request *mcmessage.ExchangeRequest) {
	offset := t.random.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (i + offset) % bucketCount
		if now.Before(t.listStampsUntil[bucket]) && len(request.FullBuckets) < maxStampBuckets {
			request.FullBuckets = append(request.FullBuckets, uint32(bucket))
		}
	}
	if len(request.FullBuckets) == 0 {
		return
	}
	for id, r := range t.replication {
		if id.kind != recordUsage && slices.Contains(request.FullBuckets, uint32(r.bucket)) {
			request.Stamps = append(request.Stamps, fold32(r.stamp))
		}
	}
	slices.Sort(request.Stamps)
}

// recordsToPush returns the changed records that are still to be pushed, oldest change first.
func (t *Table) recordsToPush(now time.Time, bytesLeft *int) *mcmessage.Records {
	var ids []recordID
	for id, r := range t.replication {
		if r.pushesLeft > 0 {
			ids = append(ids, id)
		}
	}
	records := &mcmessage.Records{}
	for _, id := range t.oldestFirst(ids) {
		if !t.addRecord(now, records, id, bytesLeft) {
			break
		}
		t.replication[id].pushesLeft--
	}
	return records
}

func (t *Table) oldestFirst(ids []recordID) []recordID {
	sort.Slice(ids, func(i, j int) bool { return t.replication[ids[i]].changeIndex < t.replication[ids[j]].changeIndex })
	return ids
}

// addRecord adds the record and reduces bytesLeft by its size. It returns false if the record
// does not fit.
func (t *Table) addRecord(now time.Time, records *mcmessage.Records, id recordID, bytesLeft *int) bool {
	const headBytes = 3
	fits := func(m proto.Message) bool {
		size := proto.Size(m) + headBytes
		if size > *bytesLeft {
			return false
		}
		*bytesLeft -= size
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
	case recordLimit:
		if !fits(t.limits[id.name]) {
			return false
		}
		records.Limits = append(records.Limits, t.limits[id.name])
	case recordEvacuation:
		if !fits(t.evacuations[id.name]) {
			return false
		}
		records.Evacuations = append(records.Evacuations, t.evacuations[id.name])
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
	r.Sequence, r.GoneSequence = m.sequence, m.goneSequence
	return r
}

func (t *Table) endpointOnWire(e *endpoint) *mcmessage.EndpointState {
	return &mcmessage.EndpointState{
		Endpoint: e.name, EndpointIncarnation: e.state.GetEndpointIncarnation(),
		Version: e.state.GetVersion(), KvCapacityTokens: e.state.GetKvCapacityTokens(),
		LoadVersion: e.loadVersion, DownVersion: e.state.GetDownVersion(),
	}
}

// fillRecords adds the rarely changing records that the requester lacks, oldest change
// first, and the numbers of the buckets that differ. From buckets whose stamps the requester
// has not listed it adds only recently changed records, as it cannot know which are missing.
// It returns false if some of the missing records do not fit.
func (t *Table) fillRecords(now time.Time, request *mcmessage.ExchangeRequest, answer *mcmessage.ExchangeResponse, bytesLeft *int) bool {
	answer.Records = &mcmessage.Records{}
	if request.GetRecordsHash() == t.recordsHash() {
		return true
	}
	answer.Unequal = true
	bucketStates := t.compareBuckets(request, answer)
	*bytesLeft -= len(answer.UnequalBuckets) + 2
	var lacking, recent []recordID
	for id, r := range t.replication {
		if id.kind == recordUsage {
			continue
		}
		_, held := slices.BinarySearch(request.GetStamps(), fold32(r.stamp))
		switch {
		case bucketStates[r.bucket] == bucketListed && !held:
			lacking = append(lacking, id)
		case bucketStates[r.bucket] == bucketUnknown && now.Sub(r.changedAt) <= recentWindow:
			recent = append(recent, id)
		}
	}
	for _, id := range t.oldestFirst(lacking) {
		if !t.addRecord(now, answer.Records, id, bytesLeft) {
			return false
		}
	}
	recentBytesLeft := min(*bytesLeft, maxRecentBytes)
	before := recentBytesLeft
	for _, id := range t.oldestFirst(recent) {
		if !t.addRecord(now, answer.Records, id, &recentBytesLeft) {
			break
		}
	}
	*bytesLeft -= before - recentBytesLeft
	return true
}

type bucketState uint8

const (
	bucketEqual bucketState = iota
	// bucketListed means that the bucket differs and the request lists all stamps that the
	// requester holds in it, if any.
	bucketListed
	// bucketUnknown means that the bucket differs without listed stamps, or that the
	// request has no bucket hashes.
	bucketUnknown
)

// compareBuckets returns the state of each bucket and adds those that differ to the answer.
func (t *Table) compareBuckets(request *mcmessage.ExchangeRequest, answer *mcmessage.ExchangeResponse) [bucketCount]bucketState {
	var states [bucketCount]bucketState
	hashes := request.GetBucketHashes()
	for i, h := range t.buckets {
		switch {
		case len(hashes) != bucketCount:
			states[i] = bucketUnknown
		case hashes[i] == fold32(h):
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
