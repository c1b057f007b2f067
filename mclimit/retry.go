package mclimit

import (
	"slices"
	"sync"
	"time"
)

const (
	// defaultRetryRatio is the default ratio of retries and hedges to successes in the window.
	defaultRetryRatio = 0.1
	// defaultRetryFloor is the default number of retries allowed in a window regardless of
	// successes, so that a group with few successes can retry at all.
	defaultRetryFloor = 5
	// defaultRetryWindow is the window if none is set.
	defaultRetryWindow = 10 * time.Second
	// maxRetryWindow limits the window that can be set.
	maxRetryWindow = 10 * time.Minute
)

type (
	// RetryBudget bounds the retries and hedges of each endpoint group. Within 10 s a group
	// may send 5 plus a tenth of its successes, or what Limits allows. It is safe for
	// concurrent use. Limits must be set before use.
	RetryBudget struct {
		// Limits returns the bound; nil means the default one.
		Limits func(now time.Time) RetryLimits

		mu     sync.Mutex
		groups map[string]*retryWindow
		// origin is the time of the first event. Slots count from it, as the difference of two
		// times does not change when the wall clock is set.
		origin time.Time
	}

	// RetryLimits is the bound of a RetryBudget: retries in a window may not exceed Floor plus
	// Ratio times the requests counted in it.
	RetryLimits struct {
		Ratio, Floor float64
		// Window is limited to 1 s to 10 minutes; 0 means 10 s.
		Window time.Duration
	}

	// retryWindow holds the slots of the last seconds, the oldest first.
	retryWindow struct {
		slots []retrySlot
	}

	// retrySlot counts the events of one second since the origin.
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
func SharedRetryLimits(ratio, slack float64, window time.Duration, started time.Time, instances func() int) func(now time.Time) RetryLimits {
	return func(now time.Time) RetryLimits {
		limits := RetryLimits{Ratio: ratio, Window: window}
		if now.Sub(started) >= window {
			limits.Floor = slack / float64(max(1, instances()))
		}
		return limits
	}
}

// CountSuccess records a successful request of the group.
func (r *RetryBudget) CountSuccess(now time.Time, group string) { r.CountRequest(now, group) }

// CountRequest records a request of the group; the ratio of Limits applies to these.
func (r *RetryBudget) CountRequest(now time.Time, group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(group).slot(r.second(now), r.history()).requests++
}

// TryConsume consumes one retry from the group's budget and returns true, or returns false if
// the budget is exhausted.
func (r *RetryBudget) TryConsume(now time.Time, group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(group)
	second := r.second(now)
	if r.Limits == nil {
		requests, retries := w.recent(second, seconds(defaultRetryWindow), seconds(defaultRetryWindow))
		if float64(retries) >= defaultRetryFloor+defaultRetryRatio*float64(requests) {
			return false
		}
	} else {
		limits := r.Limits(now)
		window := limits.window()
		// A retry counts until its whole second has left the window: otherwise some sliding
		// window could hold more retries than allowed.
		requests, retries := w.recent(second, seconds(window), seconds(window+time.Second-1)+1)
		if float64(retries+1) > limits.Floor+limits.Ratio*float64(requests) {
			return false
		}
	}
	w.slot(second, r.history()).retries++
	return true
}

// second returns the number of the second, counted from the origin.
func (r *RetryBudget) second(now time.Time) int64 {
	if r.origin.IsZero() {
		r.origin = now
	}
	age := now.Sub(r.origin)
	if second := age.Truncate(time.Second); second > age {
		return seconds(second) - 1
	}
	return seconds(age)
}

func seconds(d time.Duration) int64 { return int64(d / time.Second) }

// history returns for how many seconds events are kept. Limits may return a longer window later.
func (r *RetryBudget) history() int64 {
	if r.Limits == nil {
		return seconds(defaultRetryWindow)
	}
	return seconds(maxRetryWindow) + 1
}

// window returns the window within its bounds.
func (l RetryLimits) window() time.Duration {
	if l.Window <= 0 {
		return defaultRetryWindow
	}
	return min(max(l.Window, time.Second), maxRetryWindow)
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

// slot returns the slot of the second and removes those that are older than history.
func (w *retryWindow) slot(second, history int64) *retrySlot {
	old := 0
	for old < len(w.slots) && second-w.slots[old].second >= history {
		old++
	}
	w.slots = slices.Delete(w.slots, 0, old)
	i := len(w.slots)
	for i > 0 && w.slots[i-1].second > second {
		i--
	}
	if i == 0 || w.slots[i-1].second != second {
		w.slots = slices.Insert(w.slots, i, retrySlot{second: second})
		i++
	}
	return &w.slots[i-1]
}

// recent returns the requests counted in the last requestSeconds and the retries in the last
// retrySeconds.
func (w *retryWindow) recent(second, requestSeconds, retrySeconds int64) (requests, retries int) {
	for _, s := range w.slots {
		age := second - s.second
		if age < requestSeconds {
			requests += s.requests
		}
		if age < retrySeconds {
			retries += s.retries
		}
	}
	return requests, retries
}
