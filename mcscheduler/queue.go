package mcscheduler

import "time"

const (
	// urgencyLevels is the number of urgency levels.
	urgencyLevels = 3
	// fairnessSlackTokens is the difference in received service, about one short
	// request, within which the earliest deadline decides between teams.
	fairnessSlackTokens = 4096
	// teamLifetime is the idle time after which a team's record is removed.
	teamLifetime = 60 * time.Second
)

type (
	// team holds the waiting work of one team in one lane, by level, and the service
	// that the team has received.
	team struct {
		name string
		// served is the team's virtual time: tokens of service divided by its weight.
		served float64
		usedAt time.Duration
		levels [urgencyLevels]indexedHeap
		queued int
	}

	// lane is the queue of one class of requests of one model. More urgent levels go
	// first. Within a level, teams share by weighted fair queueing: those with the least
	// service go first, and among them the earliest deadline.
	lane struct {
		teams  map[string]*team
		active [urgencyLevels][]*team
		// virtualTime is the virtual time that dispatches have reached. A team that was
		// idle resumes from there.
		virtualTime float64
		count       int
		// prefillSeconds and kv sum the predicted prefill time and the KV tokens of waiting
		// work by level.
		prefillSeconds [urgencyLevels]float64
		kv             [urgencyLevels]int64
		// counts is the number of waiting items by level.
		counts [urgencyLevels]int
		// regions holds sums of the waiting work that has home regions, by its set of them.
		regions []*regionQueue
	}
)

// team returns the lane's record of a team and creates it when needed.
func (l *lane) team(now time.Duration, name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{name: name, served: l.virtualTime}
		for i := range t.levels {
			t.levels[i] = indexedHeap{less: lessInTeam, indexOf: queueIndexOf}
		}
		if l.teams == nil {
			l.teams = make(map[string]*team)
		}
		l.teams[name] = t
	}
	t.usedAt = now
	return t
}

func lessInTeam(a, b *item) bool {
	if a.sortKey != b.sortKey {
		return a.sortKey < b.sortKey
	}
	return a.sequence < b.sequence
}

func queueIndexOf(it *item) *int { return &it.queueIndex }

// push adds the item at its level.
func (l *lane) push(it *item) {
	t := it.team
	if t.queued == 0 {
		// An idle team accumulates no credit.
		t.served = max(t.served, l.virtualTime)
	}
	if t.levels[it.level].len() == 0 {
		l.active[it.level] = append(l.active[it.level], t)
	}
	t.levels[it.level].push(it)
	t.queued++
	l.count++
	l.prefillSeconds[it.level] += it.prefillSeconds
	l.kv[it.level] += it.kv
	l.counts[it.level]++
	l.addRegions(it, 1)
}

// remove takes the item out of the lane.
func (l *lane) remove(it *item) {
	t := it.team
	t.levels[it.level].remove(it)
	t.queued--
	l.count--
	l.prefillSeconds[it.level] -= it.prefillSeconds
	l.kv[it.level] -= it.kv
	l.counts[it.level]--
	l.addRegions(it, -1)
	if t.levels[it.level].len() > 0 {
		return
	}
	active := l.active[it.level]
	for i, other := range active {
		if other == t {
			last := len(active) - 1
			active[i] = active[last]
			active[last] = nil
			l.active[it.level] = active[:last]
			break
		}
	}
	if len(l.active[it.level]) == 0 {
		l.prefillSeconds[it.level] = 0 // discards rounding errors
	}
}

// first returns the next item in order, or nil.
func (l *lane) first() *item {
	if l.count == 0 {
		return nil
	}
	for level := range l.active {
		if len(l.active[level]) > 0 {
			return l.firstAt(level)
		}
	}
	return nil
}

func (l *lane) firstAt(level int) *item {
	least := l.active[level][0].served
	for _, t := range l.active[level][1:] {
		least = min(least, t.served)
	}
	var best *item
	for _, t := range l.active[level] {
		if t.served > least+fairnessSlackTokens {
			continue
		}
		if it := t.levels[level].top(); best == nil || lessInTeam(it, best) {
			best = it
		}
	}
	return best
}

// charge accounts for the dispatch of the item.
func (l *lane) charge(now time.Duration, it *item, tokens float64) {
	if it.team == nil {
		it.team = l.team(now, it.work.Team)
		it.team.served = max(it.team.served, l.virtualTime)
	}
	t := it.team
	t.usedAt = now
	l.virtualTime = max(l.virtualTime, t.served)
	it.chargedService = tokens / it.weight()
	t.served += it.chargedService
}

// removeIdleTeams removes the records of teams that have been idle for teamLifetime.
func (l *lane) removeIdleTeams(now time.Duration) {
	for name, t := range l.teams {
		if t.queued == 0 && now-t.usedAt > teamLifetime {
			delete(l.teams, name)
		}
	}
}
