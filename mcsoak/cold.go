package mcsoak

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// coldService is the service whose servers are cold for coldTime after a start. It is not the one
	// of the prompts that crash servers, whose checks count the requests that its servers get.
	coldService = "plain"
	coldTime    = 2 * time.Second
	// coldPerSecond is what a cold server takes. It is a fifth of what a warm one gets from 24 callers.
	coldPerSecond = 8
	// coldOverage and coldSlack are cold-overage and cold-slack of the users' sites.
	coldOverage = 1.5
	coldSlack   = 5
	// minRestartTime and maxExtraRestartTime bound the time for which a server that restarts is away.
	minRestartTime      = 400 * time.Millisecond
	maxExtraRestartTime = time.Second
)

// coldLeft returns for how much longer the server is cold.
func (b *backend) coldLeft() time.Duration {
	if !b.isCold {
		return 0
	}
	return max(0, coldTime-time.Since(b.started))
}

// countCold records the arrival of a request to a cold server, health checks included; mu must be held.
// Requests to another server, which are refused, do not count.
func (b *backend) countCold(r *http.Request) {
	if target := r.Header.Get("Target-Instance"); b.coldLeft() > 0 && (target == "" || target == b.id) {
		b.coldArrivals = append(b.coldArrivals, time.Now())
	}
}

// restartBackend ends the server without notice and starts it again under the same ID and address
// after a moment. Its entry stays in the store meanwhile.
func (s *Soak) restartBackend(b *backend, r *rand.Rand) {
	if b.replacing.Swap(true) {
		return
	}
	b.link.close()
	b.listener.CloseClientConnections()
	s.pause(minRestartTime + time.Duration(r.Int64N(int64(maxExtraRestartTime))))
	s.moveToRemoved(b)
	if _, err := s.startBackend(b.service, b.id, b.link.address); err != nil && s.ctx.Err() == nil {
		s.violation("soak", "cannot start %s again: %v", b.id, err)
	}
}

// checkCold checks the requests that a cold server got in each second. Requests that its link held back
// do not count, as they were sent in an earlier second.
func (s *Soak) checkCold(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isCold || b.link.heldBetween(b.started, b.started.Add(coldTime)) {
		return
	}
	most, first := 0, 0
	for i, at := range b.coldArrivals {
		for at.Sub(b.coldArrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	s.logf("%s was cold: %d requests, at most %d in a second", b.id, len(b.coldArrivals), most)
	if float64(most) > coldOverage*coldPerSecond+coldSlack {
		s.violation("cold servers", "%s, started at %.3f s, got %d requests in a second", b.id, b.started.Sub(s.began).Seconds(), most)
	}
}

// moveToRemoved moves the server to the removed ones.
func (s *Soak) moveToRemoved(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.servers {
		if other == b {
			s.servers = append(s.servers[:i:i], s.servers[i+1:]...)
			s.removedServers = append(s.removedServers, b)
			return
		}
	}
}
