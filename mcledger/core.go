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
	// segmentRoom is the part of a head that one batch may add to.
	segmentRoom = headBytes - sealBytes
)

type phase int

const (
	phaseIdle phase = iota
	phaseReading
	phaseWriting
	// phaseWaiting lasts until the driver calls retry.
	phaseWaiting
)

type (
	// core is the protocol state of one shard at one instance. Its methods are pure:
	// they do no input or output and read no clock. At most one store operation is
	// under way at any time.
	core struct {
		self  executor
		phase phase
		// head is the last known head, nil if it must be read before use.
		head      *head
		version   marigoldcroft.Version
		confirmed time.Time
		// segments holds the content of head's segments by name.
		segments map[string]*segment
		sealed   map[string]*record
		pending  []*request
		// writing is the write under way.
		writing *write
		// unsettled is a write whose outcome is not known. No other write is made until
		// a read shows that it took effect or never can.
		unsettled *write
		// refused is true after a write that certainly had no effect: the next read
		// answers the requests that it was made for.
		refused bool

		writeCount   uint64
		segmentCount uint64
		// seenSequence and seenKeyMs are the highest seen; a head behind them comes from
		// a store that went back in time. Keys up to raisedFloorMs are then refused.
		seenSequence  uint64
		seenKeyMs     int64
		raisedFloorMs int64
	}

	// write is a conditional write of the head, after that of a segment if not nil.
	write struct {
		id       string
		expected marigoldcroft.Version
		next     *head
		sealed   *segment
		batch    []entry
		// uncertain is true once an earlier copy may be on its way.
		uncertain bool
		// dropped names the segments that next no longer lists.
		dropped []string
	}

	// entry is a request in a write and the reply to it once the write took effect.
	entry struct {
		request *request
		reply   reply
	}

	// headState is the result of a read of the head and of its unknown segments.
	headState struct {
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
		// remove names segment objects that nothing refers to any more.
		remove []string
		// retry asks for a call of retry after a pause.
		retry bool
	}
)

func newCore(self executor) *core {
	return &core{self: self, segments: make(map[string]*segment), sealed: make(map[string]*record)}
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
	if w := c.current(); w != nil {
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

func (c *core) current() *write {
	if c.unsettled != nil {
		return c.unsettled
	}
	return c.writing
}

// retry ends a pause.
func (c *core) retry(env environment) output {
	var out output
	if c.phase == phaseWaiting {
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
	waiting := len(c.pending) > 0 || c.unsettled != nil && len(c.unsettled.batch) > 0
	if !waiting {
		return
	}
	if c.head == nil || c.unsettled != nil {
		c.startRead(out)
		return
	}
	c.propose(env, out)
}

func (c *core) startRead(out *output) {
	c.phase = phaseReading
	out.read = true
	for _, r := range c.pending {
		r.readAfter = true
	}
}

// headRead takes the result of a read.
func (c *core) headRead(env environment, state headState) output {
	var out output
	c.phase = phaseIdle
	if w := c.unsettled; w != nil {
		switch {
		case state.writeID == w.id:
			c.unsettled = nil
			c.commit(env, w, state.version, &out)
			c.advance(env, &out)
			return out
		case state.version == w.expected:
			// The write may still arrive. Sending it again settles it: one copy wins, and
			// the version that it leaves makes the other one fail.
			c.phase, c.writing, c.unsettled = phaseWriting, w, nil
			out.write = w
			return out
		}
		// The object has moved on, so that the write can no longer take effect. It may
		// have done so before; judging its requests anew finds out.
		c.unsettled = nil
		c.requeue(w)
	}
	c.adopt(env, state)
	if c.refused {
		c.refused = false
		c.answerRefused(env, &out)
		if len(c.pending) > 0 {
			c.phase, out.retry = phaseWaiting, true
		}
		return out
	}
	c.advance(env, &out)
	return out
}

// readFailed takes a read that the store did not serve. Outcomes wait for the store;
// intents are refused.
func (c *core) readFailed(environment) output {
	var out output
	c.refused = false
	if w := c.unsettled; w != nil {
		w.batch = refuseBegins(w.batch, func(e entry) *request { return e.request }, replyOpen, &out)
	}
	c.pending = refuseBegins(c.pending, func(r *request) *request { return r }, replyUnavailable, &out)
	c.pause(&out)
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

// pause waits for retry if anything is left to do.
func (c *core) pause(out *output) {
	c.phase = phaseIdle
	if len(c.pending) > 0 || c.unsettled != nil && len(c.unsettled.batch) > 0 {
		c.phase, out.retry = phaseWaiting, true
	}
}

// written takes the success of the write.
func (c *core) written(env environment, version marigoldcroft.Version) output {
	var out output
	w := c.writing
	c.phase, c.writing = phaseIdle, nil
	c.commit(env, w, version, &out)
	c.advance(env, &out)
	return out
}

// conflicted takes a write that failed on the version: another instance owns the
// shard now, or an earlier copy of the write took effect.
func (c *core) conflicted(env environment) output {
	var out output
	w := c.writing
	c.phase, c.writing, c.head = phaseIdle, nil, nil
	if w.uncertain {
		c.unsettled = w
	} else {
		c.discard(w, &out)
	}
	c.advance(env, &out)
	return out
}

// unknown takes a write whose answer was lost.
func (c *core) unknown(env environment) output {
	var out output
	w := c.writing
	w.uncertain = true
	c.phase, c.writing, c.unsettled, c.head = phaseIdle, nil, w, nil
	c.advance(env, &out)
	return out
}

// refuse takes a write that the store or its client refused. If no earlier copy is on
// its way, it had no effect.
func (c *core) refuse(env environment) output {
	var out output
	w := c.writing
	c.writing, c.head = nil, nil
	if w.uncertain {
		c.unsettled = w
		w.batch = refuseBegins(w.batch, func(e entry) *request { return e.request }, replyOpen, &out)
		c.pause(&out)
		return out
	}
	c.phase, c.refused = phaseIdle, true
	c.discard(w, &out)
	c.advance(env, &out)
	if c.phase == phaseIdle {
		c.refused = false
	}
	return out
}

// discard takes back a write that had no effect.
func (c *core) discard(w *write, out *output) {
	if w.sealed != nil {
		out.remove = append(out.remove, w.sealed.name)
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

// adopt replaces the copy of the head by what was read.
func (c *core) adopt(env environment, state headState) {
	h := state.head
	if h == nil {
		h = newHead()
	}
	if h.sequence < c.seenSequence {
		// The store went back in time: what it held of keys made until now is lost.
		c.raisedFloorMs = max(env.now.UnixMilli(), c.seenKeyMs) + 1
	}
	c.head, c.version, c.confirmed = h, state.version, env.now
	for _, s := range state.segments {
		c.segments[s.name] = s
	}
	c.index()
	c.see(h)
}

func (c *core) see(h *head) {
	c.seenSequence = h.sequence
	for _, r := range h.records {
		c.seenKeyMs = max(c.seenKeyMs, keyTimeMs(r.GetAttempt().GetKey()))
	}
}

// index drops the segments that the head does not name and rebuilds the lookup.
func (c *core) index() {
	named := make(map[string]*segment, len(c.head.segments))
	c.sealed = make(map[string]*record)
	for _, e := range c.head.segments {
		s := c.segments[e.GetName()]
		named[e.GetName()] = s
		for _, r := range s.records {
			c.sealed[idOf(r.GetAttempt())] = r
		}
	}
	c.segments = named
}

// commit makes the content of a write that took effect the known head.
func (c *core) commit(env environment, w *write, version marigoldcroft.Version, out *output) {
	changed := !slices.Equal(w.next.segments, c.headSegments())
	c.head, c.version, c.confirmed = w.next, version, env.now
	if w.sealed != nil {
		c.segments[w.sealed.name] = w.sealed
	}
	if changed {
		c.index()
	}
	c.see(w.next)
	out.remove = append(out.remove, w.dropped...)
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

// answerRefused answers the requests that arrived before the read of the head under
// way began. Outcomes stay.
func (c *core) answerRefused(env environment, out *output) {
	var kept []*request
	for _, r := range c.pending {
		if r.kind != requestBegin || !r.readAfter {
			kept = append(kept, r)
			continue
		}
		v := judgeBegin(env, c.lookup(c.head, idOf(r.attempt)), r, c.floor(c.head))
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
	return c.sealed[id]
}

func (c *core) floor(h *head) int64 { return max(h.floorMs, c.raisedFloorMs) }

// propose judges all pending requests in order and writes their changes in one write.
// Requests that change nothing and depend on no change of the batch are answered at
// once.
func (c *core) propose(env environment, out *output) {
	next := c.head.clone()
	if next.owner != c.self {
		next.owner = c.self
		next.epoch++
	}
	next.expire(env.now)
	next.floorMs = c.floor(next)
	var batch []entry
	touched := make(map[string]bool)
	added := 0
	for i, r := range c.pending {
		if r.kind == requestRelease {
			if c.head.owner == c.self || len(batch) > 0 {
				next.owner = executor{}
				batch = append(batch, entry{r, reply{call: r.call, kind: replyRecorded}})
			} else {
				out.replies = append(out.replies, reply{call: r.call, kind: replyRecorded})
			}
			continue
		}
		id := idOf(r.attempt)
		v := c.judge(env, next, r)
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
			if v.reply == replyGranted && next.startedBytes+size > startedBytes {
				out.replies = append(out.replies, reply{call: r.call, kind: replyUnavailable})
				continue
			}
			if added+size > segmentRoom-startedBytes {
				c.pending = c.pending[i:]
				c.send(next, batch, out)
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
			batch = append(batch, entry{r, answer})
		} else {
			out.replies = append(out.replies, answer)
		}
	}
	c.pending = nil
	if len(batch) > 0 {
		c.send(next, batch, out)
	}
}

func requestsOf(batch []entry) []*request {
	var requests []*request
	for _, e := range batch {
		requests = append(requests, e.request)
	}
	return requests
}

func (c *core) judge(env environment, next *head, r *request) verdict {
	before := c.lookup(next, idOf(r.attempt))
	if r.kind == requestBegin {
		return judgeBegin(env, before, r, next.floorMs)
	}
	return judgeFinish(env, before, r, next.floorMs)
}

// isStale tells whether the copy of the head is too old for the reply. An attempt in
// flight or unknown may have an outcome by now; and an outcome must not be turned away
// because of a record that another owner has replaced.
func (c *core) isStale(env environment, r *request, v verdict) bool {
	if v.after != nil || v.before == nil {
		return false
	}
	if r.kind == requestFinish {
		return v.before.GetAttempt().GetAttemptId() != r.attempt.GetAttemptId() && !r.readAfter
	}
	open := v.before.GetState() == stateStarted || v.before.GetState() == stateUnknown
	return v.reply == replyState && open && env.now.Sub(c.confirmed) > staleAfter
}

// send starts the write of next, sealing it first if it is large.
func (c *core) send(next *head, batch []entry, out *output) {
	c.writeCount++
	next.sequence++
	w := &write{
		id:       fmt.Sprintf("%s/%d/%d", c.self.instance, c.self.incarnation, c.writeCount),
		expected: c.version, next: next, batch: batch,
	}
	if next.recordBytes-next.startedBytes > sealBytes {
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
	c.phase, c.writing = phaseWriting, w
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
