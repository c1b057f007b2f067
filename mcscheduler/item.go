package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// The places that an item can be in.
const (
	stateQueued state = iota
	// stateParked means that no usable endpoint could ever run the item; it waits for
	// a change of the endpoints.
	stateParked
	stateDispatched
	// stateOrphaned means that the endpoint went away; only Finish is awaited.
	stateOrphaned
)

type (
	state int

	// item is one piece of work from Submit to its terminal decision or Finish.
	item struct {
		work  marigoldcroft.Work
		pool  *pool
		state state
		lane  int
		class marigoldcroft.Class
		// kv is prompt plus maximum output, in tokens.
		kv int64
		// sequence counts submissions.
		sequence uint64
		// submitted, deadline and expiry count from the scheduler's epoch; queued work
		// expires at expiry, the deadline less the predicted service time.
		submitted time.Duration
		deadline  time.Duration
		expiry    time.Duration

		// level is the urgency after ageing; order sorts within a team and level.
		level   int
		sortKey int64
		// topLevelSortKey bounds order at the highest level; math.MaxInt64 means no bound.
		topLevelSortKey int64
		team            *team
		// timerAt is the time of the next expiry or ageing step.
		timerAt    time.Duration
		queueIndex int
		timerIndex int
		// prefillSeconds is what the item adds to the sums of its lane while queued.
		prefillSeconds float64
		recallCount    int
		// dispatchedAt is the time of the dispatch; holdUntil ends the last hold of an endpoint.
		dispatchedAt time.Duration
		holdEnd      time.Duration

		endpoint   *endpoint
		prev, next *item
		priority   marigoldcroft.Priority
		// prefill is the predicted uncached prompt, in tokens.
		prefill int64
		// tokensAhead and joined are other prefill tokens that the engine may have worked on
		// between the dispatch and the first token of this item.
		tokensAhead      float64
		dispatchedBefore int64
		tokensJoined     int64
		chargedService   float64
		// objective counts from the epoch; waited is the part of expected that was spent
		// behind other work. parts are the endpoints that read parts of the prompt.
		objective    time.Duration
		expectedWait float64
		helpers      []*endpoint
		// kvShards is the number of engines that keep the prompt's memory when it does not fit
		// one, held the tokens of each; holders are those beside endpoint.
		kvShards   int
		kvPerShard int64
		holders    []*endpoint
		// expectedFirstToken is the predicted time from dispatch to first token in seconds.
		expectedFirstToken float64
		// prefixExpected is true when the endpoint was expected to hold the prefix.
		prefixExpected bool
		lent           bool
		firstToken     bool
	}
)

// setLevel sets the level; at the highest one the item sorts by topOrder at the latest.
func (it *item) setLevel(level int) {
	it.level = level
	if level == 0 {
		it.sortKey = min(it.sortKey, it.topLevelSortKey)
	}
}

// excludes tells whether an earlier attempt failed on the endpoint.
func (it *item) excludes(e *endpoint) bool {
	for _, name := range it.work.Exclude {
		if name == e.name {
			return true
		}
	}
	return false
}

// weight returns the team's weight; 1 when none is given.
func (it *item) weight() float64 {
	if it.work.Weight <= 0 {
		return 1
	}
	return it.work.Weight
}

// urgency returns the urgency within its bounds.
func (it *item) urgency() int {
	return min(max(int(it.work.Urgency), 0), urgencyLevels-1)
}
