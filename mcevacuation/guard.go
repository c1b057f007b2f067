package mcevacuation

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft/mcclock"
	"marigoldcroft/mcobserve"
)

const (
	// pauseThreshold is the time without a sign of this process running after which it counts as having
	// been suspended. It is above the pauses of a machine under load.
	pauseThreshold = time.Second
	// guardInterval is the time between two signs of the process running while it sends nothing.
	guardInterval = 250 * time.Millisecond
	// confirmWait is how long requests wait for the confirmation after a suspension. The store and the
	// peers answer within milliseconds; without an answer, a data centre that is cut off must go on
	// serving.
	confirmWait = 250 * time.Millisecond
)

// Guard keeps requests back after a suspension of this process until the evacuations are confirmed. An
// instance that runs learns of an evacuation in time; one that was suspended would send by what it knew
// before. Exported fields must be set before use. It is safe for concurrent use.
type Guard struct {
	Logger  zerolog.Logger
	Metrics *mcobserve.Metrics
	// Refresh asks the store and the peers for the evacuations; it must not block.
	Refresh func()

	mu sync.Mutex
	// lastRun is the last time at which this process was seen to run, and resumedAt the time after the
	// last suspension.
	lastRun, resumedAt time.Duration
	// confirmed is closed when the wait ends; nil while none is in progress.
	confirmed chan struct{}
}

// Run notices suspensions while no requests are sent, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for ctx.Err() == nil {
		g.observeRun()
		mcclock.Sleep(ctx, guardInterval)
	}
}

// Await returns at once unless this process was suspended and the evacuations are not confirmed since;
// then it waits for the confirmation, for confirmWait or for the end of ctx.
func (g *Guard) Await(ctx context.Context) {
	if confirmed := g.observeRun(); confirmed != nil {
		select {
		case <-confirmed:
		case <-ctx.Done():
		}
	}
}

// observeRun records that the process runs, and returns the channel of the wait in progress, or nil.
func (g *Guard) observeRun() <-chan struct{} {
	now := mcclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	pause := now - g.lastRun
	if g.lastRun > 0 && pause > pauseThreshold {
		g.resumedAt = now
		if g.confirmed == nil {
			g.confirmed = make(chan struct{})
		}
		wait := g.confirmed
		time.AfterFunc(confirmWait, func() { g.end(wait, "unanswered") })
		g.Logger.Warn().Dur("pausedMs", pause).Msg("evacuationsUnconfirmed")
		go g.Refresh()
	}
	g.lastRun = max(g.lastRun, now)
	return g.confirmed
}

// Confirm records that what is known held every change until the given time of mcclock.Now.
func (g *Guard) Confirm(complete time.Duration) {
	g.mu.Lock()
	wait, due := g.confirmed, g.confirmed != nil && complete >= g.resumedAt
	g.mu.Unlock()
	if due {
		g.end(wait, "confirmed")
	}
}

// end ends the wait, if it is still in progress.
func (g *Guard) end(wait chan struct{}, outcome string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.confirmed != wait {
		return
	}
	g.confirmed = nil
	close(wait)
	g.Metrics.EvacuationChecks.WithLabelValues(outcome).Inc()
	g.Logger.Info().Str("outcome", outcome).Dur("afterMs", mcclock.Now()-g.resumedAt).Msg("evacuationsChecked")
}
