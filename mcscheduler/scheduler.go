package mcscheduler

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldcroft"
)

const (
	// noDeadline marks work without a deadline. It is a quarter of the largest
	// duration, so that adding to it does not overflow.
	noDeadline = time.Duration(math.MaxInt64 / 4)
	// maxSkipped bounds how many queued items that cannot run yet are skipped in one
	// dispatch attempt; each skipped item costs a scan of all endpoints.
	maxSkipped = 4
	// retryInterval is the time between dispatch attempts when no event has occurred:
	// queued work can become eligible through predicted progress alone.
	retryInterval = 10 * time.Millisecond
	// cleanupInterval is the time between removals of stale team and endpoint records.
	cleanupInterval = 10 * time.Second
	// poolLifetime is the time for which a pool without endpoints is kept for what it has
	// learned.
	poolLifetime = 5 * time.Minute
	// maxFreeItems bounds the free list of items.
	maxFreeItems = 4096
)

// The outcomes of placing an item.
const (
	placed placementResult = iota
	// noEndpoint means that no usable endpoint could run the item even when idle.
	noEndpoint
	// noMemory means that the endpoints that could run the item lack free memory or
	// slots, or are held for another item.
	noMemory
	// endpointsBusy means that every endpoint with enough memory has too much prefill
	// outstanding or is running another crash suspect.
	endpointsBusy
)

type (
	placementResult int

	// policy holds the operations in which the scheduling policies differ.
	policy interface {
		// prepare sets the lane, level, sort key and expiry of a new item.
		prepare(now time.Duration, it *item)
		// place chooses an endpoint.
		place(now time.Duration, it *item) (placement, placementResult)
		// admit returns the reason for refusing the item, or ReasonNone. It also
		// returns the predicted start of the item and the predicted time until the work
		// ahead of it has drained, both in seconds.
		admit(now time.Duration, it *item, at placement, result placementResult) (reason marigoldcroft.Reason, start, drain float64)
		// resolveBlocked is called for a queued item that could not be placed. It may
		// return an item that runs on borrowed capacity, to be recalled; place is then
		// tried again.
		resolveBlocked(now time.Duration, it *item, result placementResult) *item
		// tick runs at each poll.
		tick(now time.Duration, p *pool)
		// missesObjective reports whether a queued item of the most urgent level can no
		// longer meet its objective. Such an item is demoted behind those that can.
		missesObjective(now time.Duration, it *item) bool
		// shardKV divides the KV memory of an item that does not fit one engine among
		// several engines. It returns false when the policy or the fleet cannot run
		// such items.
		shardKV(it *item) bool
		// serviceSeconds predicts the least time from the start of the item to its first
		// token, and from there to the end of its largest output: the caller's estimate of
		// the output and the mean of earlier ones are no bounds. Both are 0 if nothing is
		// known.
		serviceSeconds(now time.Duration, it *item) (prefill, output float64)
		// maxSkips returns how many blocked items a dispatch attempt may skip.
		maxSkips() int
	}

	// placement is the chosen endpoint of an item and the predictions for it.
	placement struct {
		endpoint *endpoint
		// wait and unreportedWait are in seconds. unreportedWait estimates prefill that
		// peers have sent but not yet reported. It affects admission only, since it is
		// assumed to be the same for all endpoints.
		wait           float64
		unreportedWait float64
		prefill        int64
		prefixExpected bool
		lent           bool
		// nextPosition is where the round robin of the baseline policies continues.
		nextPosition int
		// firstTokenDelay is the predicted time in seconds from the start of the
		// prefill to the first token, or 0 when the policy does not predict it.
		firstTokenDelay float64
		// helpers are the endpoints beside endpoint that prefill equal parts of the
		// prompt.
		helpers []*endpoint
	}

	// scheduler implements marigoldcroft.Scheduler for all policies.
	scheduler struct {
		mu       sync.Mutex
		settings Settings
		policy   policy
		source   *rand.PCG
		random   *rand.Rand
		// epoch is the time of the first call. All times are kept as durations since
		// epoch, which preserves the monotonic clock reading and makes comparisons
		// cheap.
		epoch     time.Time
		started   bool
		now       time.Duration
		items     map[marigoldcroft.StreamID]*item
		endpoints map[string]*endpoint
		pools     map[string]*pool
		// poolOrder holds the pools in order of creation, so that polls are
		// deterministic.
		poolOrder []*pool
		timers    indexedHeap
		queued    int
		sequence  uint64
		// memberIndex is the position of this instance among the memberCount instances
		// of the data centre, or -1 when it is not a member.
		memberIndex, memberCount int
		// stopping is true once a planned stop has begun; work must then end before stopAt.
		stopping     bool
		stopAt       time.Duration
		freeItems    []*item
		skippedItems []*item
		blocked      blockedRegions
		regionSets   []regionSet
		nextCleanup  time.Duration
	}
)

var _ marigoldcroft.Scheduler = (*scheduler)(nil)

func newScheduler(settings Settings) *scheduler {
	source := rand.NewPCG(settings.Seed, settings.Seed)
	return &scheduler{
		settings:  settings,
		source:    source,
		random:    rand.New(source),
		items:     make(map[marigoldcroft.StreamID]*item),
		endpoints: make(map[string]*endpoint),
		pools:     make(map[string]*pool),
		timers: indexedHeap{
			less: func(a, b *item) bool {
				return a.timerAt < b.timerAt || a.timerAt == b.timerAt && a.sequence < b.sequence
			},
			indexOf: func(it *item) *int { return &it.timerIndex },
		},
	}
}

// since returns the time elapsed from the epoch to t. The first call sets the epoch.
func (s *scheduler) since(t time.Time) time.Duration {
	if !s.started {
		s.started, s.epoch = true, t
	}
	return t.Sub(s.epoch)
}

// advance moves the scheduler's clock to t and returns it. Concurrent calls may carry
// timestamps slightly out of order; the clock never moves back.
func (s *scheduler) advance(t time.Time) time.Duration {
	s.now = max(s.now, s.since(t))
	return s.now
}

// newItem returns an initialized item, reusing a free one where possible.
func (s *scheduler) newItem(now time.Duration, p *pool, work marigoldcroft.Work) *item {
	var it *item
	if n := len(s.freeItems); n > 0 {
		it, s.freeItems = s.freeItems[n-1], s.freeItems[:n-1]
	} else {
		it = new(item)
	}
	*it = item{
		work: work, pool: p, submitted: now, deadline: noDeadline,
		kv: work.PromptTokens + work.OutputTokens, prefill: p.effectiveTokens(work.PromptTokens),
		sequence: s.sequence, queueIndex: -1, timerIndex: -1, topLevelSortKey: math.MaxInt64,
	}
	if !work.Deadline.IsZero() {
		it.deadline = min(noDeadline, s.since(work.Deadline))
	}
	it.regionKey = s.regionKey(work.Regions)
	it.class = p.class(now, &work, it.regionKey)
	it.prefillSeconds = p.prefillSeconds(it.prefill)
	it.expiry = it.deadline
	s.policy.prepare(now, it)
	return it
}

// recycle adds an unreferenced item to the free list.
func (s *scheduler) recycle(it *item) {
	if len(s.freeItems) < maxFreeItems {
		*it = item{}
		s.freeItems = append(s.freeItems, it)
	}
}

// enqueue puts the item into its lane.
func (s *scheduler) enqueue(now time.Duration, it *item) {
	it.state = stateQueued
	if it.team == nil {
		it.team = it.pool.lanes[it.lane].team(now, it.work.Team)
	}
	it.setLevel(s.agedLevel(now, it))
	it.pool.lanes[it.lane].push(it)
	it.pool.dirty = true
	s.queued++
	s.scheduleTimer(it)
	s.shortenExpiry(now, it)
}

// scheduleTimer sets the item's timer to its next ageing step or its expiry, whichever
// is earlier.
func (s *scheduler) scheduleTimer(it *item) {
	s.timers.remove(it)
	it.timerAt = it.expiry
	if steps := it.urgency() - it.level; it.level > 0 {
		it.timerAt = min(it.timerAt, it.submitted+time.Duration(steps+1)*s.settings.AgingStep)
	}
	s.timers.push(it)
}

// agedLevel returns the urgency level, raised by one step for each AgingStep spent
// waiting.
func (s *scheduler) agedLevel(now time.Duration, it *item) int {
	steps := int((now - it.submitted) / s.settings.AgingStep)
	return max(0, it.urgency()-steps)
}

// dequeue removes a waiting item from its lane or from the parked list.
func (s *scheduler) dequeue(it *item) {
	p := it.pool
	if it.state == stateParked {
		for i, other := range p.parked {
			if other == it {
				p.parked = append(p.parked[:i], p.parked[i+1:]...)
				break
			}
		}
	} else {
		p.lanes[it.lane].remove(it)
	}
	s.timers.remove(it)
	s.queued--
	p.releaseHold(it)
}

// park moves an item that no usable endpoint could run from its lane to the parked
// list.
func (s *scheduler) park(it *item) {
	it.pool.lanes[it.lane].remove(it)
	it.pool.releaseHold(it)
	it.state = stateParked
	it.pool.parked = append(it.pool.parked, it)
}

// unpark returns parked items to their lanes after the endpoints have changed.
func (s *scheduler) unpark(p *pool) {
	for _, it := range p.parked {
		it.state = stateQueued
		p.lanes[it.lane].push(it)
	}
	clear(p.parked)
	p.parked = p.parked[:0]
}

// dispatch reserves resources on the chosen endpoints and returns the decision.
func (s *scheduler) dispatch(now time.Duration, it *item, at placement) marigoldcroft.Decision {
	p := it.pool
	p.releaseHold(it)
	it.state, it.firstToken = stateDispatched, false
	it.prefill, it.prefixExpected, it.lent = at.prefill, at.prefixExpected, at.lent
	it.dispatchedAt, p.rotation = now, at.nextPosition
	it.priority = s.priority(it)
	tokens := float64(it.work.PromptTokens) + float64(it.work.OutputTokens)*p.cost.outputShare.value
	p.lanes[it.lane].charge(now, it, tokens)
	at.endpoint.add(now, it)
	at.endpoint.chargeCold(now)
	if p.plainService {
		p.calls.Begin(now, at.endpoint.name)
	}
	it.helpers = at.helpers
	for i, e := range at.helpers {
		e.addHelperPrefill(now, it)
		if i < it.kvShards-1 {
			e.addShardKV(now, it.kvPerShard)
			it.holders = append(it.holders, e)
		}
	}
	if at.lent {
		at.endpoint.lent = it
		p.longSet.lent++
	}
	if it.class == marigoldcroft.ClassShort {
		p.meanShortPrefill.observe(it.prefillSeconds, it.prefillSeconds, 1)
	}
	p.prefixes.record(now, it.work.PrefixHash, at.endpoint)
	d := it.decision(marigoldcroft.ActionDispatch, marigoldcroft.ReasonNone)
	it.expectedFirstToken = at.wait + at.unreportedWait + float64(at.prefill)/at.endpoint.rate()
	if at.firstTokenDelay > 0 {
		it.expectedFirstToken = at.wait + at.firstTokenDelay
	}
	it.expectedWait = at.wait
	for _, e := range at.helpers {
		d.Helpers = append(d.Helpers, e.name)
	}
	d.HolderCount, d.KVTokensPerHolder = len(it.holders), it.kvPerShard
	d.PredictedStart = seconds(at.wait + at.unreportedWait)
	d.PredictedFirstToken = seconds(it.expectedFirstToken)
	d.PredictedEnd = seconds(s.endSeconds(now, it, at, 0))
	return d
}

// priority returns the engine priority: short before long work, then by urgency. The
// baselines use a single priority.
func (s *scheduler) priority(it *item) marigoldcroft.Priority {
	if _, isBaseline := s.policy.(*baseline); isBaseline {
		return 0
	}
	p := marigoldcroft.Priority(urgencyLevels - 1 - it.level)
	if it.class == marigoldcroft.ClassShort {
		p += minShortPriority
	}
	return p
}

// releaseDispatched releases all reservations of a dispatched item.
func (s *scheduler) releaseDispatched(now time.Duration, it *item) {
	s.endPrefill(now, it)
	for _, e := range it.holders {
		e.addShardKV(now, -it.kvPerShard)
	}
	it.holders = nil
	it.pool.calls.End(it.dispatchedAt, it.endpoint.name)
	it.endpoint.drop(now, it)
	it.pool.dirty = true
}

// endPrefill ends the prefill phase of a dispatched item on all of its endpoints.
func (s *scheduler) endPrefill(now time.Duration, it *item) {
	if it.endpoint.lent == it {
		it.pool.longSet.lent--
	}
	it.endpoint.endPrefill(now, it)
	for _, e := range it.helpers {
		e.dropHelperPrefill(now, it)
	}
	it.helpers = nil
	it.pool.dirty = true
}

// decision returns a decision about the item.
func (it *item) decision(action marigoldcroft.Action, reason marigoldcroft.Reason) marigoldcroft.Decision {
	d := marigoldcroft.Decision{
		ID: it.work.ID, Action: action, Reason: reason, Class: it.class, Priority: it.priority,
	}
	if it.endpoint != nil {
		d.Endpoint = it.endpoint.name
	}
	return d
}
