package mcscheduler

import (
	"math"
	"time"

	"marigoldcroft"
)

// This file decides what runs beside what when capacity is short: short streams beside long prefills,
// and late work beside work that can still meet its objective. Load: a peak at which short work would
// otherwise use every engine. docs/design/yielding.md gives the reasons and the alternatives.

const (
	// demandInterval is the time between two estimates of the demand for long prefill. It is below the
	// age of the peers' reports, so that estimates add no delay of their own.
	demandInterval = 100 * time.Millisecond
	// demandMemory is the time constant of the mean of the estimates. Long requests come a few times a
	// second; a shorter one made the number of reserved engines follow single requests.
	demandMemory = 2 * time.Second
	// demandSettling is the time after the first estimate before engines are reserved. The mean rises
	// from zero at a start, and would pass through demands at which a reservation may begin.
	demandSettling = 3 * demandMemory
	// longStreamPasses is the usual number of passes in which a long answer is decoded: long answers of
	// the deployments have 15 to 21 events.
	longStreamPasses = 20
	// reservedShare is the share of the engines that is reserved for long work. With 0.15, more short
	// work found no slot: the reservation spared no more than half of the late answers that it caused.
	reservedShare = 0.1
	// minLongEngines is the demand for long prefill, in engines, below which none is reserved.
	minLongEngines = 0.2
	// beginLongUtilization and endLongUtilization are the utilizations of the reserved engines by long
	// prefill up to which a reservation begins, and above which it ends. Up to the latter, the long work
	// that does not fit uses other engines. A reservation that begins only when long work is plentiful
	// holds it back while short streams still run on the reserved engines.
	beginLongUtilization = 0.6
	endLongUtilization   = 1.4
	// beginSlotUtilization and endSlotUtilization are the same for the slots of the other engines and
	// short work, which misses its objective without a slot.
	beginSlotUtilization = 1.0
	endSlotUtilization   = 1.05
	// longPatience is the share of the time to its objective for which long work waits for reserved
	// engines before it may use others.
	longPatience = 0.25
)

// Reservation describes how many engines of a model are reserved for long work, and why.
type Reservation struct {
	Model string
	// Engines is the number of reserved engines; OfEngines is the number of usable ones.
	Engines, OfEngines int
	// LongEngines is the number of engines that long prefill occupies on average, and ShortInFlight the
	// number of short requests in flight, both as far as this instance knows.
	LongEngines   float64
	ShortInFlight int
}

// yieldState holds what yielding keeps of a pool.
type yieldState struct {
	// longEngines is the mean number of engines that long prefill occupies.
	longEngines float64
	// firstEstimateAt and nextEstimateAt are the times of the first and the next estimate; both are 0
	// before the first.
	firstEstimateAt, nextEstimateAt time.Duration
	// reserved is the number of engines, counted from the first in rendezvous order, that short work
	// leaves to long work.
	reserved int
}

// updateReservation estimates the demand for long prefill from the long work that is in flight at all
// instances, and the number of engines to reserve for it. All instances use the same order of engines
// and nearly the same loads, so that their reservations are nested.
func (m *passModel) updateReservation(now time.Duration, p *pool) {
	y := &p.yield
	if now < y.nextEstimateAt || !p.publishesFigures() {
		return
	}
	if y.nextEstimateAt == 0 {
		y.firstEstimateAt = now
	}
	y.nextEstimateAt = now + demandInterval
	y.longEngines += (p.longEnginesInUse() - y.longEngines) * (1 - math.Exp(-demandInterval.Seconds()/demandMemory.Seconds()))
	if now < y.firstEstimateAt+demandSettling {
		return
	}
	short, before := p.shortInFlight+p.peerShortInFlight, y.reserved
	y.reserved = p.reservation(short, y.longEngines, before > 0)
	if y.reserved != before && m.s.settings.ReservationChanged != nil {
		m.s.settings.ReservationChanged(Reservation{Model: p.name, Engines: y.reserved, OfEngines: len(p.live), LongEngines: y.longEngines, ShortInFlight: short})
	}
}

// ReservedEngines returns the number of engines that are reserved for long work, over all models.
func (s *scheduler) ReservedEngines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.poolOrder {
		n += p.yield.reserved
	}
	return n
}

// reservation returns the number of engines to reserve while long prefill occupies the given number of
// engines: a fixed share, or none if there is hardly any long work or if either kind of work needs more
// than its part. A number that followed the demand differed between instances, whose short and long work
// then met on the engines in between, and changed in the peak itself.
func (p *pool) reservation(shortInFlight int, longEngines float64, reserving bool) int {
	n := int(math.Ceil(reservedShare * float64(len(p.live))))
	longLimit, slotLimit := beginLongUtilization, beginSlotUtilization
	if reserving {
		longLimit, slotLimit = endLongUtilization, endSlotUtilization
	}
	slots := float64(p.figures.Slots * (len(p.live) - n))
	if longEngines < minLongEngines || longEngines > longLimit*float64(n) || float64(shortInFlight) > slotLimit*slots {
		return 0
	}
	return n
}

// longEnginesInUse returns the number of engines that the long work in flight keeps prefilling on
// average, by Little's law: each request occupies its prefill time, out of the time that it is in flight.
func (p *pool) longEnginesInUse() float64 {
	sum := int64(0)
	for _, e := range p.live {
		sum += e.peerEngineShare
		if e.longInFlight == 0 {
			continue
		}
		for it := e.items; it != nil; it = it.next {
			if it.class != marigoldcroft.ClassShort {
				sum += p.engineShare(1, it.work.PromptTokens)
			}
		}
	}
	return float64(sum) / 1e6
}

// engineShare returns the millionths of an engine that long requests with the given sum of prompts keep
// prefilling while they are in flight. They are whole, because a sum of floats depends on the order in
// which the peers are visited.
func (p *pool) engineShare(requests int, tokens int64) int64 {
	if requests == 0 || !p.publishesFigures() {
		return 0
	}
	prefill := float64(p.effectiveTokens(tokens/int64(requests))) / p.figures.PrefillTokensPerSecond
	if prefill <= 0 {
		return 0
	}
	return int64(float64(requests) * 1e6 * prefill / (prefill/typicalParts + longStreamPasses*p.passSeconds()))
}

// waitsForReserved reports whether long work may use only reserved and idle engines now, because it can
// wait for them within its objective or, once that is missed, its deadline.
func (m *passModel) waitsForReserved(now time.Duration, it *item) bool {
	if it.pool.yield.reserved == 0 || it.work.IsolateSuspect {
		return false
	}
	until := it.objective
	if it.level > 0 {
		until = it.deadline
	}
	return now < it.submitted+time.Duration(longPatience*float64(until-it.submitted))
}
