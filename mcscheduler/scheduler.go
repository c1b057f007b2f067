package mcscheduler

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldcroft"
)

const (
	// noDeadline stands for work without a deadline; a quarter of the range leaves
	// room for sums.
	noDeadline = time.Duration(math.MaxInt64 / 4)
	// maxSkipped bounds how many pieces of work that do not fit now are passed over in
	// one attempt; each costs one look at all endpoints.
	maxSkipped = 4
	// retryInterval is the time between attempts without a change; waiting work may
	// become due by predicted progress alone.
	retryInterval = 10 * time.Millisecond
	// cleanupInterval is the time between two searches for outdated records.
	cleanupInterval = 10 * time.Second
	// maxFreeItems bounds the recycled items.
	maxFreeItems = 4096
)

// The outcomes of a placement.
const (
	placed placementResult = iota
	// noEndpoint means that no usable endpoint could run the work even when idle.
	noEndpoint
	noMemory
	// endpointsBusy means that the endpoints with enough memory have too much prefill
	// outstanding or run another suspect.
	endpointsBusy
)

type (
	placementResult int

	// policy is what the policies differ in.
	policy interface {
		// prepare sets the lane, the level, the order and the expiry of a new item.
		prepare(now time.Duration, it *item)
		// place chooses an endpoint.
		place(now time.Duration, it *item) (placement, placementResult)
		// admit returns the reason to refuse the item or "", and its predicted start and
		// the time until the work ahead has drained, in seconds.
		admit(now time.Duration, it *item, at placement, why placementResult) (reason marigoldcroft.Reason, start, drain float64)
		// resolveBlocked is called for waiting work that could not be placed. It may recall lent
		// work, after which place is tried again.
		resolveBlocked(now time.Duration, it *item, why placementResult) *item
		// tick runs at each poll.
		tick(now time.Duration, p *pool)
		// missesObjective tells whether queued work of the first level can no longer meet its
		// objective; it then goes behind the work that can.
		missesObjective(now time.Duration, it *item) bool
		// shardKV prepares an item larger than one engine's memory for several engines; it
		// returns false when the policy runs none.
		shardKV(it *item) bool
		// maxSkips returns how many pieces of work may be passed over.
		maxSkips() int
	}

	// placement is where an item goes and what is predicted of it.
	placement struct {
		endpoint *endpoint
		// wait and unseen are in seconds; unseen is predicted of peers and affects
		// admission only, as it is the same for all endpoints.
		wait           float64
		unreportedWait float64
		prefill        int64
		prefixExpected bool
		lent           bool
		// nextPosition is where the rotation of the baselines goes on.
		nextPosition int
		// firstTokenDelay is the predicted time in seconds from the start of the prefill to the first
		// token, where the policy predicts it.
		firstTokenDelay float64
		// helpers are the endpoints that read equal helpers of the prompt beside endpoint.
		helpers []*endpoint
	}

	// scheduler implements marigoldcroft.Scheduler for all policies.
	scheduler struct {
		mu       sync.Mutex
		settings Settings
		policy   policy
		source   *rand.PCG
		random   *rand.Rand
		// epoch is the time of the first call; all times are kept relative to it, which
		// keeps the monotonic reading and makes them cheap to compare.
		epoch     time.Time
		started   bool
		now       time.Duration
		items     map[marigoldcroft.StreamID]*item
		endpoints map[string]*endpoint
		pools     map[string]*pool
		// poolOrder holds the pools in the poolOrder of their creation, for repeatable polls.
		poolOrder []*pool
		timers    indexedHeap
		queued    int
		sequence  uint64
		// memberIndex is this instance's place among the memberCount instances of the data centre.
		memberIndex, memberCount int
		freeItems                []*item
		skippedItems             []*item
		nextCleanup              time.Duration
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

// since converts a time to one relative to the epoch.
func (s *scheduler) since(t time.Time) time.Duration {
	if !s.started {
		s.started, s.epoch = true, t
	}
	return t.Sub(s.epoch)
}

// advance converts the time of a call. Calls of many goroutines may carry times slightly
// out of order; the state only moves forward.
func (s *scheduler) advance(t time.Time) time.Duration {
	s.now = max(s.now, s.since(t))
	return s.now
}

// newItem returns a cleared item, recycled where possible.
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
	it.class = p.class(now, &work)
	it.prefillSeconds = p.prefillSeconds(it.prefill)
	it.expiry = it.deadline
	s.policy.prepare(now, it)
	return it
}

// recycle keeps an item that nothing refers to any more.
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
}

// scheduleTimer sets the timer to the next ageing step or the expiry.
func (s *scheduler) scheduleTimer(it *item) {
	s.timers.remove(it)
	it.timerAt = it.expiry
	if steps := it.urgency() - it.level; it.level > 0 {
		it.timerAt = min(it.timerAt, it.submitted+time.Duration(steps+1)*s.settings.AgingStep)
	}
	s.timers.push(it)
}

// agedLevel returns the urgency, raised by one for each step of waiting.
func (s *scheduler) agedLevel(now time.Duration, it *item) int {
	steps := int((now - it.submitted) / s.settings.AgingStep)
	return max(0, it.urgency()-steps)
}

// dequeue takes waiting work out of its lane or out of the parked list.
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

// park takes work that no usable endpoint could run out of the turn.
func (s *scheduler) park(it *item) {
	it.pool.lanes[it.lane].remove(it)
	it.pool.releaseHold(it)
	it.state = stateParked
	it.pool.parked = append(it.pool.parked, it)
}

// unpark puts parked work back after a change of the endpoints.
func (s *scheduler) unpark(p *pool) {
	for _, it := range p.parked {
		it.state = stateQueued
		p.lanes[it.lane].push(it)
	}
	clear(p.parked)
	p.parked = p.parked[:0]
}

// dispatch reserves memory and returns the decision.
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
	d.Holders, d.HeldTokens = len(it.holders), it.kvPerShard
	d.PredictedStart = seconds(at.wait + at.unreportedWait)
	d.PredictedFirstToken = seconds(it.expectedFirstToken)
	return d
}

// priority returns the engine priority: short before long, then by urgency.
func (s *scheduler) priority(it *item) marigoldcroft.Priority {
	if _, blind := s.policy.(*baseline); blind {
		return 0
	}
	p := marigoldcroft.Priority(urgencyLevels - 1 - it.level)
	if it.class == marigoldcroft.ClassShort {
		p += minShortPriority
	}
	return p
}

// releaseDispatched releases what a dispatched item holds.
func (s *scheduler) releaseDispatched(now time.Duration, it *item) {
	s.endPrefill(now, it)
	for _, e := range it.holders {
		e.addShardKV(now, -it.kvPerShard)
	}
	it.holders = nil
	it.endpoint.drop(now, it)
	it.pool.dirty = true
}

// endPrefill ends the prefill of a dispatched item.
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
