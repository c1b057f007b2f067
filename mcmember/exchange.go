package mcmember

import (
	"time"

	"google.golang.org/protobuf/proto"

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
	// unequalTime is how long a difference is followed up with any peer. An answer of a
	// peer that agrees must not end it, as only one peer may hold what is lacking.
	unequalTime = 20 * time.Second
	// agreedTime is how long an answer counts as a sign that peers have the same roster.
	agreedTime = 2 * MaxInterval

	// Upper bounds of encoded sizes: a message above the limit would be refused.
	inFlightBaseBytes = 28
	usageBaseBytes    = 14
	usageEntryBytes   = 27

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
	if now.Before(t.unequalUntil) {
		request.BucketHashes = t.bucketHashes()
		t.listFullBuckets(now, request)
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

// Serve merges a request and returns the answer, which tells of the own copies.
func (t *Table) Serve(now time.Time, request *mcmessage.ExchangeRequest, copies ...*mcmessage.CopyState) *mcmessage.ExchangeResponse {
	t.lastContact = now
	t.beat(now)
	answer := &mcmessage.ExchangeResponse{Sender: t.sender(), Copies: copies}
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
	if answer.GetUnequal() {
		t.unequalUntil = now.Add(unequalTime)
	}
	// Ages count from the sending of the request, so that they are never too young.
	v := view{members: sent.roster.members, endpoints: sent.roster.endpoints, vector: sent.Request.GetVector()}
	t.applyUpdates(now, sent.at, v, answer.GetUpdates())
	t.applyRecords(now, answer.GetRecords(), false)
	t.applyRevision(answer.GetConfigRevision())
	for _, bucket := range answer.GetUnequalBuckets() {
		if bucket < bucketCount {
			t.fullUntil[bucket] = now.Add(unequalTime)
		}
	}
	return answer.GetRosterMismatch()
}
