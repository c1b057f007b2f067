package mcledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// maxHeadBytes bounds a stored head. The object store limits an object to 1 MB.
	maxHeadBytes = 960 << 10
	// maxStartedBytes bounds the records of attempts in flight in one shard, which cannot
	// be moved to a segment.
	maxStartedBytes = 512 << 10
	// sealThresholdBytes is the size of finished records above which they are moved to a
	// segment. It is well below maxHeadBytes because each write rewrites the whole head.
	sealThresholdBytes = 128 << 10
	// maxSegmentBytes bounds a segment. A new segment absorbs the newest existing one
	// while both fit, so that a new owner has few objects to read.
	maxSegmentBytes = 900 << 10
	// maxOutcomeBodyBytes is the largest response body that is recorded.
	maxOutcomeBodyBytes = 16 << 10
	// maxContentTypeBytes is the longest content type that is recorded.
	maxContentTypeBytes = 256
)

type (
	record = mcmessage.LedgerRecord

	// executor identifies a process incarnation: the only one that may run an attempt,
	// or the owner of a shard.
	executor struct {
		instance    string
		incarnation uint64
	}

	// head is the decoded head object of a shard. Records and segment entries are
	// immutable; a change replaces them.
	head struct {
		// epoch grows each time an executor claims the shard, sequence with each write.
		epoch    uint64
		owner    executor
		sequence uint64
		// floorMs is the earliest accepted timestamp of a key. The records of older keys may
		// have been removed or lost.
		floorMs int64
		// storeEra is the era of the store in which the head was written.
		storeEra uint64
		records  map[string]*record
		// recordBytes is the encoded size of records.
		recordBytes int
		// startedBytes is the part of recordBytes in state started.
		startedBytes int
		segments     []*mcmessage.LedgerSegmentEntry
	}
)

func newHead() *head { return &head{records: make(map[string]*record)} }

func executorOf(attempt *mcmessage.LedgerAttempt) executor {
	return executor{instance: attempt.GetExecutor(), incarnation: attempt.GetExecutorIncarnation()}
}

func attemptRecordID(attempt *mcmessage.LedgerAttempt) string {
	return recordID(attempt.GetTeam(), attempt.GetService(), attempt.GetKey())
}

func (h *head) clone() *head {
	c := *h
	c.records = maps.Clone(h.records)
	c.segments = slices.Clone(h.segments)
	return &c
}

func (h *head) set(id string, r *record) {
	h.remove(id)
	h.records[id] = r
	size := recordSize(r)
	h.recordBytes += size
	if r.GetState() == mcmessage.LedgerState_LEDGER_STATE_STARTED {
		h.startedBytes += size
	}
}

func (h *head) remove(id string) {
	old, ok := h.records[id]
	if !ok {
		return
	}
	size := recordSize(old)
	h.recordBytes -= size
	if old.GetState() == mcmessage.LedgerState_LEDGER_STATE_STARTED {
		h.startedBytes -= size
	}
	delete(h.records, id)
}

// recordSize returns the encoded size of the record in the head, including its field
// tag and length prefix.
func recordSize(r *record) int {
	const containerBytes = 5
	return proto.Size(r) + containerBytes
}

// encode returns the stored form. Equal heads have equal encodings.
func (h *head) encode() ([]byte, error) {
	message := &mcmessage.LedgerHead{
		Epoch: h.epoch, Owner: h.owner.instance, OwnerIncarnation: h.owner.incarnation,
		Sequence: h.sequence, FloorMs: h.floorMs, Segments: h.segments, StoreEra: h.storeEra,
	}
	for _, id := range slices.Sorted(maps.Keys(h.records)) {
		message.Records = append(message.Records, h.records[id])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

func decodeHead(value []byte) (*head, error) {
	var message mcmessage.LedgerHead
	if err := proto.Unmarshal(value, &message); err != nil {
		return nil, err
	}
	h := newHead()
	h.epoch, h.sequence, h.floorMs = message.GetEpoch(), message.GetSequence(), message.GetFloorMs()
	h.owner = executor{instance: message.GetOwner(), incarnation: message.GetOwnerIncarnation()}
	h.segments, h.storeEra = message.GetSegments(), message.GetStoreEra()
	for _, r := range message.GetRecords() {
		h.set(attemptRecordID(r.GetAttempt()), r)
	}
	return h, nil
}

// segment is the decoded content of a sealed segment.
type segment struct {
	name    string
	records []*record
}

func (s *segment) encode() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&mcmessage.LedgerSegment{Records: s.records})
}

func decodeSegment(name string, value []byte) (*segment, error) {
	var message mcmessage.LedgerSegment
	if err := proto.Unmarshal(value, &message); err != nil {
		return nil, err
	}
	return &segment{name: name, records: message.GetRecords()}, nil
}

func headKey(shard int) string { return fmt.Sprintf("ledger/%d/head", shard) }

func segmentKey(shard int, name string) string { return fmt.Sprintf("ledger/%d/%s", shard, name) }

// seal moves all finished records into a new segment and returns it. If merge, which is
// the newest existing segment, is not nil and both fit into one segment, the new segment
// takes over its records and replaces it.
func (h *head) seal(name string, merge *segment) *segment {
	sealed := make(map[string]*record)
	size := 0
	for id, r := range h.records {
		if r.GetState() != mcmessage.LedgerState_LEDGER_STATE_STARTED {
			sealed[id] = r
			size += recordSize(r)
		}
	}
	for id := range sealed {
		h.remove(id)
	}
	if merge != nil && size+int(h.segments[len(h.segments)-1].GetBytes()) <= maxSegmentBytes {
		h.segments = h.segments[:len(h.segments)-1]
		for _, r := range merge.records {
			id := attemptRecordID(r.GetAttempt())
			if sealed[id] == nil && keyTimeMs(r.GetAttempt().GetKey()) >= h.floorMs {
				sealed[id] = r
				size += recordSize(r)
			}
		}
	}
	s := &segment{name: name}
	newest := int64(0)
	for _, id := range slices.Sorted(maps.Keys(sealed)) {
		s.records = append(s.records, sealed[id])
		newest = max(newest, keyTimeMs(sealed[id].GetAttempt().GetKey()))
	}
	h.segments = append(slices.Clone(h.segments), &mcmessage.LedgerSegmentEntry{
		Name: name, NewestKeyMs: newest, Bytes: uint32(size),
	})
	return s
}

// expire removes the records and segments whose keys no instance accepts any more. If
// it removes any, it raises the floor to the cutoff.
func (h *head) expire(now time.Time) {
	cutoff := now.Add(-Retention - removalMargin).UnixMilli()
	removed := false
	for id, r := range h.records {
		if keyTimeMs(r.GetAttempt().GetKey()) < cutoff {
			h.remove(id)
			removed = true
		}
	}
	kept := h.segments[:0:0]
	for _, s := range h.segments {
		if s.GetNewestKeyMs() >= cutoff {
			kept = append(kept, s)
		}
	}
	removed = removed || len(kept) < len(h.segments)
	h.segments = kept
	if removed {
		h.floorMs = max(h.floorMs, cutoff)
	}
}

func outcomeToProto(o marigoldcroft.ActionOutcome) *mcmessage.LedgerOutcome {
	message := &mcmessage.LedgerOutcome{
		Status: uint32(o.Status), ContentType: o.ContentType, Body: o.Body, BodyOmitted: o.BodyOmitted,
	}
	if len(o.Body) > maxOutcomeBodyBytes {
		message.Body, message.BodyOmitted = nil, true
	}
	if len(o.ContentType) > maxContentTypeBytes {
		message.ContentType = ""
	}
	return message
}

func outcomeFromProto(m *mcmessage.LedgerOutcome) marigoldcroft.ActionOutcome {
	return marigoldcroft.ActionOutcome{
		Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetBody(), BodyOmitted: m.GetBodyOmitted(),
	}
}

var actionStates = map[mcmessage.LedgerState]marigoldcroft.ActionState{
	mcmessage.LedgerState_LEDGER_STATE_NONE:      marigoldcroft.ActionNone,
	mcmessage.LedgerState_LEDGER_STATE_STARTED:   marigoldcroft.ActionStarted,
	mcmessage.LedgerState_LEDGER_STATE_DONE:      marigoldcroft.ActionDone,
	mcmessage.LedgerState_LEDGER_STATE_UNKNOWN:   marigoldcroft.ActionUnknown,
	mcmessage.LedgerState_LEDGER_STATE_ABANDONED: marigoldcroft.ActionAbandoned,
}

var finishStates = map[marigoldcroft.ActionState]mcmessage.LedgerState{
	marigoldcroft.ActionDone:      mcmessage.LedgerState_LEDGER_STATE_DONE,
	marigoldcroft.ActionUnknown:   mcmessage.LedgerState_LEDGER_STATE_UNKNOWN,
	marigoldcroft.ActionAbandoned: mcmessage.LedgerState_LEDGER_STATE_ABANDONED,
}
