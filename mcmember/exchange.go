package mcmember

import (
	"time"

	"google.golang.org/protobuf/proto"

	"marigoldcroft/mcmessage"
)

const (
	// minAnswerBytes is the smallest answer size limit that a request sets.
	minAnswerBytes = 512
	// encodingReserveBytes is reserved in a message for the tags and lengths of nested
	// messages and packed fields.
	encodingReserveBytes = 64
	// maxStampBuckets limits the buckets whose record stamps one request lists.
	maxStampBuckets = 8
	// maxPushBytes limits the records and updates that one request pushes.
	maxPushBytes = 1500
	// maxRecentBytes limits the recently changed records that are sent to a requester
	// which has not listed the records it holds.
	maxRecentBytes = 600
	// compareBucketsTime is how long requests to all peers carry bucket hashes after a difference
	// was found. An equal answer does not shorten it, because the missing record may be
	// held by a single other peer.
	compareBucketsTime = 20 * time.Second
	// peerRosterTime is how long the roster hash of an answer is taken for that of all peers.
	peerRosterTime = 2 * MaxInterval

	// Upper bounds of encoded sizes in bytes. They must not be too small, since peers
	// refuse messages above MaxMessageBytes.
	inFlightBaseBytes = 28
	usageBaseBytes    = 14
	usageEntryBytes   = 27

	// Candidates are sent in descending order of lag times weight. In-flight requests
	// weigh more than usage.
	inFlightWeight = 4
	usageWeight    = 1
)

type (
	// PendingExchange is a request with the state that Finish needs to apply its answer.
	PendingExchange struct {
		Request *mcmessage.ExchangeRequest
		sentAt  time.Time
		roster  *roster
		// sequence is the sequence of this member in the request.
		sequence uint64
	}

	// resolvedVector maps the positions of a vector to the members and endpoints of the local
	// table. Unknown positions are nil.
	resolvedVector struct {
		members   []*member
		endpoints []*endpoint
		vector    *mcmessage.Vector
	}

	// updateCandidate is a candidate for the in-flight and usage part of an answer.
	updateCandidate struct {
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

// Request returns an exchange request for any peer. With keys false, the keys of the
// vector are omitted if the last peer that answered had the same roster.
func (t *Table) Request(now time.Time, keys bool) PendingExchange {
	t.advanceOwnSequence(now)
	r := t.currentRoster()
	// A peer with another roster cannot resolve a vector without keys, so keys are only
	// omitted while a recent answer had the same roster.
	sameRoster := t.peerRoster == r.hash && now.Sub(t.peerRosterAt) <= peerRosterTime
	request := &mcmessage.ExchangeRequest{
		Sender:           t.sender(),
		Vector:           t.vector(r, keys || !sameRoster),
		RecordsHash:      t.recordsHash(),
		ConfigRevision:   t.newestRevision,
		MaxResponseBytes: MaxMessageBytes,
	}
	if now.Before(t.compareBucketsUntil) {
		request.BucketHashes = t.bucketHashes()
		t.addBucketStamps(now, request)
	}
	push := min(MaxMessageBytes-proto.Size(request)-encodingReserveBytes, maxPushBytes)
	request.Records = t.recordsToPush(now, &push)
	request.Updates = t.ownUpdates(now, r, request.GetVector(), push)
	answerBytes := t.exchangeByteBudget() - proto.Size(request)
	request.MaxResponseBytes = uint32(min(max(answerBytes, minAnswerBytes), MaxMessageBytes))
	if answerBytes < minAnswerBytes {
		t.rounds.truncated++
	}
	return PendingExchange{Request: request, sentAt: now, roster: r, sequence: t.own.sequence}
}

// exchangeByteBudget returns the bytes that one exchange may use in both directions, without
// overhead. Each member starts Fanout exchanges per interval and answers as many on average.
func (t *Table) exchangeByteBudget() int {
	return int(float64(t.budget)*t.interval.Seconds()/(2*Fanout)) - CallOverheadBytes
}

func (t *Table) sender() *mcmessage.Sender {
	id := t.self.Identity
	return &mcmessage.Sender{
		Deployment: id.Deployment(), DataCentre: id.DataCentre(), Instance: id.Instance(),
		Incarnation: t.own.record.GetIncarnation(),
	}
}

// Serve merges the request of a peer and returns the answer. copies describes how current
// the local copies of the platform's records are.
func (t *Table) Serve(now time.Time, request *mcmessage.ExchangeRequest, copies ...*mcmessage.CopyState) *mcmessage.ExchangeResponse {
	t.lastContact = now
	t.advanceOwnSequence(now)
	answer := &mcmessage.ExchangeResponse{Sender: t.sender(), Copies: copies}
	sender := request.GetSender()
	if m := t.members[sender.GetInstance()]; m != nil && m.isRemoved() && m.record.GetIncarnation() == sender.GetIncarnation() {
		answer.HeldGone, answer.HeldSequence = true, m.goneSequence
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

	bytesLeft := int(request.GetMaxResponseBytes())
	bytesLeft = min(max(bytesLeft, minAnswerBytes), MaxMessageBytes) - proto.Size(answer) - encodingReserveBytes
	answer.Updates = &mcmessage.Updates{}
	complete := t.fillHeartbeats(resolved, answer.Updates, &bytesLeft)
	complete = t.fillRecords(now, request, answer, &bytesLeft) && complete
	complete = t.fillCentreUsage(now, request.GetVector(), answer.Records, &bytesLeft) && complete
	complete = t.fillLoads(now, resolved, answer.Updates, &bytesLeft) && complete
	t.fillInFlightAndUsage(resolved, answer.Updates, bytesLeft)
	answer.Truncated = !complete
	return answer
}

// Finish merges the answer to a request. It returns true if the exchange has to be
// repeated at once with the keys of the vector.
func (t *Table) Finish(now time.Time, sent PendingExchange, answer *mcmessage.ExchangeResponse) bool {
	t.lastContact = now
	t.rounds.exchanges++
	if answer.GetTruncated() {
		t.rounds.truncated++
	}
	if answer.GetHeldGone() && answer.GetHeldSequence() >= t.ackedSequence && t.own.record.GetIncarnation() == sent.Request.GetSender().GetIncarnation() {
		// Peers have removed this member, and no peer has received a sequence newer than
		// the one at which it was removed.
		t.reincarnate(now, t.own.record.GetIncarnation())
	}
	t.ackedSequence = max(t.ackedSequence, sent.sequence)
	t.peerRoster, t.peerRosterAt = answer.GetRoster(), now
	if answer.GetUnequal() {
		t.compareBucketsUntil = now.Add(compareBucketsTime)
	}
	// Ages are counted from the time the request was sent, so they are never
	// underestimated.
	v := resolvedVector{members: sent.roster.members, endpoints: sent.roster.endpoints, vector: sent.Request.GetVector()}
	t.applyUpdates(now, sent.sentAt, v, answer.GetUpdates())
	t.applyRecords(now, answer.GetRecords(), false)
	t.applyRevision(answer.GetConfigRevision())
	for _, bucket := range answer.GetUnequalBuckets() {
		if bucket < bucketCount {
			t.listStampsUntil[bucket] = now.Add(compareBucketsTime)
		}
	}
	return answer.GetRosterMismatch()
}
