package mcentry

import (
	"sync"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// equalPart of a team's limits is divided equally among the data centres that are
	// known; the rest follows the reported demand.
	equalPart = 0.25
	// allotmentRounds is how many moves of shares inside a data centre go to one move
	// between data centres, whose summaries are slower.
	allotmentRounds = 10
)

// allotments is this data centre's part of each active team's limits. The parts of all
// data centres add up to 1 where their views agree; with a data centre out of reach
// the last view stands.
type allotments struct {
	mu     sync.Mutex
	parts  map[string]float64
	others float64
	rounds int
}

// part returns the part of a team's limits, 0 to 1.
func (a *allotments) part(team string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if part, ok := a.parts[team]; ok {
		return part
	}
	if a.others > 0 {
		return a.others
	}
	return 1
}

// refresh computes the parts again every allotmentRounds calls.
func (a *allotments) refresh(m *membership, active []marigoldcroft.TeamUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rounds++; a.rounds%allotmentRounds != 1 {
		return
	}
	centres := float64(m.dataCentres())
	a.others = 1 / centres
	a.parts = make(map[string]float64, len(active))
	for _, usage := range active {
		a.parts[usage.Team] = m.allotment(usage.Team, centres)
	}
}

func (m *membership) allotment(team string, centres float64) float64 {
	own, total := m.demand(team)
	if total <= 0 {
		return 1 / centres
	}
	return equalPart/centres + (1-equalPart)*own/total
}

// demand is what this data centre and all together ask for, in tokens a second.
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
		if view.State != mcmessage.MemberState_MEMBER_STATE_GONE || view.Age < shareHold {
			names[view.DataCentre] = true
		}
	}
	return max(1, len(names))
}
