package mcfollow

import (
	"context"
	"sync"
	"time"
)

// maxGateWait is the longest time for which a follower waits for the probe of another one. It
// bounds the delay when only the other one's records cannot be read.
const maxGateWait = 2 * time.Second

// Gate lets one of the followers of a store probe it during an outage; the others wait for the
// result. Without it, each kind of records is retried separately. It also finds the outages of the
// store. The zero value is ready.
type Gate struct {
	outages outageTracker

	mu sync.Mutex
	// prober is the name of the follower that probes, or empty.
	prober string
	// regained is closed when the probe succeeds.
	regained chan struct{}
}

// await waits until the probe of another follower has succeeded, or for maxGateWait. It returns
// false at once if the follower is the one that probes.
func (g *Gate) await(ctx context.Context, follower string) bool {
	regained := g.join(follower)
	if regained == nil {
		return false
	}
	timer := time.NewTimer(maxGateWait)
	defer timer.Stop()
	select {
	case <-regained:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// join makes the follower the prober if there is none. Otherwise it returns the channel that is
// closed when the probe succeeds.
func (g *Gate) join(follower string) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.prober == "" {
		g.prober, g.regained = follower, make(chan struct{})
	}
	if g.prober == follower {
		return nil
	}
	return g.regained
}

// succeeded records a successful call of any follower and ends the outage.
func (g *Gate) succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.prober != "" {
		g.prober = ""
		close(g.regained)
	}
}
