package mcscheduler

import (
	"time"

	"marigoldcroft"
)

const (
	// deadlineMargin is the relative error of a prediction that an admitted request
	// tolerates without missing its deadline.
	deadlineMargin = 0.10
	// maxRetryAfter bounds the delay that refused callers are told to wait.
	maxRetryAfter = time.Minute
)

// maxQueueShare is the share of the queue that requests of each urgency may fill, which
// leaves room for more urgent ones.
var maxQueueShare = [urgencyLevels]float64{1, 0.75, 0.5}

// admit refuses work that would start too late, miss its deadline or crowd out more
// urgent work. Admitted work is never shed later.
func (l *lengthAware) admit(now time.Duration, it *item, at placement, result placementResult) (marigoldcroft.Reason, float64, float64) {
	p, settings := it.pool, &l.s.settings
	service := it.prefillSeconds
	start, memoryWait := at.wait+at.unreportedWait, 0.0
	if result == placed {
		service = float64(at.prefill) / at.endpoint.rate()
	} else {
		start, memoryWait = l.queueWait(now, it)
		if float64(p.queued()) >= maxQueueShare[it.urgency()]*float64(settings.QueueLength) && it.urgency() > 0 {
			return marigoldcroft.ReasonShed, start, start
		}
	}
	if it.interactiveShort() && start+p.currentLateness(now) > l.startLimit(it) {
		return marigoldcroft.ReasonShed, start, start
	}
	service += p.decodeSeconds(it.work.OutputTokens)
	if !p.serviceTimeReliable(now) {
		service = 0
	}
	left := (it.deadline - now).Seconds() / (1 + deadlineMargin)
	switch {
	case start+service <= left:
		return marigoldcroft.ReasonNone, start, start
	case service > left || result == placed:
		return marigoldcroft.ReasonDeadline, start, start
	case memoryWait >= start:
		return marigoldcroft.ReasonMemory, start, start
	case it.class == marigoldcroft.ClassLong:
		return marigoldcroft.ReasonLongSaturated, start, start
	}
	return marigoldcroft.ReasonDeadline, start, start
}

// queueWait predicts the seconds until new work of the queue starts, and the part of
// that caused by memory alone. The wait is the larger of the time to prefill the work
// ahead and the time until enough memory is released.
func (l *lengthAware) queueWait(now time.Duration, it *item) (wait, memoryWait float64) {
	p := it.pool
	_, ahead, kv := p.lanes[it.lane].ahead(it, it.level)
	kv += it.kv
	if it.class == marigoldcroft.ClassShort {
		least, priority := -1.0, l.s.priority(it)
		for _, e := range p.live {
			if it.isOutside(e) {
				continue
			}
			rate := e.rate()
			before, _ := e.backlog(now, priority, rate)
			if w := before / rate; least < 0 || w < least {
				least = w
			}
		}
		wait = least + ahead/float64(max(1, it.liveCount()))
	} else {
		set := 0
		for _, e := range p.live {
			if it.isOutside(e) || set == p.longSet.size {
				continue
			}
			set++
			rate := e.rate()
			_, long := e.backlog(now, 0, rate)
			ahead += long / rate
		}
		wait = ahead / float64(max(1, set))
	}
	memoryWait = max(p.memoryWait(now, it, kv, p.residenceSeconds(it)), l.endpointMemoryWait(now, it))
	return max(wait, memoryWait), memoryWait
}

// endpointMemoryWait predicts the seconds until a single endpoint has released enough
// memory for the item.
func (l *lengthAware) endpointMemoryWait(now time.Duration, it *item) float64 {
	p, least, residence := it.pool, -1.0, it.pool.residenceSeconds(it)
	for _, e := range p.live {
		if e.capacity < it.kv || it.excludes(e) {
			continue
		}
		free := e.free(now)
		w := 0.0
		if used := e.capacity - free; free < it.kv && used > 0 {
			w = float64(it.kv-free) * residence / float64(used)
		}
		if least < 0 || w < least {
			least = w
		}
	}
	return max(0, least)
}
