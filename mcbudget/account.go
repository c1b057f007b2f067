package mcbudget

import (
	"bytes"
	"sync"
	"time"
)

// pipelineGap is the time after an answer in which the next request has arrived only if it was sent before
// the answer was read.
const pipelineGap = time.Millisecond

// tailBytes is the size of the read buffer of net/http, which may hold the begin of the next request.
const tailBytes = 4 << 10

// The states of a connection: it waits for the rest of a head or has no request, a body is incomplete, the
// request is complete and must not be rejected, or its handler has returned and the rest of the answer waits
// for the client to read it.
const (
	stateWaiting = iota
	stateReceiving
	stateComplete
	stateAnswered
)

// Account counts what one connection makes the process hold. The methods of a nil account have no effect.
type Account struct {
	share *Share
	wake  func(answered bool)
	end   func()

	mu sync.Mutex
	// held is the bytes that are charged. They count in Budget.held unless rejected or closed is true.
	held int64
	// tail is what the last read may have brought of the next request.
	tail  int64
	state int
	// since is when the connection was opened, or when its last request ended or its next one began.
	since time.Time
	// before is the value of since before the last request ended.
	before time.Time
	// rejected and closed are final, except that a connection whose request is complete is kept.
	// left is true if the handler of a rejected request has returned.
	rejected, left, closed bool
	// pipelined is true if requests arrive before earlier ones are answered, and ending if the
	// connection is to be closed after the request in progress.
	pipelined, ending bool
}

// ReadHead charges bytes that were read of a head.
func (a *Account) ReadHead(p []byte) {
	if a == nil {
		return
	}
	tail := costOfLines(p)
	a.charge(tail, tail)
}

// ReadBody charges bytes that were read of a body or after its end.
func (a *Account) ReadBody(p []byte) {
	if a == nil {
		return
	}
	a.charge(BodyCost(int64(len(p))), costOfLines(p[max(0, len(p)-tailBytes):]))
}

// BodyCost returns what is charged for a body.
func BodyCost(n int64) int64 { return n * bodyNumerator / bodyDenominator }

func costOfLines(p []byte) int64 {
	return int64(len(p)) + lineBytes*int64(bytes.Count(p, []byte{'\n'}))
}

func (a *Account) charge(n, tail int64) {
	b := a.share.budget
	a.mu.Lock()
	if a.rejected || a.closed {
		a.mu.Unlock()
		return
	}
	a.held += n
	a.tail = tail
	limit := b.Memory
	total := b.held.Add(n)
	small := a.held <= smallBytes
	if small {
		limit += int64(smallReserve * float64(limit))
	}
	a.mu.Unlock()
	if total > limit {
		b.reclaim()
	}
	if !small && total+b.leaving.Load() > limit {
		b.waitForLeaving(a, limit)
	}
}

// BeginRequest notes the first byte of a request.
func (a *Account) BeginRequest() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.pipelined = a.pipelined && now.Sub(a.since) < pipelineGap; a.pipelined {
		a.since = a.before
		return
	}
	a.since = now
}

// BeginBody notes that the head is complete and the body is not. A request that arrived together with an
// earlier one is no progress.
func (a *Account) BeginBody(together bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = stateReceiving
	if together {
		a.pipelined, a.since = true, a.before
	}
}

// Complete notes the end of the request. It returns true if the connection was to be rejected meanwhile: it
// is kept, and what the wake function did must be undone.
func (a *Account) Complete() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = stateComplete
	return a.keep()
}

// Keep notes that a connection on which nothing had arrived has a request. It is not rejected then.
func (a *Account) Keep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keep()
}

func (a *Account) keep() bool {
	if !a.rejected || a.closed || a.left {
		return false
	}
	a.rejected = false
	a.share.budget.held.Add(a.held)
	a.share.budget.leaving.Add(-a.held)
	return true
}

// MustEnd reports whether the connection is to be closed after the request in progress.
func (a *Account) MustEnd() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ending || a.rejected
}

// endAfterThis lets a connection end after its request if its requests do not await the answers to earlier
// ones. It returns false if that was decided before.
func (a *Account) endAfterThis(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ending || !a.pipelined || now.Sub(a.since) < firstRequestTime {
		return false
	}
	a.ending = true
	return true
}

// EndHandler notes that nothing of the request or its answer is left to do but to pass bytes.
func (a *Account) EndHandler() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = stateAnswered
	if !a.pipelined {
		a.since = time.Now()
	}
	a.leave()
}

// leave notes that a rejected connection holds nothing more.
func (a *Account) leave() {
	if a.rejected && !a.left {
		a.left = true
		a.share.budget.leaving.Add(-a.held)
	}
}

// EndRequest notes that the request is answered. What the last read may have brought of the next one stays
// charged.
func (a *Account) EndRequest() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.rejected && !a.closed {
		freed := a.held - connectionBytes - a.tail
		a.held -= freed
		a.share.budget.held.Add(-freed)
	}
	a.before, a.since = a.since, time.Now()
	a.state = stateWaiting
}

// Close ends the account. Later calls have no effect.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	if !a.rejected && !a.closed {
		a.share.budget.held.Add(-a.held)
	}
	a.leave()
	a.closed = true
	a.mu.Unlock()
	a.share.close(a)
}

// IsRejected reports whether the connection must end.
func (a *Account) IsRejected() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rejected
}

// UnlessRejected calls f unless the connection must end. The wake function does not run meanwhile.
func (a *Account) UnlessRejected(f func() error) error {
	if a == nil {
		return f()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rejected {
		return nil
	}
	return f()
}

// reject wakes the connection so that it ends, unless its request is complete.
func (a *Account) reject() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rejected || a.closed || a.state == stateComplete {
		return false
	}
	a.rejected = true
	a.share.budget.held.Add(-a.held)
	if a.left = a.state == stateAnswered; !a.left {
		a.share.budget.leaving.Add(a.held)
	}
	a.wake(a.state == stateAnswered)
	return true
}

func (a *Account) candidate(now time.Time) (c candidate, state int, rejected bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return candidate{account: a, held: a.held, stalled: now.Sub(a.since), left: a.left}, a.state, a.rejected
}
