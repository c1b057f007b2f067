package mcload

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marigoldcroft/mcclock"
)

const (
	// healthInterval is the time between two health checks of a target.
	healthInterval = 50 * time.Millisecond
	healthTimeout  = time.Second
)

// balancer emulates the platform's load balancer: it sends new requests only to targets
// that are ready according to /readyz.
type balancer struct {
	targets []string
	// ready holds one flag per target. Without health checks all flags stay true.
	ready []atomic.Bool
}

func newBalancer(targets []string) *balancer {
	b := &balancer{targets: targets, ready: make([]atomic.Bool, len(targets))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// checkHealth polls /readyz of every target until ctx ends.
func (b *balancer) checkHealth(ctx context.Context) {
	var polls sync.WaitGroup
	for i, target := range b.targets {
		polls.Go(func() {
			for {
				b.ready[i].Store(IsReady(ctx, target+"/readyz"))
				if !mcclock.Sleep(ctx, healthInterval) {
					return
				}
			}
		})
	}
	polls.Wait()
}

// IsReady reports whether a GET of the URL returns status 200 within one second.
func IsReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pickTarget returns the target for request n: round robin over the ready targets, or over all
// targets if none is ready.
func (b *balancer) pickTarget(n uint64) string {
	var ready []string
	for i := range b.targets {
		if b.ready[i].Load() {
			ready = append(ready, b.targets[i])
		}
	}
	if len(ready) == 0 {
		ready = b.targets
	}
	return ready[n%uint64(len(ready))]
}
