package mcgateway

import (
	"context"
	"sync"
	"time"

	"marigoldcroft"
)

const (
	// pollInterval bounds how late a due decision is seen when no event wakes the loop.
	pollInterval = 5 * time.Millisecond
	// decisionBacklog is more than the decisions that one piece of work can have pending:
	// the scheduler makes the next one only after the work acted on the last.
	decisionBacklog = 16
)

// Dispatcher drives a Scheduler with the clock and hands its decisions to the
// goroutines that wait for them.
type Dispatcher struct {
	Scheduler marigoldcroft.Scheduler

	mu      sync.Mutex
	waiters map[marigoldcroft.StreamID]chan marigoldcroft.Decision
	// wake holds at most one token: capacity came free since the last poll.
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
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var decisions []marigoldcroft.Decision
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.wake:
		}
		decisions = d.Scheduler.Poll(time.Now(), decisions[:0])
		for _, decision := range decisions {
			d.deliver(decision)
		}
	}
}

// Submit returns the first decision and the channel of later ones.
func (d *Dispatcher) Submit(now time.Time, work marigoldcroft.Work) (marigoldcroft.Decision, <-chan marigoldcroft.Decision) {
	d.init()
	later := make(chan marigoldcroft.Decision, decisionBacklog)
	d.mu.Lock()
	d.waiters[work.ID] = later
	d.mu.Unlock()
	decision := d.Scheduler.Submit(now, work)
	if decision.Action == marigoldcroft.ActionRefuse {
		d.forget(work.ID)
	}
	return decision, later
}

// FirstToken tells the scheduler that the attempt answered.
func (d *Dispatcher) FirstToken(id marigoldcroft.StreamID) { d.Scheduler.FirstToken(time.Now(), id) }

// Finish releases what the attempt holds and wakes the loop for waiting work.
func (d *Dispatcher) Finish(id marigoldcroft.StreamID, completion marigoldcroft.Completion) {
	d.forget(id)
	d.Scheduler.Finish(time.Now(), id, completion)
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

func (d *Dispatcher) deliver(decision marigoldcroft.Decision) {
	d.mu.Lock()
	later := d.waiters[decision.ID]
	d.mu.Unlock()
	select {
	case later <- decision:
	default:
	}
}
