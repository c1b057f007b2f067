package mcmember

import (
	"sort"
	"strconv"
	"time"

	"marigoldcroft/mcmessage"
)

const (
	// Relays is the number of members a data centre that speak to the others.
	Relays = 2
	// RelayInterval is the time in which a relay speaks to each other data centre once.
	RelayInterval = 5 * time.Second
	// usageInterval is the time between two totals of the own data centre; the design
	// asks for a tenth of the exchange rate.
	usageInterval = 10 * time.Second
	// maxCentreTeams bounds the teams in a data centre's totals, those with the most
	// use first.
	maxCentreTeams = 16
	// relayPushWindow bounds the records that a relay pushes with its request.
	relayPushWindow    = 10 * time.Second
	relayPushBytes     = 2048
	relayEnvelopeBytes = 200
)

// relayPosition is how far this member has read the log of a member elsewhere.
type relayPosition struct {
	incarnation, position uint64
}

func fingerprintOf(id recordID) uint64 {
	fingerprint, err := strconv.ParseUint(id.name, 16, 64)
	if err != nil {
		return 0
	}
	return fingerprint
}

// IsRelay tells whether this member is one of its data centre's relays.
func (t *Table) IsRelay() bool {
	self := t.self.Identity
	for _, name := range topTwo("relay/"+self.DataCentre(), t.Candidates()) {
		if name == self.Instance() {
			return true
		}
	}
	return false
}

// RelayTargets returns one relay of each other data centre. It alternates between
// them from call to call; data centres of which no member is known are sought
// through the instance list.
func (t *Table) RelayTargets() []Contact {
	byCentre := make(map[string]map[string]Contact)
	add := func(c Contact) {
		if c.DataCentre == t.self.Identity.DataCentre() {
			return
		}
		if byCentre[c.DataCentre] == nil {
			byCentre[c.DataCentre] = make(map[string]Contact)
		}
		byCentre[c.DataCentre][c.Instance] = c
	}
	for _, s := range t.summaries {
		r := s.record
		if r.GetState() == mcmessage.MemberState_MEMBER_STATE_LIVE {
			add(Contact{Instance: r.GetInstance(), DataCentre: r.GetDataCentre(), Region: r.GetRegion(), Address: r.GetPeerAddress()})
		}
	}
	for _, c := range t.seeds {
		if s := t.summaries[c.Instance]; s == nil && len(byCentre[c.DataCentre]) < Relays {
			add(c)
		}
	}
	centres := make([]string, 0, len(byCentre))
	for centre := range byCentre {
		centres = append(centres, centre)
	}
	sort.Strings(centres)
	t.relayRound++
	targets := make([]Contact, 0, len(centres))
	for _, centre := range centres {
		names := make([]string, 0, len(byCentre[centre]))
		for name := range byCentre[centre] {
			names = append(names, name)
		}
		relays := topTwo("relay/"+centre, names)
		targets = append(targets, byCentre[centre][relays[t.relayRound%len(relays)]])
	}
	return targets
}

// RelayRequest returns a request to a relay of another data centre.
func (t *Table) RelayRequest(now time.Time, target Contact) *mcmessage.RelayRequest {
	t.refreshUsage(now)
	position := t.relayPositions[target.Instance]
	request := &mcmessage.RelayRequest{
		Sender: t.sender(), ConfigRevision: t.newestRevision,
		Position: position.position, PositionIncarnation: position.incarnation,
	}
	var ids []recordID
	for id, r := range t.slow {
		// Totals are due all the time and wait for the other side to ask.
		if relayed(id) && id.kind != recordUsage && now.Sub(r.changed) <= relayPushWindow {
			ids = append(ids, id)
		}
	}
	request.Records = &mcmessage.Records{}
	room := relayPushBytes
	for _, id := range t.oldestFirst(ids) {
		if !t.addRelayed(now, request.Records, id, &room) {
			break
		}
	}
	return request
}

// relayed tells whether records of the kind leave the data centre.
func relayed(id recordID) bool {
	return id.kind == recordMember || id.kind == recordMark || id.kind == recordQuarantine || id.kind == recordUsage
}

// addRelayed is addRecord with members as summaries and only the own totals.
func (t *Table) addRelayed(now time.Time, records *mcmessage.Records, id recordID, room *int) bool {
	switch {
	case id.kind == recordUsage && id.name != t.self.Identity.DataCentre():
		return true
	case id.kind != recordMember:
		return t.addRecord(now, records, id, room)
	}
	s := t.summaryOf(t.members[id.name])
	size := len(s.Instance) + len(s.DataCentre) + len(s.Region) + len(s.PeerAddress) + len(s.AdminAddress) + 40
	if size > *room {
		return false
	}
	*room -= size
	records.Summaries = append(records.Summaries, s)
	return true
}

// summaryOf describes a member to other data centres. Both relays give it the same
// sequence: that of its last change.
func (t *Table) summaryOf(m *member) *mcmessage.MemberSummary {
	r := m.record
	s := &mcmessage.MemberSummary{
		Instance: r.GetInstance(), DataCentre: r.GetDataCentre(), Region: r.GetRegion(),
		PeerAddress: r.GetPeerAddress(), AdminAddress: r.GetAdminAddress(), Incarnation: r.GetIncarnation(),
		Sequence: r.GetVersion(), State: r.GetState(), ConfigRevision: r.GetConfigRevision(),
	}
	if m.givenUp() {
		s.State, s.Sequence = mcmessage.MemberState_MEMBER_STATE_GONE, max(m.gone, r.GetVersion())
	} else if m.gone > 0 {
		s.Sequence = max(s.Sequence, m.gone+1)
	}
	return s
}

// ServeRelay merges a request of another data centre's relay and returns what has
// changed here since the position of the request, oldest change first.
func (t *Table) ServeRelay(now time.Time, request *mcmessage.RelayRequest) *mcmessage.RelayResponse {
	t.refreshUsage(now)
	t.applyForeign(now, request.GetSender().GetDataCentre(), request.GetRecords())
	t.applyRevision(request.GetConfigRevision())
	position := request.GetPosition()
	if request.GetPositionIncarnation() != t.own.record.GetIncarnation() {
		position = 0
	}
	var ids []recordID
	for id, r := range t.slow {
		if relayed(id) && r.index > position {
			ids = append(ids, id)
		}
	}
	answer := &mcmessage.RelayResponse{Sender: t.sender(), ConfigRevision: t.newestRevision, Records: &mcmessage.Records{}}
	room := MaxMessageBytes - relayEnvelopeBytes
	for _, id := range t.oldestFirst(ids) {
		if !t.addRelayed(now, answer.Records, id, &room) {
			answer.Truncated = true
			break
		}
		position = t.slow[id].index
	}
	answer.Position = position
	return answer
}

// FinishRelay merges an answer. It returns true when more is waiting at the target.
func (t *Table) FinishRelay(now time.Time, target Contact, answer *mcmessage.RelayResponse) bool {
	sender := answer.GetSender()
	t.applyForeign(now, sender.GetDataCentre(), answer.GetRecords())
	t.applyRevision(answer.GetConfigRevision())
	if len(t.relayPositions) >= maxRecords {
		clear(t.relayPositions)
	}
	t.relayPositions[target.Instance] = relayPosition{incarnation: sender.GetIncarnation(), position: answer.GetPosition()}
	return answer.GetTruncated()
}

// applyForeign merges records from the named data centre, which may speak only for
// its own members and totals.
func (t *Table) applyForeign(now time.Time, centre string, r *mcmessage.Records) {
	if centre == t.self.Identity.DataCentre() {
		return
	}
	allowed := &mcmessage.Records{Marks: r.GetMarks(), Quarantine: r.GetQuarantine()}
	for _, s := range r.GetSummaries() {
		if s.GetDataCentre() == centre {
			allowed.Summaries = append(allowed.Summaries, s)
		}
	}
	for _, u := range r.GetUsage() {
		if u.GetDataCentre() == centre {
			allowed.Usage = append(allowed.Usage, u)
		}
	}
	t.applyRecords(now, allowed, true)
}

// refreshUsage writes the totals of the own data centre when they are due. They are
// also the data centre's sign of life.
func (t *Table) refreshUsage(now time.Time) {
	centre := t.self.Identity.DataCentre()
	if u := t.usage[centre]; u != nil && now.Sub(versionTime(u.record.GetVersion())) < usageInterval {
		return
	}
	totals := make(map[uint64]*mcmessage.TeamUse)
	for _, m := range t.members {
		if m.isGone() {
			continue
		}
		for team, use := range m.usage.teams {
			if now.Sub(use.seen) > usageRetention {
				continue
			}
			if totals[team] == nil {
				totals[team] = &mcmessage.TeamUse{Team: team}
			}
			totals[team].TokensPerSecond = min(totals[team].TokensPerSecond+use.use.GetTokensPerSecond(), maxTokenRate)
			totals[team].Concurrency += use.use.GetConcurrency()
			totals[team].Share += use.use.GetShare()
		}
	}
	teams := make([]*mcmessage.TeamUse, 0, len(totals))
	for _, use := range totals {
		teams = append(teams, use)
	}
	sort.Slice(teams, func(i, j int) bool {
		a, b := teams[i], teams[j]
		return a.TokensPerSecond > b.TokensPerSecond || a.TokensPerSecond == b.TokensPerSecond && a.Team < b.Team
	})
	t.applyUsageTotal(now, &mcmessage.DataCentreUsage{
		DataCentre: centre, Version: versionAt(now), Teams: teams[:min(len(teams), maxCentreTeams)],
	})
}
