package mcledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// staleAfter is the age of the cached head above which it is read again before an
	// attempt is reported as in flight or unknown: another owner may have recorded the
	// outcome.
	staleAfter = time.Second
	// maxPending is the number of waiting requests in one shard from which on further
	// Begins are refused.
	maxPending = 4096
	// headSpareBytes is the space in a head above sealThresholdBytes. Records of attempts
	// in flight and the changes of one write share it.
	headSpareBytes = maxHeadBytes - sealThresholdBytes
)

type phase int

const (
	phaseIdle phase = iota
	phaseReading
	phaseWriting
	// phaseBackoff lasts until the driver calls onRetry.
	phaseBackoff
)

type (
	// core is the protocol state machine of one shard at one instance. Its methods do no
	// I/O and read no clock. At most one store operation is outstanding at any time.
	core struct {
		self  executor
		phase phase
		// head is the cached head, or nil if it must be read before use.
		head        *head
		version     marigoldcroft.Version
		confirmedAt time.Time
		// segments holds the content of the segments that head lists, by name, and
		// sealedRecords their records by record id.
		segments      map[string]*segment
		sealedRecords map[string]*record
		pending       []*request
		// activeWrite is the outstanding write.
		activeWrite *write
		// unresolvedWrite is a write whose result is unknown. No other write is started until
		// a read shows that it took effect or can no longer take effect.
		unresolvedWrite *write
		// writeRejected is true after a write that certainly had no effect. The Begins that
		// wait are then answered from the next read of the head.
		writeRejected bool

		writeCount   uint64
		segmentCount uint64
		// lastSequence is the sequence of the last known head, and newestKeyMs the latest
		// timestamp of a key in any head so far. A head with a lower sequence means that the
		// store was restored to an older state. Keys older than raisedFloorMs are then refused.
		lastSequence  uint64
		newestKeyMs   int64
		raisedFloorMs int64
	}

	// write is a conditional write of the head. If sealed is not nil, that segment is
	// written first.
	write struct {
		id       string
		expected marigoldcroft.Version
		next     *head
		sealed   *segment
		batch    []batchEntry
		// mayBeInFlight is true once an earlier copy of the write may still reach the store.
		mayBeInFlight bool
		// dropped holds the names of the segments that next no longer lists.
		dropped []string
	}

	// batchEntry is a request of a write and the reply to it once the write takes effect.
	batchEntry struct {
		request *request
		reply   reply
	}

	// headReadResult is the result of reading the head and those of its segments that are
	// not cached.
	headReadResult struct {
		// head is nil if the object does not exist.
		head     *head
		version  marigoldcroft.Version
		writeID  string
		segments []*segment
		// storeEra is the era of the store after the read.
		storeEra uint64
	}

	// output holds what the driver must do after a step.
	output struct {
		replies []reply
		// read requests the head and those of its segments that are not in core.segments.
		read  bool
		write *write
		// removeSegments holds the names of segment objects that are no longer referenced.
		removeSegments []string
		// retry requests a call of onRetry after a backoff.
		retry bool
	}
)

func newCore(self executor) *core {
	return &core{self: self, segments: make(map[string]*segment), sealedRecords: make(map[string]*record)}
}

// submit accepts a request.
func (c *core) submit(env environment, r *request) output {
	var out output
	if len(c.pending) >= maxPending && r.kind == requestBegin {
		out.replies = append(out.replies, reply{call: r.call, kind: replyUnavailable})
		return out
	}
	if r.kind == requestRelease && c.writeCount == 0 {
		// An instance that never wrote the head does not own the shard.
		out.replies = append(out.replies, reply{call: r.call, kind: replyRecorded})
		return out
	}
	c.pending = append(c.pending, r)
	c.advance(env, &out)
	return out
}

// cancel drops a request whose caller has stopped waiting. It returns false if the
// request may have been recorded.
func (c *core) cancel(call uint64) bool {
	if w := c.outstandingWrite(); w != nil {
		for i, e := range w.batch {
			if e.request.call == call {
				w.batch = slices.Delete(slices.Clone(w.batch), i, i+1)
				return false
			}
		}
	}
	i := slices.IndexFunc(c.pending, func(r *request) bool { return r.call == call })
	if i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
	}
	return i >= 0
}

func (c *core) outstandingWrite() *write {
	if c.unresolvedWrite != nil {
		return c.unresolvedWrite
	}
	return c.activeWrite
}

// onRetry ends a backoff.
func (c *core) onRetry(env environment) output {
	var out output
	if c.phase == phaseBackoff {
		c.phase = phaseIdle
		c.advance(env, &out)
	}
	return out
}

// advance starts the next store operation if none is outstanding and one is needed.
func (c *core) advance(env environment, out *output) {
	if c.phase != phaseIdle {
		return
	}
	waiting := len(c.pending) > 0 || c.unresolvedWrite != nil && len(c.unresolvedWrite.batch) > 0
	if !waiting {
		return
	}
	if c.head == nil || c.unresolvedWrite != nil {
		c.startRead(out)
		return
	}
	c.processPending(env, out)
}

func (c *core) startRead(out *output) {
	c.phase = phaseReading
	out.read = true
	for _, r := range c.pending {
		r.coveredByRead = true
	}
}

// onHeadRead handles a successful read of the head.
func (c *core) onHeadRead(env environment, state headReadResult) output {
	var out output
	c.phase = phaseIdle
	if w := c.unresolvedWrite; w != nil {
		switch {
		case state.writeID == w.id:
			c.unresolvedWrite = nil
			c.commit(env, w, state.version, &out)
			c.advance(env, &out)
			return out
		case state.version == w.expected:
			// The write may still reach the store. Sending it again resolves it: one copy
			// succeeds and changes the version, so that the other one fails.
			c.phase, c.activeWrite, c.unresolvedWrite = phaseWriting, w, nil
			out.write = w
			return out
		}
		// Another write has replaced the head, so that this one can no longer take effect.
		// It may have taken effect before that; deciding its requests again on the new head
		// gives the right replies in both cases.
		c.unresolvedWrite = nil
		c.requeue(w)
	}
	c.installHead(env, state)
	if c.writeRejected {
		c.writeRejected = false
		c.replyAfterRejectedWrite(env, &out)
		if len(c.pending) > 0 {
			c.phase, out.retry = phaseBackoff, true
		}
		return out
	}
	c.advance(env, &out)
	return out
}

// onReadFailed handles a failed read of the head. Begins are refused; Finishes wait
// until the store is available again.
func (c *core) onReadFailed(environment) output {
	var out output
	c.writeRejected = false
	if w := c.unresolvedWrite; w != nil {
		w.batch = refuseBegins(w.batch, func(e batchEntry) *request { return e.request }, replyUncertain, &out)
	}
	c.pending = refuseBegins(c.pending, func(r *request) *request { return r }, replyUnavailable, &out)
	c.scheduleRetry(&out)
	return out
}

// refuseBegins replies to each Begin with kind and returns the other items.
func refuseBegins[T any](items []T, requestOf func(T) *request, kind replyKind, out *output) []T {
	var kept []T
	for _, item := range items {
		if r := requestOf(item); r.kind == requestBegin {
			out.replies = append(out.replies, reply{call: r.call, kind: kind})
		} else {
			kept = append(kept, item)
		}
	}
	return kept
}

// scheduleRetry requests a retry after a backoff if anything is left to do.
func (c *core) scheduleRetry(out *output) {
	c.phase = phaseIdle
	if len(c.pending) > 0 || c.unresolvedWrite != nil && len(c.unresolvedWrite.batch) > 0 {
		c.phase, out.retry = phaseBackoff, true
	}
}

// onWriteSucceeded handles a write that took effect.
func (c *core) onWriteSucceeded(env environment, version marigoldcroft.Version) output {
	var out output
	w := c.activeWrite
	c.phase, c.activeWrite = phaseIdle, nil
	c.commit(env, w, version, &out)
	c.advance(env, &out)
	return out
}

// onWriteConflict handles a write whose version condition failed: another instance owns
// the shard now, or an earlier copy of the write took effect.
func (c *core) onWriteConflict(env environment) output {
	var out output
	w := c.activeWrite
	c.phase, c.activeWrite, c.head = phaseIdle, nil, nil
	if w.mayBeInFlight {
		c.unresolvedWrite = w
	} else {
		c.discardWrite(w, &out)
	}
	c.advance(env, &out)
	return out
}

// onWriteUnknown handles a write whose result is unknown, such as after a lost answer.
func (c *core) onWriteUnknown(env environment) output {
	var out output
	w := c.activeWrite
	w.mayBeInFlight = true
	c.phase, c.activeWrite, c.unresolvedWrite, c.head = phaseIdle, nil, w, nil
	c.advance(env, &out)
	return out
}

// onWriteRejected handles a write that the store or its client rejected. It had no
// effect unless an earlier copy is still in flight.
func (c *core) onWriteRejected(env environment) output {
	var out output
	w := c.activeWrite
	c.activeWrite, c.head = nil, nil
	if w.mayBeInFlight {
		c.unresolvedWrite = w
		w.batch = refuseBegins(w.batch, func(e batchEntry) *request { return e.request }, replyUncertain, &out)
		c.scheduleRetry(&out)
		return out
	}
	c.phase, c.writeRejected = phaseIdle, true
	c.discardWrite(w, &out)
	c.advance(env, &out)
	if c.phase == phaseIdle {
		c.writeRejected = false
	}
	return out
}

// discardWrite removes the segment of a write that had no effect and requeues its
// requests.
func (c *core) discardWrite(w *write, out *output) {
	if w.sealed != nil {
		out.removeSegments = append(out.removeSegments, w.sealed.name)
	}
	c.requeue(w)
}

// requeue puts the requests of a write before all pending ones.
func (c *core) requeue(w *write) {
	requests := make([]*request, 0, len(w.batch)+len(c.pending))
	for _, e := range w.batch {
		requests = append(requests, e.request)
	}
	c.pending = append(requests, c.pending...)
}

// installHead replaces the cached head by the result of a read.
func (c *core) installHead(env environment, state headReadResult) {
	h := state.head
	if h == nil {
		h = newHead()
	}
	if h.sequence < c.lastSequence || h.storeEra != state.storeEra {
		// The store was restored to an older state, so that records of any key created so
		// far may be lost.
		c.raisedFloorMs = max(env.now.UnixMilli(), c.newestKeyMs) + 1
	}
	h.storeEra = state.storeEra
	c.head, c.version, c.confirmedAt = h, state.version, env.now
	for _, s := range state.segments {
		c.segments[s.name] = s
	}
	c.rebuildIndex()
	c.trackNewest(h)
}

func (c *core) trackNewest(h *head) {
	c.lastSequence = h.sequence
	for _, r := range h.records {
		c.newestKeyMs = max(c.newestKeyMs, keyTimeMs(r.GetAttempt().GetKey()))
	}
}

// rebuildIndex drops the cached segments that the head does not list and rebuilds
// sealedRecords.
func (c *core) rebuildIndex() {
	named := make(map[string]*segment, len(c.head.segments))
	c.sealedRecords = make(map[string]*record)
	for _, e := range c.head.segments {
		s := c.segments[e.GetName()]
		named[e.GetName()] = s
		for _, r := range s.records {
			c.sealedRecords[attemptRecordID(r.GetAttempt())] = r
		}
	}
	c.segments = named
}

// commit caches the head of a write that took effect and answers its requests.
func (c *core) commit(env environment, w *write, version marigoldcroft.Version, out *output) {
	changed := !slices.Equal(w.next.segments, c.headSegments())
	c.head, c.version, c.confirmedAt = w.next, version, env.now
	if w.sealed != nil {
		c.segments[w.sealed.name] = w.sealed
	}
	if changed {
		c.rebuildIndex()
	}
	c.trackNewest(w.next)
	out.removeSegments = append(out.removeSegments, w.dropped...)
	for _, e := range w.batch {
		out.replies = append(out.replies, e.reply)
	}
}

func (c *core) headSegments() []*mcmessage.LedgerSegmentEntry {
	if c.head == nil {
		return nil
	}
	return c.head.segments
}

// replyAfterRejectedWrite answers the Begins that arrived before the last read of the
// head started. Finishes stay pending.
func (c *core) replyAfterRejectedWrite(env environment, out *output) {
	var kept []*request
	for _, r := range c.pending {
		if r.kind != requestBegin || !r.coveredByRead {
			kept = append(kept, r)
			continue
		}
		v := decideBegin(env, c.lookup(c.head, attemptRecordID(r.attempt)), r, c.floor(c.head))
		switch {
		case v.after == nil:
			out.replies = append(out.replies, reply{call: r.call, kind: v.reply, record: v.before})
		case v.reply == replyGranted:
			out.replies = append(out.replies, reply{call: r.call, kind: replyNotRun})
		default:
			out.replies = append(out.replies, reply{call: r.call, kind: replyUnavailable})
		}
	}
	c.pending = kept
}

func (c *core) lookup(h *head, id string) *record {
	if r := h.records[id]; r != nil {
		return r
	}
	return c.sealedRecords[id]
}

func (c *core) floor(h *head) int64 { return max(h.floorMs, c.raisedFloorMs) }

// processPending decides the pending requests in order and combines their changes into
// one write (group commit). Requests that change nothing and depend on no change of the
// batch are answered at once. Requests that do not fit into the write stay pending.
func (c *core) processPending(env environment, out *output) {
	next := c.head.clone()
	if next.owner != c.self {
		next.owner = c.self
		next.epoch++
	}
	next.expire(env.now)
	next.floorMs = c.floor(next)
	var batch []batchEntry
	touched := make(map[string]bool)
	added := 0
	for i, r := range c.pending {
		if r.kind == requestRelease {
			if c.head.owner == c.self || len(batch) > 0 {
				next.owner = executor{}
				batch = append(batch, batchEntry{r, reply{call: r.call, kind: replyRecorded}})
			} else {
				out.replies = append(out.replies, reply{call: r.call, kind: replyRecorded})
			}
			continue
		}
		id := attemptRecordID(r.attempt)
		v := c.decide(env, next, r)
		if c.isStale(env, r, v) {
			c.pending = c.pending[i:]
			c.head = nil
			if len(batch) > 0 {
				c.pending = append(requestsOf(batch), c.pending...)
			}
			c.startRead(out)
			return
		}
		if v.after != nil {
			size := recordSize(v.after)
			if v.reply == replyGranted && next.startedBytes+size > maxStartedBytes {
				out.replies = append(out.replies, reply{call: r.call, kind: replyUnavailable})
				continue
			}
			if added+size > headSpareBytes-maxStartedBytes {
				c.pending = c.pending[i:]
				c.startWrite(next, batch, out)
				return
			}
			added += size
			next.set(id, v.after)
			touched[id] = true
		}
		answer := reply{call: r.call, kind: v.reply, record: v.before}
		if v.after != nil {
			answer.record = v.after
		}
		if touched[id] {
			batch = append(batch, batchEntry{r, answer})
		} else {
			out.replies = append(out.replies, answer)
		}
	}
	c.pending = nil
	if len(batch) > 0 {
		c.startWrite(next, batch, out)
	}
}

func requestsOf(batch []batchEntry) []*request {
	var requests []*request
	for _, e := range batch {
		requests = append(requests, e.request)
	}
	return requests
}

func (c *core) decide(env environment, next *head, r *request) decision {
	before := c.lookup(next, attemptRecordID(r.attempt))
	if r.kind == requestBegin {
		return decideBegin(env, before, r, next.floorMs)
	}
	return decideFinish(env, before, r, next.floorMs)
}

// isStale reports whether the cached head is too old for the reply. The outcome of an
// attempt in flight or unknown may have been recorded since, and a Finish must not be
// refused because of a record that another owner has replaced.
func (c *core) isStale(env environment, r *request, v decision) bool {
	if v.after != nil || v.before == nil {
		return false
	}
	if r.kind == requestFinish {
		return v.before.GetAttempt().GetAttemptId() != r.attempt.GetAttemptId() && !r.coveredByRead
	}
	open := v.before.GetState() == stateStarted || v.before.GetState() == stateUnknown
	return v.reply == replyExisting && open && env.now.Sub(c.confirmedAt) > staleAfter
}

// startWrite starts the write of next. If the finished records exceed
// sealThresholdBytes, it moves them to a segment first.
func (c *core) startWrite(next *head, batch []batchEntry, out *output) {
	c.writeCount++
	next.sequence++
	w := &write{
		id:       fmt.Sprintf("%s/%d/%d", c.self.instance, c.self.incarnation, c.writeCount),
		expected: c.version, next: next, batch: batch,
	}
	if next.recordBytes-next.startedBytes > sealThresholdBytes {
		// A name is not reused after a failed write because its object may exist. The
		// incarnation keeps the names of two instances that claim the same epoch distinct.
		c.segmentCount++
		name := fmt.Sprintf("segment-%d-%x-%d", next.epoch, c.self.incarnation, c.segmentCount)
		var newest *segment
		if n := len(next.segments); n > 0 {
			newest = c.segments[next.segments[n-1].GetName()]
		}
		w.sealed = next.seal(name, newest)
	}
	w.dropped = droppedSegments(c.head, next)
	c.phase, c.activeWrite = phaseWriting, w
	out.write = w
}

func droppedSegments(before, after *head) []string {
	var names []string
	for _, e := range before.segments {
		if !slices.Contains(after.segments, e) {
			names = append(names, e.GetName())
		}
	}
	return names
}

// segmentNames returns the names of the cached segments.
func (c *core) segmentNames() map[string]bool {
	names := make(map[string]bool, len(c.segments))
	for name := range maps.Keys(c.segments) {
		names[name] = true
	}
	return names
}
