package mclimit

import (
	"sort"

	"marigoldcroft"
)

// Usage returns this instance's use of each active team, by team, for the exchange.
func (l *Limiter) Usage() []marigoldcroft.TeamUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := make([]marigoldcroft.TeamUsage, 0, len(l.teams))
	for name, b := range l.teams {
		if !b.used.IsZero() {
			usage = append(usage, marigoldcroft.TeamUsage{
				Team: name, TokensPerSecond: b.demand, Concurrency: b.running, Share: b.share,
			})
		}
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].Team < usage[j].Team })
	return usage
}

// Share returns the part of the team's limits that this instance enforces.
func (l *Limiter) Share(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.teams[team]; b != nil {
		return b.granted
	}
	return 0
}

// Active returns the number of teams that cost memory now.
func (l *Limiter) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.teams)
}
