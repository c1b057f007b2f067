package mcgateway

import (
	"context"
	"sync"
	"time"

	"marigoldcroft"
)

const (
	// pollInterval is the time between polls while work is queued. A decision that becomes
	// due without an event is seen at most this late.
	pollInterval = 5 * time.Millisecond
	// idleInterval is the time between polls while no work is queued.
	idleInterval = 200 * time.Millisecond
	// decisionBacklog is the capacity of the channel of later decisions. It exceeds the
	// number of decisions that can be pending for one piece of work, as the scheduler
	// makes the next one only after the work has acted on the last one.
	decisionBacklog = 16
)

// Dispatcher polls a Scheduler and delivers its decisions to the goroutines that wait for
// them.
type Dispatcher struct {
	Scheduler marigoldcroft.Scheduler

	mu      sync.Mutex
	waiters map[marigoldcroft.StreamID]chan marigoldcroft.Decision
	// wake holds at most one signal to poll now: work was queued or capacity became free
	// since the last poll.
	wake chan struct{}
	once sync.Once
}

func (d *Dispatcher) init() {
	d.once.Do(func() {
		d.waiters = make(map[marigoldcroft.StreamID]chan marigoldcroft.Decision)
		d.wake = make(chan struct{}, 1)
	})
}

// Run polls the scheduler until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.init()
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	var decisions []marigoldcroft.Decision
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.wake:
		}
		decisions = d.Scheduler.Poll(time.Now(), decisions[:0])
		for _, decision := range decisions {
			d.deliver(decision)
		}
		if d.Scheduler.Queued() > 0 {
			timer.Reset(pollInterval)
		} else {
			timer.Reset(idleInterval)
		}
	}
}

// Submit passes work to the scheduler. It returns the first decision and the channel of
// later ones.
func (d *Dispatcher) Submit(now time.Time, work marigoldcroft.Work) (marigoldcroft.Decision, <-chan marigoldcroft.Decision) {
	d.init()
	laterDecisions := make(chan marigoldcroft.Decision, decisionBacklog)
	d.mu.Lock()
	d.waiters[work.ID] = laterDecisions
	d.mu.Unlock()
	decision := d.Scheduler.Submit(now, work)
	switch decision.Action {
	case marigoldcroft.ActionRefuse:
		d.forget(work.ID)
	case marigoldcroft.ActionWait:
		d.signal()
	}
	return decision, laterDecisions
}

// FirstToken tells the scheduler that the attempt produced its first token.
func (d *Dispatcher) FirstToken(id marigoldcroft.StreamID) { d.Scheduler.FirstToken(time.Now(), id) }

// Finish releases what the scheduler holds for the attempt and triggers a poll, as
// waiting work may now fit.
func (d *Dispatcher) Finish(id marigoldcroft.StreamID, completion marigoldcroft.Completion) {
	d.forget(id)
	d.Scheduler.Finish(time.Now(), id, completion)
	d.signal()
}

// StopBy announces that this instance ends all its work at the limit, and triggers a poll, as
// waiting work that would end later expires.
func (d *Dispatcher) StopBy(limit time.Time) {
	d.init()
	d.Scheduler.StopBy(time.Now(), limit)
	d.signal()
}

// signal makes Run poll now.
func (d *Dispatcher) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) forget(id marigoldcroft.StreamID) {
	d.mu.Lock()
	delete(d.waiters, id)
	d.mu.Unlock()
}

// deliver passes a decision to the goroutine that waits for it. A decision for work that
// has ended is dropped.
func (d *Dispatcher) deliver(decision marigoldcroft.Decision) {
	d.mu.Lock()
	laterDecisions := d.waiters[decision.ID]
	d.mu.Unlock()
	select {
	case laterDecisions <- decision:
	default:
	}
}
