package mclimit

import (
	"time"

	"marigoldcroft"
)

type (
	// peer is another instance of the data centre.
	peer struct {
		incarnation uint64
		heard       time.Time
	}

	// peerShare is the last report of one peer on one team.
	peerShare struct {
		peer        *peer
		seen        time.Time
		share       float32
		demand      float32
		concurrency uint32
	}
)

const (
	// equalPart of the limit is divided equally among the instances that a team uses;
	// the rest follows demand. It lets an instance with little demand serve some.
	equalPart = 0.1
	// freshPropagations is the age, in propagation times, from which a peer's report
	// no longer allows shares to move.
	freshPropagations = 3
	// demandGain is the weight of the newest interval in the smoothed demand.
	demandGain = 0.5
	// sumTolerance hides rounding in sums of shares.
	sumTolerance = 1e-6
)

// SetMembers replaces the set of the data centre's other instances. A member that is
// merely unreachable must stay in the set: its share stands. One that stopped, or that
// the instance list no longer shows, is left out: its share becomes free.
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

// ObservePeer takes the usage that a member reported. Teams that are missing keep
// their last report; a newer incarnation of the peer starts without shares.
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

// Rebalance moves this instance's shares by the reported usage and drops idle teams.
// It is called once an exchange interval, before Usage.
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

// leastHeard is when the peer that was silent for longest was heard, or now without
// peers.
func (l *Limiter) leastHeard(now time.Time) time.Time {
	least := now
	for _, p := range l.peers {
		if p.heard.Before(least) {
			least = p.heard
		}
	}
	return least
}

// firstShare is the share of an instance that the team's requests newly reach, among
// so many members: a member's part of what is free, or of the least share.
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

func (b *bucket) idle(now time.Time) bool {
	return b.running == 0 && now.Sub(b.used) >= idleAfter && b.level >= b.burst*b.granted-1
}

// forget drops the own part and keeps peers' reports.
func (b *bucket) forget() {
	*b = bucket{peers: b.peers}
}

func (b *bucket) measure(elapsed time.Duration) {
	if elapsed > 0 {
		b.demand += demandGain * (b.offered/elapsed.Seconds() - b.demand)
		b.offered = 0
	}
}

// move shrinks the share at once, raises it out of what is free, and scales it down
// when the known shares are more than the whole. A raised share is enforced after two
// propagation times, one in which peers see the claim and one in which theirs come in,
// and only when each peer was heard in the second one: in a partition, two sides that
// claim the same free share both keep their old ones.
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

// target returns the share that this instance should have, and by how much all
// instances together are below theirs.
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

func (b *bucket) observe(report peerShare) {
	for i := range b.peers {
		if b.peers[i].peer == report.peer {
			b.peers[i] = report
			return
		}
	}
	b.peers = append(b.peers, report)
}

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

func clamp(share float64) float64 {
	if share >= 0 && share <= 1 {
		return share
	}
	return 0
}
