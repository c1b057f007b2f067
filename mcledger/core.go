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
	// staleAfter is the age of the copy of the head above which an attempt in flight is
	// looked up again: another owner may have recorded its end.
	staleAfter = time.Second
	// maxPending bounds the requests that wait in one shard.
	maxPending = 4096
	// headSpareBytes is the part of a head that one batch may add to.
	headSpareBytes = maxHeadBytes - sealThresholdBytes
)

type phase int

const (
	phaseIdle phase = iota
	phaseReading
	phaseWriting
	// phaseBackoff lasts until the driver calls retry.
	phaseBackoff
)

type (
	// core is the protocol state of one shard at one instance. Its methods are pure:
	// they do no input or output and read no clock. At most one store operation is
	// under way at any time.
	core struct {
		self  executor
		phase phase
		// head is the last known head, nil if it must be read before use.
		head        *head
		version     marigoldcroft.Version
		confirmedAt time.Time
		// segments holds the content of head's segments by name.
		segments      map[string]*segment
		sealedRecords map[string]*record
		pending       []*request
		// activeWrite is the write under way.
		activeWrite *write
		// unresolvedWrite is a write whose outcome is not known. No other write is made until
		// a read shows that it took effect or never can.
		unresolvedWrite *write
		// writeRejected is true after a write that certainly had no effect: the next read
		// answers the requests that it was made for.
		writeRejected bool

		writeCount   uint64
		segmentCount uint64
		// lastSequence and seenKeyMs are the highest seen; a head behind them comes from
		// a store that went back in time. Keys up to raisedFloorMs are then refused.
		lastSequence  uint64
		newestKeyMs   int64
		raisedFloorMs int64
	}

	// write is a conditional write of the head, after that of a segment if not nil.
	write struct {
		id       string
		expected marigoldcroft.Version
		next     *head
		sealed   *segment
		batch    []batchEntry
		// mayBeInFlight is true once an earlier copy may be on its way.
		mayBeInFlight bool
		// dropped names the segments that next no longer lists.
		dropped []string
	}

	// batchEntry is a request in a write and the reply to it once the write took effect.
	batchEntry struct {
		request *request
		reply   reply
	}

	// headReadResult is the result of a read of the head and of its unknown segments.
	headReadResult struct {
		// head is nil if the object does not exist.
		head     *head
		version  marigoldcroft.Version
		writeID  string
		segments []*segment
	}

	// output is what the driver must do after a step.
	output struct {
		replies []reply
		// read asks for the head and for those of its segments not in core.segments.
		read  bool
		write *write
		// removeSegments names segment objects that nothing refers to any more.
		removeSegments []string
		// retry asks for a call of retry after a pause.
		retry bool
	}
)

func newCore(self executor) *core {
	return &core{self: self, segments: make(map[string]*segment), sealedRecords: make(map[string]*record)}
}

// submit adds a request.
func (c *core) submit(env environment, r *request) output {
	var out output
	if len(c.pending) >= maxPending && r.kind == requestBegin {
		out.replies = append(out.replies, reply{call: r.call, kind: replyUnavailable})
		return out
	}
	if r.kind == requestRelease && c.writeCount == 0 {
		// An instance that never wrote a head owns none.
		out.replies = append(out.replies, reply{call: r.call, kind: replyRecorded})
		return out
	}
	c.pending = append(c.pending, r)
	c.advance(env, &out)
	return out
}

// cancel drops a request whose caller left. It returns false if the request may have
// been recorded.
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

// onRetry ends a pause.
func (c *core) onRetry(env environment) output {
	var out output
	if c.phase == phaseBackoff {
		c.phase = phaseIdle
		c.advance(env, &out)
	}
	return out
}

// advance starts the next store operation if none is under way and one is needed.
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

// onHeadRead takes the result of a read.
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
			// The write may still arrive. Sending it again settles it: one copy wins, and
			// the version that it leaves makes the other one fail.
			c.phase, c.activeWrite, c.unresolvedWrite = phaseWriting, w, nil
			out.write = w
			return out
		}
		// The object has moved on, so that the write can no longer take effect. It may
		// have done so before; judging its requests anew finds out.
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

// onReadFailed takes a read that the store did not serve. Outcomes wait for the store;
// intents are refused.
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

// refuseBegins answers each Begin with kind and returns the other items.
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

// scheduleRetry waits for retry if anything is left to do.
func (c *core) scheduleRetry(out *output) {
	c.phase = phaseIdle
	if len(c.pending) > 0 || c.unresolvedWrite != nil && len(c.unresolvedWrite.batch) > 0 {
		c.phase, out.retry = phaseBackoff, true
	}
}

// onWriteSucceeded takes the success of the write.
func (c *core) onWriteSucceeded(env environment, version marigoldcroft.Version) output {
	var out output
	w := c.activeWrite
	c.phase, c.activeWrite = phaseIdle, nil
	c.commit(env, w, version, &out)
	c.advance(env, &out)
	return out
}

// onWriteConflict takes a write that failed on the version: another instance owns the
// shard now, or an earlier copy of the write took effect.
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

// onWriteUnknown takes a write whose answer was lost.
func (c *core) onWriteUnknown(env environment) output {
	var out output
	w := c.activeWrite
	w.mayBeInFlight = true
	c.phase, c.activeWrite, c.unresolvedWrite, c.head = phaseIdle, nil, w, nil
	c.advance(env, &out)
	return out
}

// onWriteRejected takes a write that the store or its client refused. If no earlier copy is on
// its way, it had no effect.
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

// discardWrite takes back a write that had no effect.
func (c *core) discardWrite(w *write, out *output) {
	if w.sealed != nil {
		out.removeSegments = append(out.removeSegments, w.sealed.name)
	}
	c.requeue(w)
}

// requeue puts the requests of a write that took no effect before all others.
func (c *core) requeue(w *write) {
	requests := make([]*request, 0, len(w.batch)+len(c.pending))
	for _, e := range w.batch {
		requests = append(requests, e.request)
	}
	c.pending = append(requests, c.pending...)
}

// installHead replaces the copy of the head by what was read.
func (c *core) installHead(env environment, state headReadResult) {
	h := state.head
	if h == nil {
		h = newHead()
	}
	if h.sequence < c.lastSequence {
		// The store went back in time: what it held of keys made until now is lost.
		c.raisedFloorMs = max(env.now.UnixMilli(), c.newestKeyMs) + 1
	}
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

// rebuildIndex drops the segments that the head does not name and rebuilds the lookup.
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

// commit makes the content of a write that took effect the known head.
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

// replyAfterRejectedWrite answers the requests that arrived before the read of the head under
// way began. Outcomes stay.
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

// processPending judges all pending requests in order and writes their changes in one write.
// Requests that change nothing and depend on no change of the batch are answered at
// once.
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

// isStale tells whether the copy of the head is too old for the reply. An attempt in
// flight or unknown may have an outcome by now; and an outcome must not be turned away
// because of a record that another owner has replaced.
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

// startWrite starts the write of next, sealing it first if it is large.
func (c *core) startWrite(next *head, batch []batchEntry, out *output) {
	c.writeCount++
	next.sequence++
	w := &write{
		id:       fmt.Sprintf("%s/%d/%d", c.self.instance, c.self.incarnation, c.writeCount),
		expected: c.version, next: next, batch: batch,
	}
	if next.recordBytes-next.startedBytes > sealThresholdBytes {
		// The name is not used again after a failed write, as its object may exist. The
		// incarnation tells apart two instances that claim one epoch.
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

// segmentNames returns the names of the segments whose content is known.
func (c *core) segmentNames() map[string]bool {
	names := make(map[string]bool, len(c.segments))
	for name := range maps.Keys(c.segments) {
		names[name] = true
	}
	return names
}
