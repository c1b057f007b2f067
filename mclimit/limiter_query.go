package mclimit

import (
	"sort"

	"marigoldcroft"
)

// Usage returns the usage of each active team at this instance, sorted by team, for the
// report to peers.
func (l *Limiter) Usage() []marigoldcroft.TeamUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := make([]marigoldcroft.TeamUsage, 0, len(l.teams))
	for name, b := range l.teams {
		if !b.usedAt.IsZero() {
			usage = append(usage, marigoldcroft.TeamUsage{
				Team: name, TokensPerSecond: b.demand, Concurrency: b.running, Share: b.share,
			})
		}
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].Team < usage[j].Team })
	return usage
}

// Share returns the fraction of the team's limits that this instance enforces, or 0 for
// an unknown team.
func (l *Limiter) Share(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.teams[team]; b != nil {
		return b.enforcedShare
	}
	return 0
}

// Active returns the number of teams for which the limiter holds a bucket.
func (l *Limiter) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.teams)
}
