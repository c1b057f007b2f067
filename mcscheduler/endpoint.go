package mcscheduler

import (
	"time"

	"marigoldcroft"
)

const (
	// historyLength bounds the history of own load per endpoint. At 25 dispatches a
	// second on one endpoint, it covers reportLifetime.
	historyLength = 512
	// priorityCount is the number of engine priorities: two classes by three urgencies.
	priorityCount = 6
	// minShortPriority is the lowest priority of short work.
	minShortPriority = 3
)

type (
	// load is an amount of work on an endpoint; kv and prefill are in tokens.
	load struct {
		count   int
		kv      int64
		prefill int64
	}

	// classTokens are prefill tokens by class.
	classTokens struct{ short, long float64 }

	// loadSnapshot is this instance's own load on an endpoint from a point in time on.
	loadSnapshot struct {
		at   time.Duration
		load load
	}

	// endpoint is this instance's view of one endpoint. The load of others is the
	// latest report less what this instance and its peers had there when the report was
	// requested. Own work is counted exactly, so that a report never hides a later
	// dispatch.
	endpoint struct {
		name               string
		pool               *pool
		leaving, evacuated bool
		// region is the region of the endpoint's data centre, or "" if it is not known.
		region string
		// peerOwned is true for an endpoint that is assigned to another instance; see
		// peerOwnedWaitFactor.
		peerOwned       bool
		reportedLeaving bool
		down            bool
		downAt          time.Duration
		// pausedUntil is the time until which the endpoint gets no new work.
		pausedUntil time.Duration
		cold        coldState
		rates       learnedRates
		// sampledAt is the time of the last completion that updated rates.
		sampledAt time.Duration
		// rank is the rendezvous hash of the model and the name.
		rank uint64

		// slots is the number of requests that run at once, or 0 when it is not known.
		slots int
		// slowdown is how many times slower than published the endpoint answered, as of
		// slowdownAt.
		slowdown   float64
		slowdownAt time.Duration

		hasReport     bool
		incarnation   uint64
		reportAskedAt time.Duration
		// restartedAt is the time of the first report after a restart; prefixes sent earlier
		// are no longer cached.
		restartedAt time.Duration
		capacity    int64
		// others is the reported load that belongs neither to this instance nor to
		// known peers. Its prefill tokens do include those of peers.
		others load

		own load
		// shortInFlight and longInFlight count own requests in flight; suspectsInFlight
		// counts those that ask for an endpoint without another crash suspect
		// (IsolateSuspect).
		shortInFlight, longInFlight, suspectsInFlight int
		// longInPrefill counts own long requests without a first token.
		longInPrefill int
		lent          *item
		noLendUntil   time.Duration
		// heldFor is the queued item for which the endpoint is held. The hold excludes
		// other long work, and short work too if holdExcludesShort is set.
		heldFor           *item
		holdExcludesShort bool
		// items is the head of the linked list of own items in flight.
		items *item
		// outstanding sums, by priority, the prefill tokens of own work without a first
		// token. remaining is the part of them that was predicted to be left at
		// settledAt.
		outstanding [priorityCount]int64
		remaining   [priorityCount]float64
		settledAt   time.Duration
		// dispatchedPrefill counts all own prefill tokens ever sent to the endpoint.
		dispatchedPrefill int64
		history           []loadSnapshot

		peers map[string]*peerLoad
		// peerSum is the sum of the peers' loads; peerPrefillLeft is the part of their
		// prefill that was predicted to be left at peerAt.
		peerSum         load
		peerPrefillLeft classTokens
		// peerShortInFlight counts the peers' short requests in flight.
		peerShortInFlight int
		// peerEngineShare is the sum of engineShare over the peers' long requests in flight.
		peerEngineShare int64
		peerAt          time.Duration
	}
)

// usable reports whether new work may be sent to the endpoint.
func (e *endpoint) usable() bool { return !e.leaving && !e.reportedLeaving && !e.down }

// free returns the KV tokens that are neither reserved nor used, as far as is known.
func (e *endpoint) free(now time.Duration) int64 {
	return e.capacity - e.own.kv - e.peerSum.kv - e.otherLoad(now).kv
}

// requests returns the number of requests that are running or waiting there.
func (e *endpoint) requests(now time.Duration) int {
	return e.own.count + e.peerSum.count + e.otherLoad(now).count
}

// ownPrefill returns what was predicted to be left of own prefill at settledAt.
func (e *endpoint) ownPrefill() classTokens {
	var own classTokens
	for p, left := range e.remaining {
		if p < minShortPriority {
			own.long += left
		} else {
			own.short += left
		}
	}
	return own
}

// ownPrefillLeft returns what is left of own prefill, which shares the engine with the
// work of others that was outstanding at settledAt.
func (e *endpoint) ownPrefillLeft(now time.Duration, rate float64, own classTokens) classTokens {
	beside := e.otherPrefillBeside(e.settledAt, rate, own)
	return drainPrefill(own, beside, rate*(now-e.settledAt).Seconds())
}

// backlog returns the prefill tokens, own and others', that the engine processes before
// new work of the priority, and the long part of all outstanding prefill.
func (e *endpoint) backlog(now time.Duration, priority marigoldcroft.Priority, rate float64) (ahead, long float64) {
	if e.own.prefill == 0 {
		other := e.otherPrefillBeside(now, rate, classTokens{})
		if ahead = other.short; priority < minShortPriority {
			ahead += other.long
		}
		return ahead, other.long
	}
	own := e.ownPrefill()
	other := e.otherPrefillBeside(now, rate, own)
	left := e.ownPrefillLeft(now, rate, own)
	// Less urgent own work of the same class is not ahead. Progress is attributed to
	// the more urgent part first.
	behind := 0.0
	for p := range int(priority) {
		if (p < minShortPriority) == (priority < minShortPriority) {
			behind += e.remaining[p]
		}
	}
	if priority >= minShortPriority {
		return max(0, left.short-min(behind, left.short)) + other.short, left.long + other.long
	}
	ahead = left.short + max(0, left.long-behind) + other.short + other.long
	return ahead, left.long + other.long
}

// settle applies the predicted progress of own prefill up to now, higher priorities
// first.
func (e *endpoint) settle(now time.Duration) {
	if e.own.prefill > 0 {
		rate, own := e.rate(), e.ownPrefill()
		left := e.ownPrefillLeft(now, rate, own)
		worked := [2]float64{own.long - left.long, own.short - left.short}
		for p := priorityCount - 1; p >= 0; p-- {
			part := min(worked[p/minShortPriority], e.remaining[p])
			e.remaining[p] -= part
			worked[p/minShortPriority] -= part
		}
	}
	e.settledAt = now
}

// add reserves the resources of the item.
func (e *endpoint) add(now time.Duration, it *item) {
	e.settle(now)
	it.tokensAhead, _ = e.backlog(now, it.priority, e.rate())
	e.own.count++
	e.own.kv += it.kv
	e.own.prefill += it.prefill
	e.outstanding[it.priority] += it.prefill
	e.remaining[it.priority] += float64(it.prefill)
	e.dispatchedPrefill += it.prefill
	it.dispatchedBefore = e.dispatchedPrefill
	if it.class == marigoldcroft.ClassShort {
		e.shortInFlight++
		e.pool.shortInFlight++
		e.pool.outstandingShortPrefill += it.prefill
	} else {
		e.longInFlight++
		e.longInPrefill++
	}
	if it.work.IsolateSuspect {
		e.suspectsInFlight++
	}
	it.endpoint, it.prev, it.next = e, nil, e.items
	if e.items != nil {
		e.items.prev = it
	}
	e.items = it
	e.recordLoad(now)
}

// publishedPrefill returns the own prefill tokens that are announced to peers: the
// predicted remainder where engines publish their figures, otherwise all outstanding
// tokens.
func (e *endpoint) publishedPrefill(now time.Duration) int64 {
	if !e.pool.publishesFigures() {
		return e.own.prefill
	}
	e.settle(now)
	own := e.ownPrefill()
	return int64(own.short + own.long)
}

// applyListing applies what the instance list publishes about the endpoint.
func (e *endpoint) applyListing(listed marigoldcroft.Endpoint) {
	e.applyRegion(listed.Region())
	e.slots = listed.Slots()
	e.pool.plainService = listed.Kind() == marigoldcroft.EndpointService
	figures := listed.Performance()
	if figures.PrefillTokensPerSecond <= 0 {
		return
	}
	e.pool.figures = figures
	if e.slots == 0 {
		e.slots = figures.Slots
	}
	if figures.MemoryTokens > 0 {
		e.capacity = figures.MemoryTokens
	}
	e.pool.cost.prefillRate.value = figures.PrefillTokensPerSecond
}

// hasLongPrefill reports whether a long prompt with this endpoint as its first engine
// is still in prefill.
func (e *endpoint) hasLongPrefill() bool {
	if e.longInPrefill > 0 {
		return true
	}
	for _, p := range e.peers {
		if p.longCount > 0 && p.current.prefill > 0 {
			return true
		}
	}
	return false
}

// addHelperPrefill reserves the prefill of a part of the item's prompt.
func (e *endpoint) addHelperPrefill(now time.Duration, it *item) {
	e.settle(now)
	e.own.prefill += it.prefill
	e.outstanding[it.priority] += it.prefill
	e.remaining[it.priority] += float64(it.prefill)
	e.dispatchedPrefill += it.prefill
	e.recordLoad(now)
}

// addShardKV reserves KV memory for a prompt whose first engine is another one; a
// negative number releases it.
func (e *endpoint) addShardKV(now time.Duration, tokens int64) {
	e.own.kv += tokens
	e.recordLoad(now)
}

// dropHelperPrefill releases what addHelperPrefill reserved.
func (e *endpoint) dropHelperPrefill(now time.Duration, it *item) {
	e.settle(now)
	e.own.prefill -= it.prefill
	e.outstanding[it.priority] -= it.prefill
	e.remaining[it.priority] = min(e.remaining[it.priority], float64(e.outstanding[it.priority]))
	e.recordLoad(now)
}

// endPrefill removes the item from the outstanding prefill. It is idempotent.
func (e *endpoint) endPrefill(now time.Duration, it *item) {
	if it.firstToken {
		return
	}
	it.firstToken = true
	e.settle(now)
	it.tokensJoined = e.dispatchedPrefill - it.dispatchedBefore
	other := e.otherPrefill(now, e.rate())
	it.tokensJoined += int64(other.short)
	if it.priority < minShortPriority {
		it.tokensJoined += int64(other.long)
	}
	e.own.prefill -= it.prefill
	e.outstanding[it.priority] -= it.prefill
	e.remaining[it.priority] = min(e.remaining[it.priority], float64(e.outstanding[it.priority]))
	if it.class == marigoldcroft.ClassShort {
		e.pool.outstandingShortPrefill -= it.prefill
	} else {
		e.longInPrefill--
	}
	if e.lent == it {
		e.lent = nil
	}
}

// drop releases all resources of the item.
func (e *endpoint) drop(now time.Duration, it *item) {
	e.endPrefill(now, it)
	e.own.count--
	e.own.kv -= it.kv
	if it.class == marigoldcroft.ClassShort {
		e.shortInFlight--
		e.pool.shortInFlight--
	} else {
		e.longInFlight--
	}
	if it.work.IsolateSuspect {
		e.suspectsInFlight--
	}
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		e.items = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	e.recordLoad(now)
}

// recordLoad appends the current own load to the history.
func (e *endpoint) recordLoad(now time.Duration) {
	if n := len(e.history); n > 0 && e.history[n-1].at == now {
		e.history[n-1].load = e.own
		return
	}
	if len(e.history) >= historyLength {
		n := copy(e.history, e.history[historyLength/2:])
		e.history = e.history[:n]
	}
	e.history = append(e.history, loadSnapshot{at: now, load: e.own})
}

// ownLoadAt returns the own load at a point in time.
func (e *endpoint) ownLoadAt(at time.Duration) load {
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].at <= at {
			return e.history[i].load
		}
	}
	return load{}
}
