package mclimit

import (
	"sync"
	"time"
)

const (
	// retryShare is the part of recent successes that may be retried or hedged.
	retryShare = 0.1
	// retryFloor lets a group with few successes retry at all: so many in a window.
	retryFloor = 5
	// retrySlots of one second make up the window of recent successes.
	retrySlots = 10
)

type (
	// RetryBudget bounds retries and hedges of each endpoint group to a share of the
	// group's successes within 10 s plus a floor of 5. Safe for use from many
	// goroutines.
	RetryBudget struct {
		mu     sync.Mutex
		groups map[string]*retryWindow
	}

	retryWindow struct {
		slots [retrySlots]retrySlot
	}

	retrySlot struct {
		second             int64
		successes, retries int
	}
)

// Succeeded counts a success of the group.
func (r *RetryBudget) Succeeded(now time.Time, group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(group).slot(now).successes++
}

// Take uses one retry of the group, or returns false when the budget is used up.
func (r *RetryBudget) Take(now time.Time, group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(group)
	successes, retries := w.recent(now)
	if float64(retries) >= retryFloor+retryShare*float64(successes) {
		return false
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
	s := &w.slots[second%retrySlots]
	if s.second != second {
		*s = retrySlot{second: second}
	}
	return s
}

func (w *retryWindow) recent(now time.Time) (successes, retries int) {
	for _, s := range w.slots {
		if now.Unix()-s.second < retrySlots {
			successes += s.successes
			retries += s.retries
		}
	}
	return successes, retries
}
