package mclimit

import (
	"time"

	"marigoldcroft"
)

type (
	// peer is another instance of the data centre.
	peer struct {
		incarnation uint64
		// heard is when the last report was received.
		heard time.Time
	}

	// peerShare is the usage of one team that a peer reported last.
	peerShare struct {
		peer        *peer
		seen        time.Time
		share       float32
		demand      float32
		concurrency uint32
	}
)

const (
	// equalPart is the fraction of a limit that is divided equally among the instances
	// that a team uses, so that an instance with little demand can serve some requests.
	// The rest is divided in proportion to demand.
	equalPart = 0.1
	// freshPropagations is the greatest age of a peer's last report, in propagation times,
	// at which this instance still changes its shares.
	freshPropagations = 3
	// demandGain is the weight of the newest interval in the exponentially weighted moving
	// average of demand.
	demandGain = 0.5
	// sumTolerance is the rounding error allowed in sums of shares.
	sumTolerance = 1e-6
)

// SetMembers replaces the set of the other instances of the data centre. The caller must
// keep a member that is only unreachable, as that member goes on enforcing its share, and
// must leave out one that has stopped or is no longer on the instance list: its share
// becomes free.
func (l *Limiter) SetMembers(others []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*peer, len(others))
	for _, name := range others {
		if next[name] = l.peers[name]; next[name] == nil {
			next[name] = &peer{}
		}
	}
	l.peers = next
	kept := make(map[*peer]bool, len(next))
	for _, p := range next {
		kept[p] = true
	}
	for _, b := range l.teams {
		b.keepPeers(func(s peerShare) bool { return kept[s.peer] })
	}
}

// ObservePeer records the usage that a member reported. Teams missing from the report keep
// their previous values. A report of a newer incarnation first discards all reports of
// the peer; one of an older incarnation or of a non-member is ignored.
func (l *Limiter) ObservePeer(now time.Time, name string, incarnation uint64, usage []marigoldcroft.TeamUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil || incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation {
		for _, b := range l.teams {
			b.keepPeers(func(s peerShare) bool { return s.peer != p })
		}
	}
	p.incarnation, p.heard = incarnation, now
	for _, u := range usage {
		l.bucketOf(u.Team).observe(peerShare{
			peer: p, seen: now, share: float32(clamp(u.Share)),
			demand: float32(max(0, u.TokensPerSecond)), concurrency: uint32(max(0, u.Concurrency)),
		})
	}
}

// Rebalance adjusts this instance's shares to the reported usage and removes idle teams.
// It must be called once per exchange interval, before Usage; elapsed is the time since
// the previous call.
func (l *Limiter) Rebalance(now time.Time, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard := l.leastHeard(now)
	for name, b := range l.teams {
		b.keepPeers(func(s peerShare) bool { return now.Sub(s.seen) < idleAfter || s.peer.heard.Equal(s.seen) })
		if b.idle(now) {
			b.forget()
			if len(b.peers) == 0 {
				delete(l.teams, name)
			}
			continue
		}
		if b.used.IsZero() {
			continue
		}
		b.refill(now)
		b.measure(elapsed)
		b.move(now, heard, l.propagation())
	}
}

// leastHeard returns the time of the oldest last report among all peers, or now if there
// are no peers.
func (l *Limiter) leastHeard(now time.Time) time.Time {
	least := now
	for _, p := range l.peers {
		if p.heard.Before(least) {
			least = p.heard
		}
	}
	return least
}

// firstShare returns the initial share of this instance for a team, given the number of
// members including this one. It is 1/members of the larger of two values: the free share,
// and the smallest positive share of a peer (at most 1/members).
func (b *bucket) firstShare(members int) float64 {
	n := float64(members)
	least, free := 1/n, 1.0
	for _, p := range b.peers {
		free -= float64(p.share)
		if p.share > 0 {
			least = min(least, float64(p.share))
		}
	}
	return max(free, least) / n
}

// idle reports whether no request runs, none has come or ended for idleAfter, and the
// bucket is full to within one token.
func (b *bucket) idle(now time.Time) bool {
	return b.running == 0 && now.Sub(b.used) >= idleAfter && b.level >= b.burst*b.granted-1
}

// forget resets the state of this instance and keeps the reports of peers.
func (b *bucket) forget() {
	*b = bucket{peers: b.peers}
}

// measure updates the smoothed demand with the tokens requested in the last interval.
func (b *bucket) measure(elapsed time.Duration) {
	if elapsed > 0 {
		b.demand += demandGain * (b.offered/elapsed.Seconds() - b.demand)
		b.offered = 0
	}
}

// move adjusts the share towards its target. A decrease is enforced at once. An increase
// is taken from the free share only, and is enforced after two propagation times: one in
// which peers receive the claim, and one in which their claims arrive here. It is enforced
// only if every peer has reported since the first of these ended, so that two sides of a
// partition that claim the same free share both keep their old shares. If the known shares
// add up to more than 1, the share is scaled down in proportion. Until an increase is
// enforced, or while the last report of some peer is too old, nothing else changes.
func (b *bucket) move(now, heard time.Time, propagation time.Duration) {
	sum := b.share
	for _, p := range b.peers {
		sum += float64(p.share)
	}
	if sum > 1+sumTolerance {
		b.share /= sum
		b.granted = min(b.granted, b.share)
		return
	}
	seen := b.claimed.Add(propagation)
	if now.Before(seen.Add(propagation)) || heard.Before(seen) || now.Sub(heard) > freshPropagations*propagation {
		return
	}
	b.granted = b.share
	target, missing := b.target()
	if target <= b.share {
		b.share = target
		b.granted = target
		return
	}
	want := target - b.share
	if raise := min(want, (1-sum)*want/missing); raise > sumTolerance {
		b.share += raise
		b.claimed = now
	}
}

// target returns the share that this instance should have by demand, and the sum of what
// all instances lack to reach their targets.
func (b *bucket) target() (own, missing float64) {
	demand := b.demand
	for _, p := range b.peers {
		demand += float64(p.demand)
	}
	n := float64(len(b.peers) + 1)
	of := func(part float64) float64 {
		if demand <= 0 {
			return 1 / n
		}
		return equalPart/n + (1-equalPart)*part/demand
	}
	own = of(b.demand)
	missing = max(0, own-b.share)
	for _, p := range b.peers {
		missing += max(0, of(float64(p.demand))-float64(p.share))
	}
	return own, missing
}

// observe replaces the report of the same peer, or adds a new one.
func (b *bucket) observe(report peerShare) {
	for i := range b.peers {
		if b.peers[i].peer == report.peer {
			b.peers[i] = report
			return
		}
	}
	b.peers = append(b.peers, report)
}

// keepPeers removes the reports for which keep returns false.
func (b *bucket) keepPeers(keep func(peerShare) bool) {
	kept := b.peers[:0]
	for _, p := range b.peers {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	clear(b.peers[len(kept):])
	b.peers = kept
}

// clamp returns share, or 0 if a peer reported a value outside 0 to 1 or NaN.
func clamp(share float64) float64 {
	if share >= 0 && share <= 1 {
		return share
	}
	return 0
}
