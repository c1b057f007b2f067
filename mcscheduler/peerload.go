package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// reportLifetime is the age at which the load of others in a report no longer
// counts, so that an endpoint whose reports have stopped is not blocked
// permanently.
const reportLifetime = 10 * time.Second

// peerLoad holds the current and the previous load that a peer has announced for an
// endpoint. atReport is the one that was current when the endpoint's latest report
// was requested.
type peerLoad struct {
	at         time.Duration
	current    load
	previous   load
	atReport   load
	hasLong    bool
	shortCount int
	// longCount is the number of the peer's long requests on the endpoint.
	longCount int
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

// otherLoad returns the load of unknown others from the latest report, or zero once the
// report has expired.
func (e *endpoint) otherLoad(now time.Duration) load {
	if now-e.reportAskedAt > reportLifetime {
		return load{}
	}
	return e.others
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
