package mcscheduler

import (
	"time"

	"marigoldcroft"
)

const (
	// reportLifetime is the age at which the load of others in a report no longer
	// counts, so that an endpoint whose reports have stopped is not blocked
	// permanently.
	reportLifetime = 10 * time.Second
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

	// peerLoad holds the current and the previous load that a peer has announced for an
	// endpoint. atReport is the one that was current when the endpoint's latest report
	// was requested.
	peerLoad struct {
		at         time.Duration
		current    load
		previous   load
		atReport   load
		hasLong    bool
		shortCount int
		// longCount is the number of the peer's long requests on the endpoint.
		longCount int
	}

	// endpoint is this instance's view of one endpoint. The load of others is the
	// latest report less what this instance and its peers had there when the report was
	// requested. Own work is counted exactly, so that a report never hides a later
	// dispatch.
	endpoint struct {
		name    string
		pool    *pool
		leaving bool
		// peerOwned is true for an endpoint that is assigned to another instance; see
		// peerOwnedWaitFactor.
		peerOwned       bool
		reportedLeaving bool
		down            bool
		downAt          time.Duration
		// pausedUntil is the time until which the endpoint gets no new work.
		pausedUntil time.Duration
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

// otherLoad returns the load of unknown others from the latest report, or zero once the
// report has expired.
func (e *endpoint) otherLoad(now time.Duration) load {
	if now-e.reportAskedAt > reportLifetime {
		return load{}
	}
	return e.others
}

// free returns the KV tokens that are neither reserved nor used, as far as is known.
func (e *endpoint) free(now time.Duration) int64 {
	return e.capacity - e.own.kv - e.peerSum.kv - e.otherLoad(now).kv
}

// requests returns the number of requests that are running or waiting there.
func (e *endpoint) requests(now time.Duration) int {
	return e.own.count + e.peerSum.count + e.otherLoad(now).count
}

// drainPrefill returns what is left of part after the engine has processed worked
// tokens of part and beside, the other prefill on the engine. Short work goes first,
// and work of one class shares the engine in proportion, so that the engine's rate is
// not counted twice.
func drainPrefill(part, beside classTokens, worked float64) classTokens {
	short := part.short + beside.short
	long := part.long + beside.long
	worked = max(0, worked)
	workedShort := min(worked, short)
	if short > 0 {
		part.short -= workedShort * part.short / short
	}
	if long > 0 {
		part.long -= min(worked-workedShort, long) * part.long / long
	}
	return part
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

// otherPrefill returns the outstanding prefill tokens of others. A report newer than
// the loads of all peers replaces them; otherwise the larger of the two counts. Neither
// source splits tokens by class: those of a peer with long requests in flight count as
// long, and so do the tokens of a report when they exceed what short requests could
// contribute.
func (e *endpoint) otherPrefill(now time.Duration, rate float64) classTokens {
	return e.otherPrefillBeside(now, rate, e.ownPrefill())
}

// otherPrefillBeside is otherPrefill for the given own prefill.
func (e *endpoint) otherPrefillBeside(now time.Duration, rate float64, own classTokens) classTokens {
	peers := e.peerPrefillLeft
	if peers != (classTokens{}) {
		peers = drainPrefill(peers, own, rate*(now-e.peerAt).Seconds())
	}
	if !e.hasReport || now-e.reportAskedAt > reportLifetime {
		return peers
	}
	total := float64(e.others.prefill)
	reported := classTokens{short: total}
	switch {
	case e.peerPrefillLeft.long > 0:
		reported.short = min(peers.short, total)
	case total > float64(e.others.count+e.peerShortInFlight+1)*e.pool.maxShortTokens():
		reported.short = 0
	}
	reported.long = total - reported.short
	reported = drainPrefill(reported, own, rate*(now-e.reportAskedAt).Seconds())
	if e.reportAskedAt < e.peerAt && peers.short+peers.long > reported.short+reported.long {
		return peers
	}
	return reported
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

// observe applies a report and returns false if it is outdated.
func (e *endpoint) observe(requestedAt time.Duration, r marigoldcroft.LoadReport) bool {
	if e.hasReport && (r.Incarnation < e.incarnation || requestedAt < e.reportAskedAt) {
		return false
	}
	if e.down && requestedAt <= e.downAt {
		return false
	}
	if e.hasReport && r.Incarnation > e.incarnation {
		e.restartedAt = requestedAt
	}
	e.hasReport, e.down = true, false
	e.incarnation, e.reportAskedAt, e.reportedLeaving = r.Incarnation, requestedAt, r.Leaving
	if r.KVCapacityTokens > 0 {
		e.capacity = r.KVCapacityTokens
	}
	// known is the load of this instance and its peers that the report includes.
	known := e.ownLoadAt(requestedAt)
	for name, p := range e.peers {
		p.atReport = p.previous
		if p.at <= requestedAt {
			p.atReport = p.current
		}
		if p.atReport == (load{}) && p.current == (load{}) {
			delete(e.peers, name)
			continue
		}
		known.count += p.atReport.count
		known.kv += p.atReport.kv
	}
	e.others = load{
		count:   max(0, r.Running+r.Waiting-known.count),
		kv:      max(0, r.KVUsedTokens-known.kv),
		prefill: max(0, r.PrefillTokens-e.ownPrefillAt(requestedAt, known.prefill)),
	}
	return true
}

// ownPrefillAt returns what was predicted to be left of own prefill at a point in time.
// recorded is the total prompt length of the work outstanding then.
func (e *endpoint) ownPrefillAt(at time.Duration, recorded int64) int64 {
	if at < e.settledAt {
		return recorded
	}
	own := e.ownPrefill()
	left := e.ownPrefillLeft(at, e.rate(), own)
	return int64(left.short + left.long)
}

// observePeer replaces the load of the peer on this endpoint.
func (e *endpoint) observePeer(now time.Duration, peer string, in marigoldcroft.InFlight) {
	current := load{count: in.Short + in.Long, kv: in.KVTokens, prefill: in.PrefillTokens}
	p := e.peers[peer]
	if p == nil {
		if current == (load{}) {
			return
		}
		if e.peers == nil {
			e.peers = make(map[string]*peerLoad)
		}
		p = &peerLoad{}
		e.peers[peer] = p
	}
	if now > p.at {
		p.previous = p.current
	}
	p.at, p.current, p.hasLong = now, current, in.Long > 0
	p.shortCount, p.longCount = in.Short, in.Long
	if current == (load{}) && p.atReport == (load{}) {
		delete(e.peers, peer)
	}
	e.sumPeers(now)
}

// sumPeers sums the loads of the peers, less the prefill predicted to be done since
// each one was announced. The peers are assumed to share the engine's rate evenly.
func (e *endpoint) sumPeers(now time.Duration) {
	e.peerSum, e.peerAt = load{}, now
	// Whole tokens are summed, because a sum of floats would depend on the map order.
	var short, long int64
	e.pool.peerShortInFlight -= e.peerShortInFlight
	e.peerShortInFlight, e.peerEngineShare = 0, 0
	rate := e.rate() / float64(max(1, len(e.peers)))
	for _, p := range e.peers {
		e.peerSum.count += p.current.count
		e.peerSum.kv += p.current.kv
		e.peerShortInFlight += p.shortCount
		e.peerEngineShare += e.pool.engineShare(p.longCount, p.current.kv)
		left := max(0, p.current.prefill-int64(rate*(now-p.at).Seconds()))
		if p.hasLong {
			long += left
		} else {
			short += left
		}
	}
	e.pool.peerShortInFlight += e.peerShortInFlight
	e.peerPrefillLeft = classTokens{short: float64(short), long: float64(long)}
}
