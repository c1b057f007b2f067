package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// Submit admits and dispatches, admits and queues, or refuses the work. If the id is
// already held, the decision is ActionWait and the first submission continues
// unchanged.
func (s *scheduler) Submit(t time.Time, work marigoldcroft.Work) marigoldcroft.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	if it := s.items[work.ID]; it != nil {
		return marigoldcroft.Decision{ID: work.ID, Action: marigoldcroft.ActionWait, Class: it.class}
	}
	it, at, d := s.evaluate(now, work)
	if it == nil {
		return d
	}
	if d.Action == marigoldcroft.ActionRefuse {
		s.recycle(it)
		return d
	}
	s.sequence++
	s.items[work.ID] = it
	if d.Action == marigoldcroft.ActionDispatch {
		return s.dispatch(now, it, at)
	}
	s.enqueue(now, it)
	return d
}

// evaluate decides about new work without storing it. The returned item is nil when the
// work was refused before an item was created.
func (s *scheduler) evaluate(now time.Duration, work marigoldcroft.Work) (*item, placement, marigoldcroft.Decision) {
	p := s.pools[work.Model]
	if p == nil || len(p.live) == 0 {
		d := s.refuseUnplaced(work.ID, p, nil)
		if d.Reason == marigoldcroft.ReasonNoEndpoint {
			d.Reason = reasonWithoutEndpoint(&work)
		}
		return nil, placement{}, d
	}
	it := s.newItem(now, p, work)
	switch {
	case it.hasNoRegion():
		return it, placement{}, s.refuse(it, marigoldcroft.ReasonRegion, 0)
	case it.class == marigoldcroft.ClassHuge && !s.policy.shardKV(it):
		return it, placement{}, it.decision(marigoldcroft.ActionRefuse, marigoldcroft.ReasonTooLarge)
	case it.deadline <= now:
		return it, placement{}, s.refuse(it, marigoldcroft.ReasonDeadline, 0)
	case !p.couldRun(it):
		return it, placement{}, s.refuseUnplaced(work.ID, p, it)
	case p.pausedPastExpiry(now, it):
		return it, placement{}, s.refuseForPause(now, it, marigoldcroft.ActionRefuse)
	}
	var at placement
	result := endpointsBusy
	if !p.mustQueue(now, it) {
		at, result = s.policy.place(now, it)
	}
	reason, start, drain := s.policy.admit(now, it, at, result)
	if reason == marigoldcroft.ReasonNone && result != placed && p.queued() >= s.settings.QueueLength {
		reason = marigoldcroft.ReasonQueueFull
	}
	if !s.endsInTime(now, it, at, start) {
		return it, at, s.refuseForStop(it, marigoldcroft.ActionRefuse)
	}
	if reason != marigoldcroft.ReasonNone {
		return it, at, s.refuse(it, reason, drain)
	}
	action, prefill := marigoldcroft.ActionWait, it.prefillSeconds
	if result == placed {
		action, prefill = marigoldcroft.ActionDispatch, float64(at.prefill)/at.endpoint.rate()
	}
	d := it.decision(action, marigoldcroft.ReasonNone)
	d.PredictedStart = seconds(start)
	d.PredictedFirstToken = seconds(start + prefill)
	d.PredictedEnd = seconds(s.endSeconds(now, it, at, start))
	return it, at, d
}

// refuse returns a refusal with a randomized retry delay.
func (s *scheduler) refuse(it *item, reason marigoldcroft.Reason, drain float64) marigoldcroft.Decision {
	d := it.decision(marigoldcroft.ActionRefuse, reason)
	d.RetryAfter = s.retryAfter(drain)
	return d
}

// retryAfter returns a delay with full jitter up to the predicted drain time in
// seconds, so that refused callers do not retry in step.
func (s *scheduler) retryAfter(drain float64) time.Duration {
	limit := min(max(seconds(drain), s.settings.RetryBase), maxRetryAfter)
	return 1 + time.Duration(s.random.Int64N(int64(limit)))
}

// Poll appends the decisions that are due: expirations first, then recalls and
// dispatches. A poll without any change is cheap.
func (s *scheduler) Poll(t time.Time, decisions []marigoldcroft.Decision) []marigoldcroft.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	for it := s.timers.top(); it != nil && it.timerAt <= now; it = s.timers.top() {
		if it.expiry <= now {
			decisions = append(decisions, s.expire(it))
			continue
		}
		s.applyAging(now, it)
	}
	for _, p := range s.poolOrder {
		s.policy.tick(now, p)
		if s.queued > 0 {
			decisions = s.dropRegionless(p, decisions)
		}
		if s.queued > 0 && (p.dirty || p.nextDispatchAt <= now) {
			decisions = s.dispatchQueued(now, p, decisions)
		}
	}
	if now >= s.nextCleanup {
		s.nextCleanup = now + cleanupInterval
		s.removeStale(now)
	}
	return decisions
}

// removeStale drops the fairness state of idle teams, the learned rates of idle endpoints
// and unused pools.
func (s *scheduler) removeStale(now time.Duration) {
	for _, p := range s.poolOrder {
		for i := range p.lanes {
			p.lanes[i].removeIdleTeams(now)
		}
		for _, e := range p.endpoints {
			e.expireRates(now)
		}
	}
	s.dropPools(now)
}

// expire ends a waiting item that can no longer meet its deadline.
func (s *scheduler) expire(it *item) marigoldcroft.Decision {
	s.dequeue(it)
	delete(s.items, it.work.ID)
	if it.boundByStop {
		d := s.refuseForStop(it, marigoldcroft.ActionExpire)
		s.recycle(it)
		return d
	}
	reason := marigoldcroft.ReasonDeadline
	if it.state == stateParked {
		reason = marigoldcroft.ReasonEndpointGone
	}
	d := it.decision(marigoldcroft.ActionExpire, reason)
	s.recycle(it)
	return d
}

// expireForPause ends a waiting item that no endpoint takes in time.
func (s *scheduler) expireForPause(now time.Duration, it *item) marigoldcroft.Decision {
	s.dequeue(it)
	delete(s.items, it.work.ID)
	d := s.refuseForPause(now, it, marigoldcroft.ActionExpire)
	s.recycle(it)
	return d
}

// applyAging raises a waiting item by the ageing steps that are due.
func (s *scheduler) applyAging(now time.Duration, it *item) {
	level := s.agedLevel(now, it)
	if it.state == stateParked {
		it.setLevel(level)
	} else {
		l := &it.pool.lanes[it.lane]
		l.remove(it)
		it.setLevel(level)
		l.push(it)
		it.pool.dirty = true
	}
	s.scheduleTimer(it)
}

// dispatchQueued places queued items of the pool until no more can be placed.
func (s *scheduler) dispatchQueued(now time.Duration, p *pool, decisions []marigoldcroft.Decision) []marigoldcroft.Decision {
	p.dirty, p.nextDispatchAt = false, now+retryInterval
	for i := range p.lanes {
		l := &p.lanes[i]
		s.skippedItems = s.skippedItems[:0]
		s.blocked.reset()
		for it := l.first(); it != nil; it = l.first() {
			if s.passOver(it) {
				if !s.setAside(l, it) {
					break
				}
				continue
			}
			if it.level == 0 && it.work.Urgency == marigoldcroft.UrgencyInteractive && s.policy.missesObjective(now, it) {
				s.demote(now, it)
				continue
			}
			at, result := s.policy.place(now, it)
			if result != placed && result != noEndpoint {
				if recalled := s.policy.resolveBlocked(now, it, result); recalled != nil {
					decisions = append(decisions, s.recall(now, recalled))
					continue
				}
			}
			switch {
			case result == placed && !s.endsInTime(now, it, at, 0):
				it.boundByStop = true
				decisions = append(decisions, s.expire(it))
				continue
			case result == placed:
				s.dequeue(it)
				decisions = append(decisions, s.dispatch(now, it, at))
				continue
			case result == noEndpoint && !it.work.Begun && p.evacuated(it):
				decisions = append(decisions, s.expireForEvacuation(it, 0))
				continue
			case result == noEndpoint:
				s.park(it)
				continue
			case p.pausedPastExpiry(now, it):
				decisions = append(decisions, s.expireForPause(now, it))
				continue
			}
			if !s.setAside(l, it) {
				break
			}
		}
		for _, it := range s.skippedItems {
			l.push(it)
		}
	}
	if p.evacuating {
		return s.readmitQueued(now, p, decisions)
	}
	return decisions
}

// demote moves a queued item behind those of the most urgent level and sorts it by its
// deadline.
func (s *scheduler) demote(now time.Duration, it *item) {
	l := &it.pool.lanes[it.lane]
	l.remove(it)
	it.work.Urgency = marigoldcroft.UrgencyNormal
	it.sortKey = int64(it.deadline)
	it.setLevel(s.agedLevel(now, it))
	l.push(it)
	s.scheduleTimer(it)
}

// recall withdraws lent work before its first token and queues it again.
func (s *scheduler) recall(now time.Duration, it *item) marigoldcroft.Decision {
	d := it.decision(marigoldcroft.ActionRecall, marigoldcroft.ReasonLentRecalled)
	it.endpoint.noLendUntil = now + lendPause
	s.releaseDispatched(now, it)
	it.endpoint, it.lent = nil, false
	it.team.served -= it.chargedService
	it.recallCount++
	it.work.Begun = true // the engine may have begun it
	s.enqueue(now, it)
	return d
}

// FirstToken ends the prefill of the attempt; unknown ids are ignored.
func (s *scheduler) FirstToken(t time.Time, id marigoldcroft.StreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	if it := s.items[id]; it != nil && it.state == stateDispatched {
		if !it.firstToken {
			it.pool.observeFirstToken(now, it)
		}
		s.endPrefill(now, it)
	}
}

// Finish releases all resources that the attempt holds; unknown ids are ignored.
func (s *scheduler) Finish(t time.Time, id marigoldcroft.StreamID, done marigoldcroft.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	it := s.items[id]
	if it == nil {
		return
	}
	switch it.state {
	case stateQueued, stateParked:
		s.dequeue(it)
	case stateDispatched:
		s.releaseDispatched(now, it)
		if done.NotSent {
			break
		}
		residence := (now - it.dispatchedAt).Seconds()
		if it.pool.residence.samples == 0 {
			it.pool.residence.value = residence // there is no initial estimate
		}
		it.pool.residence.observe(residence, residence, 1)
		it.pool.observeCompletion(now, it, done)
	}
	delete(s.items, id)
	s.recycle(it)
}

// ObservePassTime records the shortest time between two events of an attempt's answer.
func (s *scheduler) ObservePassTime(t time.Time, id marigoldcroft.StreamID, shortest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	if it := s.items[id]; it != nil && it.state == stateDispatched && it.pool.publishesFigures() {
		it.endpoint.observePassSlowdown(now, shortest)
	}
}

// ObserveReport takes a load report. Reports of unknown endpoints and reports older than the
// latest one are ignored.
func (s *scheduler) ObserveReport(requestedAt time.Time, report marigoldcroft.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[report.Endpoint]
	if e == nil {
		return
	}
	usable, capacity := e.usable(), e.capacity
	if !e.observe(s.since(requestedAt), report) {
		return
	}
	e.pool.dirty = true
	if e.usable() != usable || e.capacity != capacity {
		e.pool.refresh()
		s.unpark(e.pool)
	}
}

// ObservePeer replaces what a peer has in flight on an endpoint. The caller reports
// zero for work that ended and for peers that are gone.
func (s *scheduler) ObservePeer(t time.Time, peer, name string, in marigoldcroft.InFlight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	if e := s.endpoints[name]; e != nil {
		e.observePeer(now, peer, in)
		e.pool.dirty = true
	}
}

// EndpointDown marks the endpoint as dead until a report requested later is observed.
// Reservations there are released; its attempts remain known until Finish.
func (s *scheduler) EndpointDown(t time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	e := s.endpoints[name]
	if e == nil {
		return
	}
	e.down, e.downAt = true, now
	s.orphan(now, e)
	e.peers, e.others = nil, load{}
	e.sumPeers(now)
	e.pool.refresh()
}

// orphan releases all reservations of own work on the endpoint.
func (s *scheduler) orphan(now time.Duration, e *endpoint) {
	for it := e.items; it != nil; it = e.items {
		s.releaseDispatched(now, it)
		it.state, it.endpoint = stateOrphaned, nil
	}
}

// SetEndpoints replaces the set of endpoints. Work on an endpoint that is no longer
// listed loses its reservation and remains known until Finish; work on a leaving
// endpoint continues.
func (s *scheduler) SetEndpoints(t time.Time, list []marigoldcroft.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance(t)
	kept := make(map[string]*endpoint, len(list))
	for _, listed := range list {
		e := s.endpoints[listed.Name()]
		if e == nil || e.pool.name != listed.Pool() {
			e = newEndpoint(now, s.pool(listed.Pool()), listed.Name(), s.settings.KVCapacityTokens)
		}
		e.applyLeaving(listed)
		e.applyListing(listed)
		e.applyCold(listed, s.since)
		kept[e.name] = e
	}
	for name, e := range s.endpoints {
		if kept[name] != e {
			s.orphan(now, e)
			e.peers = nil
			e.sumPeers(now)
			if e.heldFor != nil {
				e.pool.releaseHold(e.heldFor)
			}
		}
	}
	s.endpoints = kept
	for _, p := range s.poolOrder {
		p.endpoints = p.endpoints[:0]
	}
	for _, e := range kept {
		e.pool.endpoints = append(e.pool.endpoints, e)
	}
	s.dropPools(now)
	for _, p := range s.poolOrder {
		p.sort()
		s.unpark(p)
		// Work that is queued later is admitted by the endpoints that are left.
		p.evacuating = p.evacuating && p.queued() > 0
	}
}

// pool returns the pool of a model and creates it when needed.
func (s *scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, cost: newCostModel(s.settings), shortLimit: s.settings.ShortLimit, now: &s.now}
		s.pools[name] = p
		s.poolOrder = append(s.poolOrder, p)
	}
	return p
}

// dropPools removes the pools that have had neither endpoints nor waiting work for
// poolLifetime.
func (s *scheduler) dropPools(now time.Duration) {
	order := s.poolOrder[:0]
	for _, p := range s.poolOrder {
		switch {
		case len(p.endpoints) > 0 || p.queued() > 0:
			p.usedAt = now
		case now-p.usedAt > poolLifetime:
			delete(s.pools, p.name)
			continue
		default:
			// The next endpoint may be of another kind.
			p.figures = marigoldcroft.EnginePerformance{}
		}
		order = append(order, p)
	}
	clear(s.poolOrder[len(order):])
	s.poolOrder = order
}
