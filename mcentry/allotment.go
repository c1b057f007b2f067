package mcentry

import (
	"sync"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// equalFraction is the fraction of a team's limits that is divided equally among the known
	// data centres. The rest is divided in proportion to the reported demand.
	equalFraction = 0.25
	// roundsPerRefresh is the number of rebalancing rounds within a data centre for each one
	// between data centres, whose usage summaries arrive less often.
	roundsPerRefresh = 10
)

// teamFractions holds this data centre's fraction of each active team's limits. The fractions
// of all data centres add up to 1 if their views agree. For a data centre that is out of
// reach, the last view remains in use.
type teamFractions struct {
	mu              sync.Mutex
	fractions       map[string]float64
	defaultFraction float64
	rounds          int
}

// fraction returns this data centre's fraction of a team's limits, from 0 to 1.
func (a *teamFractions) fraction(team string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if part, ok := a.fractions[team]; ok {
		return part
	}
	if a.defaultFraction > 0 {
		return a.defaultFraction
	}
	return 1
}

// refresh recomputes the fractions on every roundsPerRefresh-th call, starting with the
// first.
func (a *teamFractions) refresh(m *membership, active []marigoldcroft.TeamUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rounds++; a.rounds%roundsPerRefresh != 1 {
		return
	}
	centres := float64(m.dataCentres())
	a.defaultFraction = 1 / centres
	a.fractions = make(map[string]float64, len(active))
	for _, usage := range active {
		a.fractions[usage.Team] = m.dataCentreFraction(usage.Team, centres)
	}
}

func (m *membership) dataCentreFraction(team string, centres float64) float64 {
	own, total := m.demand(team)
	if total <= 0 {
		return 1 / centres
	}
	return equalFraction/centres + (1-equalFraction)*own/total
}

// demand returns the team's reported usage in tokens per second, in this data centre and
// in all of them.
func (m *membership) demand(team string) (own, total float64) {
	for _, usage := range m.member.PeerUsage(team) {
		own += usage.TokensPerSecond
	}
	total = own
	for _, usage := range m.member.CentreUsage(team) {
		total += usage.TokensPerSecond
	}
	return own, total
}

func (m *membership) dataCentres() int {
	names := make(map[string]bool)
	for _, view := range m.member.Members() {
		if view.State != mcmessage.MemberState_MEMBER_STATE_GONE || view.Age < shareReservation {
			names[view.DataCentre] = true
		}
	}
	return max(1, len(names))
}
