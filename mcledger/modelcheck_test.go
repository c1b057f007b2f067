package mcledger

import (
	"encoding/binary"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// The model check explores all interleavings of two instances, each with its own core,
// and two callers that use one key, with a bounded number of faults. The cores are the
// code that the driver runs; the checker simulates the store, the messages, the
// executors and the service. A paused process is covered by the interleavings in which
// only the others take steps.

const (
	attemptIdle = iota
	attemptWaiting
	attemptGranted
	attemptEnded
)

type (
	// faultBudget bounds the faults of each kind in one exploration.
	faultBudget struct{ lost, refused, crashes, falseSuspicions, fallbacks int }

	// operation is the outstanding store operation of one core.
	operation struct {
		read     bool
		id       string
		expected int
		next     *head
		// applied is true once the store has carried out the operation.
		applied bool
		ok      bool
		seen    storedHead
		// ranOrGranted is true if, when the store served the read, the action had run or
		// an attempt was granted.
		ranOrGranted bool
	}

	storedHead struct {
		head    *head
		version int
		writeID string
	}

	instance struct {
		core        *core
		incarnation uint64
		op          *operation
	}

	attempt struct {
		origin, phase int
		ran           bool
		// mailbox holds the distinct replies that have arrived and may be received next.
		mailbox []replyKind
	}

	message struct {
		to      int
		request request
	}

	modelState struct {
		store      storedHead
		instances  [2]instance
		attempts   [2]attempt
		messages   []message
		lateWrites []operation
		// reportedEnded is true once the first incarnation is reported as ended, rightly or
		// not.
		reportedEnded [2]bool
		crashed       [2]bool
		runs          int
		budget        faultBudget
		trace         []string
	}

	// checker explores all states that are reachable within a fault budget.
	checker struct {
		// singleTarget is true if each attempt is sent to one core only.
		singleTarget bool
		// ignoreVersions and earlyReplies each seed a fault into the protocol.
		ignoreVersions, earlyReplies bool
		visited                      map[[2]uint64]struct{}
		queue                        []*modelState
		violation                    string
		wantViolation                string
		trace                        []string
		keepTrace                    bool
		buffer                       []byte
		now                          time.Time
		key                          string
	}
)

func newChecker() *checker {
	return &checker{
		visited: make(map[[2]uint64]struct{}), buffer: make([]byte, 1, 1024),
		now: time.UnixMilli(1_700_000_000_000), key: testKey(time.UnixMilli(1_700_000_000_000), 1),
	}
}

func testKey(at time.Time, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", at.UnixMilli()>>16, at.UnixMilli()&0xffff, n)
}

func (c *checker) run(b faultBudget) int {
	first := &modelState{budget: b}
	c.singleTarget = b.fallbacks == 0
	for i := range first.instances {
		first.instances[i].incarnation = 1
		first.instances[i].core = newCore(first.executor(i))
		first.attempts[i].origin = i
	}
	c.push(first, "start")
	for len(c.queue) > 0 && c.violation == "" {
		// Depth-first search keeps the queue short; breadth-first search gives the
		// shortest trace.
		i := len(c.queue) - 1
		if c.keepTrace {
			i = 0
		}
		w := c.queue[i]
		c.queue = slices.Delete(c.queue, i, i+1)
		c.expand(w)
	}
	return len(c.visited)
}

func (w *modelState) executor(i int) executor {
	return executor{instance: string(rune('A' + i)), incarnation: w.instances[i].incarnation}
}

func (c *checker) env(w *modelState) environment {
	return environment{now: c.now, hasEnded: func(e executor) bool {
		return e.incarnation == 1 && w.reportedEnded[e.instance[0]-'A']
	}}
}

// expand queues each state that one step leads to.
func (c *checker) expand(w *modelState) {
	for i := range w.instances {
		c.expandStore(w, i)
		c.expandInstance(w, i)
	}
	for i := range w.attempts {
		c.expandAttempt(w, i)
	}
	for i, m := range w.messages {
		n := w.clone()
		n.messages = slices.Delete(n.messages, i, i+1)
		r := m.request
		c.apply(n, m.to, n.instances[m.to].core.submit(c.env(n), &r), nil)
		c.push(n, fmt.Sprintf("deliver %s of attempt %d to %d", kindName(r), r.call, m.to))
	}
	for i, op := range w.lateWrites {
		n := w.clone()
		n.lateWrites = slices.Delete(n.lateWrites, i, i+1)
		c.applyWrite(n, &op)
		c.push(n, "late write "+op.id+" arrives")
	}
}

func kindName(r request) string {
	if r.kind == requestBegin {
		return "begin"
	}
	return r.state.String()
}

func (c *checker) expandStore(w *modelState, i int) {
	op := w.instances[i].op
	if op == nil {
		if w.instances[i].core.phase == phaseBackoff {
			n := w.clone()
			c.apply(n, i, n.instances[i].core.onRetry(c.env(n)), nil)
			c.push(n, fmt.Sprintf("retry at %d", i))
		}
		return
	}
	if !op.applied {
		n := w.clone()
		c.serve(n, n.instances[i].op)
		c.push(n, fmt.Sprintf("store serves %d (read %t)", i, op.read))
	} else {
		n := w.clone()
		c.complete(n, i, c.answer(n, i))
		c.push(n, fmt.Sprintf("store answers %d", i))
	}
	if w.budget.refused > 0 && !op.applied {
		n := w.clone()
		n.budget.refused--
		core := n.instances[i].core
		if op.read {
			c.complete(n, i, core.onReadFailed(c.env(n)))
		} else {
			c.complete(n, i, core.onWriteRejected(c.env(n)))
		}
		c.push(n, fmt.Sprintf("store refuses %d", i))
	}
	if w.budget.lost > 0 && !op.read {
		n := w.clone()
		n.budget.lost--
		if !op.applied {
			n.lateWrites = append(n.lateWrites, *op)
		}
		c.complete(n, i, n.instances[i].core.onWriteUnknown(c.env(n)))
		c.push(n, fmt.Sprintf("answer to write of %d lost", i))
	}
}

func (c *checker) serve(w *modelState, op *operation) {
	op.applied = true
	if !op.read {
		op.ok = c.applyWrite(w, op)
		op.seen.version = w.store.version
		return
	}
	op.seen = w.store
	op.ranOrGranted = w.runs > 0
	for _, a := range w.attempts {
		op.ranOrGranted = op.ranOrGranted || a.phase == attemptGranted
	}
}

// answer passes the result of an applied operation to the core that started it.
func (c *checker) answer(w *modelState, i int) output {
	op, core, env := w.instances[i].op, w.instances[i].core, c.env(w)
	switch {
	case op.read:
		state := headReadResult{version: versionOf(op.seen.version), writeID: op.seen.writeID, head: op.seen.head}
		return core.onHeadRead(env, state)
	case op.ok:
		return core.onWriteSucceeded(env, versionOf(op.seen.version))
	}
	return core.onWriteConflict(env)
}

func versionOf(n int) marigoldcroft.Version {
	if n == 0 {
		return ""
	}
	return marigoldcroft.Version(fmt.Sprint(n))
}

// applyWrite simulates the store's conditional write and checks that it changes no
// recorded outcome.
func (c *checker) applyWrite(w *modelState, op *operation) bool {
	if op.expected != w.store.version && !c.ignoreVersions {
		return false
	}
	if before := w.store.record(); before != nil {
		after := op.next.records[c.id()]
		same := after != nil && after.GetState() == before.GetState() &&
			after.GetAttempt().GetAttemptId() == before.GetAttempt().GetAttemptId()
		resolved := after != nil && before.GetState() == stateUnknown && after.GetState() == stateDone
		if (before.GetState() == stateDone || before.GetState() == stateUnknown) && !same && !resolved {
			c.report("a recorded outcome changed")
		}
	}
	w.store = storedHead{head: op.next, version: w.store.version + 1, writeID: op.id}
	if r := w.store.record(); r.GetState() == stateAbandoned && w.attempts[r.GetAttempt().GetAttemptId()[0]-'0'].ran {
		c.report("an attempt that ran is recorded as abandoned")
	}
	return true
}

func (s storedHead) record() *record {
	if s.head == nil {
		return nil
	}
	for _, r := range s.head.records {
		return r
	}
	return nil
}

func (c *checker) id() string { return recordID("t", "s", c.key) }

func (c *checker) complete(w *modelState, i int, out output) {
	op := w.instances[i].op
	w.instances[i].op = nil
	c.apply(w, i, out, op)
}

// apply carries out the output of a step of core i and checks its replies. op is the
// store operation that the step completed, or nil.
func (c *checker) apply(w *modelState, i int, out output, op *operation) {
	replies := out.replies
	if out.write != nil {
		expected := 0
		_, _ = fmt.Sscan(string(out.write.expected), &expected)
		w.instances[i].op = &operation{id: out.write.id, expected: expected, next: out.write.next}
		if c.earlyReplies {
			for _, e := range out.write.batch {
				replies = append(replies, e.reply)
			}
		}
	}
	if out.read {
		w.instances[i].op = &operation{read: true}
	}
	for _, r := range replies {
		if r.kind == replyNotRun && (op == nil || !op.read || op.ranOrGranted) {
			c.report("not run was answered although the key ran or was in flight")
		}
		if c.singleTarget && (r.kind == replyNotRun || r.kind == replyUnavailable) && w.mayBeStarted(fmt.Sprint(r.call)) {
			c.report("an attempt that is or may yet be recorded was answered as not recorded")
		}
		if r.kind == replyExisting && r.record.GetState() == stateDone && w.runs == 0 {
			c.report("an outcome was answered although nothing ran")
		}
		if r.kind != replyRecorded && r.kind != replyNotRecorded {
			a := &w.attempts[r.call]
			// Every reply other than a grant ends the attempt in the same way.
			kind := r.kind
			if kind != replyGranted {
				kind = replyExisting
			}
			if a.phase == attemptWaiting && !slices.Contains(a.mailbox, kind) {
				a.mailbox = append(a.mailbox, kind)
			}
		}
	}
	core := w.instances[i].core
	if len(core.pending) > 0 && core.phase == phaseIdle {
		c.report("a request waits although no store operation is outstanding")
	}
}

// mayBeStarted reports whether the attempt is recorded as started or a delayed write
// can still record it.
func (w *modelState) mayBeStarted(attempt string) bool {
	started := func(s storedHead) bool {
		r := s.record()
		return r.GetState() == stateStarted && r.GetAttempt().GetAttemptId() == attempt
	}
	for _, op := range w.lateWrites {
		if op.expected == w.store.version && started(storedHead{head: op.next}) {
			return true
		}
	}
	return started(w.store)
}

func (c *checker) expandInstance(w *modelState, i int) {
	if w.budget.crashes > 0 && !w.crashed[i] {
		n := w.clone()
		n.budget.crashes--
		n.crashed[i] = true
		if op := n.instances[i].op; op != nil && !op.read && !op.applied {
			n.lateWrites = append(n.lateWrites, *op)
		}
		n.instances[i] = instance{incarnation: 2}
		n.instances[i].core = newCore(n.executor(i))
		n.attempts[i].phase, n.attempts[i].mailbox = attemptEnded, nil
		c.push(n, fmt.Sprintf("instance %d crashes", i))
	}
	if !w.reportedEnded[i] && (w.crashed[i] || w.budget.falseSuspicions > 0) {
		n := w.clone()
		n.reportedEnded[i] = true
		if !w.crashed[i] {
			n.budget.falseSuspicions--
		}
		c.push(n, fmt.Sprintf("the first incarnation of instance %d is reported as ended", i))
	}
}

func (c *checker) expandAttempt(w *modelState, i int) {
	a := &w.attempts[i]
	step := func(name string, change func(n *modelState, a *attempt)) {
		n := w.clone()
		change(n, &n.attempts[i])
		c.push(n, fmt.Sprintf("attempt %d: %s", i, name))
	}
	finish := func(n *modelState, state mcmessage.LedgerState) {
		n.attempts[i].phase = attemptEnded
		c.send(n, i, n.attempts[i].origin, request{kind: requestFinish, state: state})
	}
	switch a.phase {
	case attemptIdle:
		if w.crashed[a.origin] {
			return
		}
		for to := range w.instances {
			step("begin", func(n *modelState, a *attempt) {
				a.phase = attemptWaiting
				c.send(n, i, to, request{kind: requestBegin, bodyHash: []byte{1}})
			})
		}
	case attemptWaiting:
		if w.budget.fallbacks > 0 {
			step("fall back", func(n *modelState, _ *attempt) {
				n.budget.fallbacks--
				c.send(n, i, a.origin, request{kind: requestBegin, bodyHash: []byte{1}})
			})
		}
		step("give up", func(n *modelState, _ *attempt) { finish(n, stateAbandoned) })
		for j, kind := range a.mailbox {
			step("take reply", func(_ *modelState, a *attempt) {
				a.mailbox = slices.Delete(a.mailbox, j, j+1)
				a.phase = attemptEnded
				if kind == replyGranted {
					a.phase = attemptGranted
				}
			})
		}
	case attemptGranted:
		if r := w.store.record(); r.GetState() == stateAbandoned && r.GetAttempt().GetAttemptId() == fmt.Sprint(i) {
			c.report("a granted attempt is recorded as abandoned")
		}
		ran := func(n *modelState) {
			n.runs++
			n.attempts[i].ran = true
			if n.runs > 1 {
				c.report("the action ran twice")
			}
		}
		step("runs", func(n *modelState, _ *attempt) { ran(n); finish(n, stateDone) })
		step("runs, answer lost", func(n *modelState, _ *attempt) { ran(n); finish(n, stateUnknown) })
		step("call lost", func(n *modelState, _ *attempt) { finish(n, stateUnknown) })
		step("not sent", func(n *modelState, _ *attempt) { finish(n, stateAbandoned) })
	}
}

func (c *checker) send(w *modelState, i, to int, r request) {
	r.call = uint64(i)
	r.attempt = &mcmessage.LedgerAttempt{
		Team: "t", Service: "s", Key: c.key, AttemptId: fmt.Sprint(i),
		Executor: string(rune('A' + w.attempts[i].origin)), ExecutorIncarnation: 1,
	}
	w.messages = append(w.messages, message{to, r})
}

// report keeps the first violation, or the first that equals wantViolation if that is
// set.
func (c *checker) report(violation string) {
	if c.violation == "" && (c.wantViolation == "" || c.wantViolation == violation) {
		c.violation = violation
	}
}

// push queues the state unless an equal one was visited.
func (c *checker) push(w *modelState, step string) {
	if c.keepTrace {
		w.trace = append(slices.Clone(w.trace), step)
	}
	if c.violation != "" {
		if c.trace == nil {
			c.trace = append(w.trace, step)
		}
		return
	}
	// Drop delayed writes that can no longer take effect, to reduce the state space.
	w.lateWrites = slices.DeleteFunc(w.lateWrites, func(op operation) bool { return op.expected != w.store.version && !c.ignoreVersions })
	sum := w.fingerprint(&c.buffer)
	if _, ok := c.visited[sum]; ok {
		return
	}
	c.visited[sum] = struct{}{}
	c.queue = append(c.queue, w)
}

func (w *modelState) clone() *modelState {
	n := *w
	for i := range n.instances {
		in := &n.instances[i]
		in.core = in.core.clone()
		if in.op != nil {
			op := *in.op
			in.op = &op
		}
		n.attempts[i].mailbox = slices.Clone(n.attempts[i].mailbox)
	}
	n.messages, n.lateWrites = slices.Clone(n.messages), slices.Clone(n.lateWrites)
	return &n
}

func (c *core) clone() *core {
	n := *c
	n.pending = nil
	for _, r := range c.pending {
		copied := *r
		n.pending = append(n.pending, &copied)
	}
	for _, w := range []**write{&n.activeWrite, &n.unresolvedWrite} {
		if *w == nil {
			continue
		}
		copied := **w
		copied.batch = nil
		for _, e := range (*w).batch {
			r := *e.request
			copied.batch = append(copied.batch, batchEntry{&r, e.reply})
		}
		*w = &copied
	}
	return &n
}

// fingerprint returns a 128-bit hash of everything that later steps depend on. With the
// numbers of states here, the probability of a collision is below 1e-24.
func (w *modelState) fingerprint(buffer *[]byte) [2]uint64 {
	b := (*buffer)[:1]
	b = appendHead(appendText(appendInts(b, w.store.version, w.runs), w.store.writeID), w.store.head)
	b = appendBools(b, w.reportedEnded[0], w.reportedEnded[1], w.crashed[0], w.crashed[1])
	b = appendInts(b, w.budget.lost, w.budget.refused, w.budget.crashes, w.budget.falseSuspicions, w.budget.fallbacks)
	for i := range w.instances {
		in := &w.instances[i]
		c := in.core
		b = appendHead(appendText(appendInts(b, int(in.incarnation), int(c.phase), int(c.writeCount), int(c.lastSequence)), string(c.version)), c.head)
		b = appendWrite(appendWrite(appendBools(b, c.writeRejected), c.activeWrite), c.unresolvedWrite)
		for _, r := range c.pending {
			b = appendRequest(b, r)
		}
		if op := in.op; op != nil {
			b = appendBools(b, true, op.read, op.applied, op.ok, op.ranOrGranted)
			b = appendHead(appendText(appendInts(appendText(b, op.id), op.expected, op.seen.version), op.seen.writeID), op.seen.head)
		}
		a := &w.attempts[i]
		b = appendInts(appendBools(b, false, a.ran), a.phase, len(a.mailbox))
		for _, kind := range a.mailbox {
			b = appendInts(b, int(kind))
		}
	}
	// Messages and delayed writes are unordered, so that their hashes are added up.
	var messages, late uint64
	for i := range w.messages {
		m := &w.messages[i]
		messages += xxhash.Sum64(appendRequest(appendInts(nil, m.to), &m.request))
	}
	for i := range w.lateWrites {
		late += xxhash.Sum64(appendInts(appendText(nil, w.lateWrites[i].id), w.lateWrites[i].expected))
	}
	b = binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(b, messages), late)
	*buffer = b
	b[0] = 0
	first := xxhash.Sum64(b)
	b[0] = 1
	return [2]uint64{first, xxhash.Sum64(b)}
}

func appendInts(b []byte, values ...int) []byte {
	for _, v := range values {
		b = binary.AppendVarint(b, int64(v))
	}
	return b
}

func appendBools(b []byte, values ...bool) []byte {
	for _, v := range values {
		if v {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return b
}

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func appendHead(b []byte, h *head) []byte {
	if h == nil {
		return append(b, 0)
	}
	b = appendText(appendInts(append(b, 1), int(h.epoch), int(h.owner.incarnation), int(h.sequence)), h.owner.instance)
	for _, r := range h.records {
		b = appendText(appendInts(b, int(r.GetState())), r.GetAttempt().GetAttemptId())
	}
	return append(b, 2)
}

func appendRequest(b []byte, r *request) []byte {
	return appendBools(appendInts(b, int(r.call), int(r.kind), int(r.state)), r.coveredByRead)
}

func appendWrite(b []byte, w *write) []byte {
	if w == nil {
		return append(b, 0)
	}
	b = appendHead(appendText(appendText(appendBools(b, true, w.mayBeInFlight), w.id), string(w.expected)), w.next)
	for _, e := range w.batch {
		b = appendInts(appendRequest(b, e.request), int(e.reply.kind))
	}
	return append(b, 3)
}

// TestModelCheck checks that no interleaving within the fault budgets runs an action
// twice, changes an outcome, reports "not run" for a key that ran or is in flight, or
// leaves a request waiting without an outstanding store operation.
func TestModelCheck(t *testing.T) {
	budgets := map[string]faultBudget{
		"no faults":       {},
		"lost answer":     {lost: 1},
		"refusal":         {refused: 1},
		"crash":           {crashes: 1},
		"wrong suspicion": {falseSuspicions: 1},
		"fallback":        {fallbacks: 1},
	}
	// The wide budgets take minutes even without the race detector.
	if os.Getenv("LEDGER_MODEL_CHECK") == "wide" {
		budgets = map[string]faultBudget{
			"three lost answers":       {lost: 3},
			"loss, refusal and crash":  {lost: 1, refused: 1, crashes: 1},
			"loss, crash, suspicion":   {lost: 1, crashes: 1, falseSuspicions: 1},
			"refusals":                 {refused: 2},
			"refusal and loss":         {refused: 1, lost: 1},
			"crash and loss":           {crashes: 1, lost: 1},
			"suspicion and loss":       {falseSuspicions: 1, lost: 1},
			"fallback and loss":        {fallbacks: 1, lost: 1},
			"crash and suspicion":      {crashes: 1, falseSuspicions: 1},
			"two crashes":              {crashes: 2},
			"fallback and two crashes": {fallbacks: 1, crashes: 2},
		}
	}
	for name, b := range budgets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newChecker()
			states := c.run(b)
			t.Logf("%d states", states)
			if c.violation != "" {
				// A second, breadth-first search finds the shortest trace to a violation.
				c = newChecker()
				c.keepTrace = true
				c.run(b)
			}
			require.Empty(t, c.violation, "steps: %s", strings.Join(c.trace, "; "))
		})
	}
}

// TestModelCheckFindsSeededFaults checks that the checker is able to find violations:
// with each fault seeded into the protocol, it must find that the action runs twice.
func TestModelCheckFindsSeededFaults(t *testing.T) {
	for name, seed := range map[string]func(*checker){
		"write without a version condition": func(c *checker) { c.ignoreVersions = true },
		"grant before the record is stored": func(c *checker) { c.earlyReplies = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker()
			c.keepTrace, c.wantViolation = true, "the action ran twice"
			seed(c)
			c.run(faultBudget{})
			require.Equal(t, c.wantViolation, c.violation)
			t.Logf("%s: %s", c.violation, strings.Join(c.trace, "; "))
		})
	}
}
