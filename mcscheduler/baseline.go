package mcscheduler

import (
	"time"

	"marigoldcroft"
)

// baseline implements the policies that ignore the length of requests. They share
// memory reservation, the bounded queue and expiry with lengthAware, so that a
// comparison isolates the choice of endpoint and the order.
type baseline struct {
	s *scheduler
	// skipLimit is 0 where nothing may overtake the head of the queue.
	skipLimit int
	// better returns the preferred of two endpoints with room; best may be nil.
	better func(now time.Duration, best, e *endpoint) *endpoint
}

// prepare queues all work in one lane in order of arrival.
func (b *baseline) prepare(_ time.Duration, it *item) {
	it.lane, it.level, it.sortKey = laneShort, 0, int64(it.sequence)
	it.work.Urgency, it.work.Team = 0, ""
}

func (b *baseline) place(now time.Duration, it *item) (placement, placementResult) {
	p := it.pool
	var best *endpoint
	result, chosen := noEndpoint, 0
	for i := range p.live {
		position := (p.rotation + i) % len(p.live)
		e := p.live[position]
		if e.capacity < it.kv || it.excludes(e) {
			continue
		}
		if e.isPaused(now) || it.work.IsolateSuspect && e.suspectsInFlight > 0 {
			result = max(result, endpointsBusy)
			continue
		}
		if e.free(now) < it.kv {
			result = max(result, noMemory)
			continue
		}
		if better := b.better(now, best, e); better != best {
			best, chosen = better, position
		}
	}
	if best == nil {
		return placement{}, result
	}
	// The next search starts after the chosen endpoint, so that ties rotate.
	return placement{endpoint: best, prefill: it.work.PromptTokens, nextPosition: chosen + 1}, placed
}

// firstInRotation prefers the endpoint that comes first in the rotation.
func firstInRotation(_ time.Duration, best, e *endpoint) *endpoint {
	if best != nil {
		return best
	}
	return e
}

// fewestRequests prefers the endpoint with the fewest requests.
func fewestRequests(now time.Duration, best, e *endpoint) *endpoint {
	if best != nil && best.requests(now) <= e.requests(now) {
		return best
	}
	return e
}

func (b *baseline) admit(time.Duration, *item, placement, placementResult) (marigoldcroft.Reason, float64, float64) {
	return marigoldcroft.ReasonNone, 0, 0
}

func (b *baseline) resolveBlocked(time.Duration, *item, placementResult) *item { return nil }

func (b *baseline) tick(time.Duration, *pool) {}

func (b *baseline) shardKV(*item) bool { return false }

func (b *baseline) missesObjective(time.Duration, *item) bool { return false }

func (b *baseline) maxSkips() int { return b.skipLimit }
