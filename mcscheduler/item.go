package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// The states of an item.
const (
	stateQueued state = iota
	// stateParked means that no usable endpoint could ever run the item; it waits until
	// the endpoints change.
	stateParked
	stateDispatched
	// stateOrphaned means that the endpoint is gone and only Finish is awaited.
	stateOrphaned
)

type (
	state int

	// item is one submitted attempt, from Submit to its terminal decision or Finish.
	item struct {
		work  marigoldcroft.Work
		pool  *pool
		state state
		lane  int
		class marigoldcroft.Class
		// regionKey identifies the set of home regions; see scheduler.regionKey.
		regionKey string
		// kv is the KV memory of prompt and maximum output, in tokens.
		kv int64
		// sequence counts submissions.
		sequence uint64
		// submitted, deadline and expiry are relative to the scheduler's epoch. Queued
		// work expires at expiry, which is the deadline less the predicted service
		// time.
		submitted time.Duration
		deadline  time.Duration
		expiry    time.Duration
		// boundByStop is true if the planned stop of this instance set the expiry.
		boundByStop bool

		// level is the urgency after ageing; sortKey orders items within a team and
		// level.
		level   int
		sortKey int64
		// topLevelSortKey is an upper bound of sortKey at the most urgent level;
		// math.MaxInt64 means no bound.
		topLevelSortKey int64
		team            *team
		// timerAt is the time of the next ageing step or the expiry.
		timerAt    time.Duration
		queueIndex int
		timerIndex int
		// prefillSeconds is the predicted prefill time, which a queued item adds to its
		// lane's sum.
		prefillSeconds float64
		recallCount    int
		// dispatchedAt is the time of the dispatch; holdEnd is the end of the latest
		// hold on an endpoint for this item.
		dispatchedAt time.Duration
		holdEnd      time.Duration

		endpoint   *endpoint
		prev, next *item
		priority   marigoldcroft.Priority
		// prefill is the predicted uncached part of the prompt, in tokens.
		prefill int64
		// tokensAhead and tokensJoined count other prefill tokens that the engine may
		// have processed between the dispatch and the first token of this item.
		// dispatchedBefore is the endpoint's dispatchedPrefill at the dispatch.
		tokensAhead      float64
		dispatchedBefore int64
		tokensJoined     int64
		chargedService   float64
		// objective is the target time of the first token, at the latest the deadline,
		// relative to the epoch.
		objective time.Duration
		// expectedWait is the part of expectedFirstToken that is spent behind other work.
		expectedWait float64
		// helpers are the endpoints beside endpoint that prefill parts of the prompt.
		helpers []*endpoint
		// kvShards is the number of engines that hold the prompt's KV memory when it
		// does not fit one engine, and kvPerShard is the number of tokens on each.
		// holders are those engines beside endpoint.
		kvShards   int
		kvPerShard int64
		holders    []*endpoint
		// expectedFirstToken is the predicted time from dispatch to first token in
		// seconds.
		expectedFirstToken float64
		// prefixExpected is true when the endpoint was expected to have the prefix
		// cached.
		prefixExpected bool
		lent           bool
		firstToken     bool
	}
)

// setLevel sets the level. At the most urgent one, topLevelSortKey bounds the sort key.
func (it *item) setLevel(level int) {
	it.level = level
	if level == 0 {
		it.sortKey = min(it.sortKey, it.topLevelSortKey)
	}
}

// excludes reports whether the item may never run on the endpoint, because an earlier attempt failed
// there or because it is outside the item's home regions. Every choice of an endpoint asks for it.
func (it *item) excludes(e *endpoint) bool {
	if it.isOutside(e) {
		return true
	}
	for _, name := range it.work.Exclude {
		if name == e.name {
			return true
		}
	}
	return false
}

// weight returns the team's weight, or 1 when none is given.
func (it *item) weight() float64 {
	if it.work.Weight <= 0 {
		return 1
	}
	return it.work.Weight
}

// urgency returns the urgency, clamped to its valid range.
func (it *item) urgency() int {
	return min(max(int(it.work.Urgency), 0), urgencyLevels-1)
}
