package mclimit

import (
	"sync"
	"time"
)

const (
	// defaultRetryRatio is the default ratio of retries and hedges to successes in the window.
	defaultRetryRatio = 0.1
	// defaultRetryFloor is the default number of retries allowed in a window regardless of
	// successes, so that a group with few successes can retry at all.
	defaultRetryFloor = 5
	// successWindowSeconds is the length of the window in which successes count; each slot
	// covers one second.
	successWindowSeconds = 10
	// retryWindowSlots is the number of slots kept. It is one more than the window, as a
	// retry counts until its whole second has left the window: otherwise some sliding
	// window could hold more retries than allowed.
	retryWindowSlots = successWindowSeconds + 1
)

type (
	// RetryBudget bounds the retries and hedges of each endpoint group. Within 10 s a group
	// may send 5 plus a tenth of its successes, or what Limits allows. It is safe for
	// concurrent use. Limits must be set before use.
	RetryBudget struct {
		// Limits returns the bound; nil means the default one. Retries in a window may not
		// exceed floor plus ratio times the requests counted in it.
		Limits func(now time.Time) (ratio, floor float64)

		mu     sync.Mutex
		groups map[string]*retryWindow
	}

	// retryWindow is a ring of slots, indexed by Unix second modulo its length.
	retryWindow struct {
		slots [retryWindowSlots]retrySlot
	}

	// retrySlot counts the events of one Unix second.
	retrySlot struct {
		second            int64
		requests, retries int
	}
)

// SharedRetryLimits returns a function for RetryBudget.Limits by which several instances keep a
// common budget without coordination: the ratio applies to each instance's own requests,
// and slack is divided equally among the instances. A process gets no part of the slack
// until one window has passed since its start, as the previous process of the instance
// may already have used it.
func SharedRetryLimits(ratio, slack float64, window time.Duration, started time.Time, instances func() int) func(now time.Time) (float64, float64) {
	return func(now time.Time) (float64, float64) {
		if now.Sub(started) < window {
			return ratio, 0
		}
		return ratio, slack / float64(max(1, instances()))
	}
}

// CountSuccess records a successful request of the group.
func (r *RetryBudget) CountSuccess(now time.Time, group string) { r.CountRequest(now, group) }

// CountRequest records a request of the group; the ratio of Limits applies to these.
func (r *RetryBudget) CountRequest(now time.Time, group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(group).slot(now).requests++
}

// TryConsume consumes one retry from the group's budget and returns true, or returns false if
// the budget is exhausted.
func (r *RetryBudget) TryConsume(now time.Time, group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(group)
	if r.Limits == nil {
		requests, retries := w.recent(now, successWindowSeconds)
		if float64(retries) >= defaultRetryFloor+defaultRetryRatio*float64(requests) {
			return false
		}
	} else {
		ratio, floor := r.Limits(now)
		requests, retries := w.recent(now, retryWindowSlots)
		if float64(retries+1) > floor+ratio*float64(requests) {
			return false
		}
	}
	w.slot(now).retries++
	return true
}

func (r *RetryBudget) window(group string) *retryWindow {
	w := r.groups[group]
	if w == nil {
		if r.groups == nil {
			r.groups = make(map[string]*retryWindow)
		}
		w = &retryWindow{}
		r.groups[group] = w
	}
	return w
}

func (w *retryWindow) slot(now time.Time) *retrySlot {
	second := now.Unix()
	s := &w.slots[second%retryWindowSlots]
	if s.second != second {
		*s = retrySlot{second: second}
	}
	return s
}

// recent returns the requests counted in the last successWindowSeconds and the retries
// in the last retrySeconds.
func (w *retryWindow) recent(now time.Time, retrySeconds int64) (requests, retries int) {
	for _, s := range w.slots {
		age := now.Unix() - s.second
		if age < successWindowSeconds {
			requests += s.requests
		}
		if age < retrySeconds {
			retries += s.retries
		}
	}
	return requests, retries
}
