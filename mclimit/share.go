package mclimit

import (
	"time"

	"marigoldcroft"
)

type (
	// peer is another instance of the data centre.
	peer struct {
		incarnation uint64
		// lastReportAt is when the last report was received.
		lastReportAt time.Time
	}

	// peerReport is the usage of one team that a peer reported last.
	peerReport struct {
		peer        *peer
		receivedAt  time.Time
		share       float32
		demand      float32
		concurrency uint32
	}
)

const (
	// equalFraction is the fraction of a limit that is divided equally among the instances
	// that serve a team, so that an instance with little demand can serve some requests.
	// The rest is divided in proportion to demand.
	equalFraction = 0.1
	// maxReportAgePropagations is the greatest age of a peer's last report, in propagation
	// times, at which this instance still changes its shares.
	maxReportAgePropagations = 3
	// demandSmoothingFactor is the weight of the newest interval in the exponentially
	// weighted moving average of demand.
	demandSmoothingFactor = 0.5
	// shareSumTolerance is the rounding error allowed in sums of shares.
	shareSumTolerance = 1e-6
)

// SetMembers replaces the set of the other instances of the data centre. The caller must
// keep a member that is only unreachable, as it still admits requests up to its share. It
// must leave out a member that has stopped or is no longer on the instance list, which frees
// that member's share.
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
		b.filterPeerReports(func(s peerReport) bool { return kept[s.peer] })
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
			b.filterPeerReports(func(s peerReport) bool { return s.peer != p })
		}
	}
	p.incarnation, p.lastReportAt = incarnation, now
	for _, u := range usage {
		l.bucketOf(u.Team).setPeerReport(peerReport{
			peer: p, receivedAt: now, share: float32(validShareOrZero(u.Share)),
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
	oldestReport := l.oldestLastReport(now)
	for name, b := range l.teams {
		b.filterPeerReports(func(s peerReport) bool {
			return now.Sub(s.receivedAt) < idleAfter || s.peer.lastReportAt.Equal(s.receivedAt)
		})
		if b.idle(now) {
			b.resetLocal()
			if len(b.peerReports) == 0 {
				delete(l.teams, name)
			}
			continue
		}
		if b.usedAt.IsZero() {
			continue
		}
		b.refill(now)
		b.updateDemand(elapsed)
		b.adjustShare(now, oldestReport, l.propagation())
	}
}

// oldestLastReport returns the time of the oldest last report among all peers, or now if
// there are no peers.
func (l *Limiter) oldestLastReport(now time.Time) time.Time {
	oldest := now
	for _, p := range l.peers {
		if p.lastReportAt.Before(oldest) {
			oldest = p.lastReportAt
		}
	}
	return oldest
}

// initialShare returns the initial share of this instance for a team, given the number of
// members including this one. It is 1/members of the larger of two values: the free share,
// and the smallest positive share of a peer (at most 1/members).
func (b *bucket) initialShare(members int) float64 {
	n := float64(members)
	smallest, free := 1/n, 1.0
	for _, p := range b.peerReports {
		free -= float64(p.share)
		if p.share > 0 {
			smallest = min(smallest, float64(p.share))
		}
	}
	return max(free, smallest) / n
}

// idle reports whether no request runs, none has come or ended for idleAfter, and the
// bucket is full to within one token.
func (b *bucket) idle(now time.Time) bool {
	return b.running == 0 && now.Sub(b.usedAt) >= idleAfter && b.level >= b.burst*b.enforcedShare-1
}

// resetLocal resets the state of this instance and keeps the reports of peers.
func (b *bucket) resetLocal() {
	*b = bucket{peerReports: b.peerReports}
}

// updateDemand updates the smoothed demand with the tokens requested in the last interval.
func (b *bucket) updateDemand(elapsed time.Duration) {
	if elapsed > 0 {
		b.demand += demandSmoothingFactor * (b.requestedTokens/elapsed.Seconds() - b.demand)
		b.requestedTokens = 0
	}
}

// adjustShare adjusts the share towards its target. A decrease is enforced at once. An
// increase is taken from the free share only, and is enforced after two propagation times:
// one in which peers receive the claim, and one in which their claims arrive here. It is
// enforced only if every peer has reported since the first of these ended, so that two
// sides of a partition that claim the same free share both keep their old shares. If the
// known shares add up to more than 1, the share is scaled down in proportion. Until an
// increase is enforced, or while the last report of some peer is too old, nothing else
// changes.
func (b *bucket) adjustShare(now, oldestReport time.Time, propagation time.Duration) {
	sum := b.share
	for _, p := range b.peerReports {
		sum += float64(p.share)
	}
	if sum > 1+shareSumTolerance {
		b.share /= sum
		b.enforcedShare = min(b.enforcedShare, b.share)
		return
	}
	claimReceived := b.raisedAt.Add(propagation)
	if now.Before(claimReceived.Add(propagation)) || oldestReport.Before(claimReceived) || now.Sub(oldestReport) > maxReportAgePropagations*propagation {
		return
	}
	b.enforcedShare = b.share
	target, deficit := b.target()
	if target <= b.share {
		b.share = target
		b.enforcedShare = target
		return
	}
	increase := target - b.share
	if raise := min(increase, (1-sum)*increase/deficit); raise > shareSumTolerance {
		b.share += raise
		b.raisedAt = now
	}
}

// target returns the share that this instance should have by demand, and the sum of what
// all instances lack to reach their targets.
func (b *bucket) target() (own, deficit float64) {
	demand := b.demand
	for _, p := range b.peerReports {
		demand += float64(p.demand)
	}
	n := float64(len(b.peerReports) + 1)
	targetShare := func(instanceDemand float64) float64 {
		if demand <= 0 {
			return 1 / n
		}
		return equalFraction/n + (1-equalFraction)*instanceDemand/demand
	}
	own = targetShare(b.demand)
	deficit = max(0, own-b.share)
	for _, p := range b.peerReports {
		deficit += max(0, targetShare(float64(p.demand))-float64(p.share))
	}
	return own, deficit
}

// setPeerReport replaces the report of the same peer, or adds a new one.
func (b *bucket) setPeerReport(report peerReport) {
	for i := range b.peerReports {
		if b.peerReports[i].peer == report.peer {
			b.peerReports[i] = report
			return
		}
	}
	b.peerReports = append(b.peerReports, report)
}

// filterPeerReports removes the reports for which keep returns false.
func (b *bucket) filterPeerReports(keep func(peerReport) bool) {
	kept := b.peerReports[:0]
	for _, p := range b.peerReports {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	clear(b.peerReports[len(kept):])
	b.peerReports = kept
}

// validShareOrZero returns share, or 0 if a peer reported a value outside 0 to 1 or NaN.
func validShareOrZero(share float64) float64 {
	if share >= 0 && share <= 1 {
		return share
	}
	return 0
}
