package mcmember

import (
	"sort"
	"strconv"
	"time"

	"marigoldcroft/mcmessage"
)

const (
	// RelaysPerCentre is the number of members per data centre that exchange records with other
	// data centres.
	RelaysPerCentre = 2
	// RelayInterval is the time between two calls of a relay to the same data centre.
	RelayInterval = 5 * time.Second
	// usageInterval is the time between two usage totals of this data centre. The design
	// asks for a tenth of the exchange rate.
	usageInterval = 10 * time.Second
	// maxCentreTeams limits the teams in a data centre's usage totals. The teams with the
	// highest token rate are kept.
	maxCentreTeams = 16
	// relayPushWindow is the age up to which a relay pushes changed records with its request.
	relayPushWindow    = 10 * time.Second
	relayPushBytes     = 2048
	relayEnvelopeBytes = 200
)

// relayPosition is the position up to which this member has read the changes of a relay in
// another data centre. It is valid for one incarnation of that relay.
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

// IsRelay reports whether this member is one of its data centre's relays.
func (t *Table) IsRelay() bool {
	self := t.self.Identity
	for _, name := range topTwo("relay/"+self.DataCentre(), t.Candidates()) {
		if name == self.Instance() {
			return true
		}
	}
	return false
}

// RelayTargets returns one relay of each other data centre, alternating between its relays
// from call to call. While fewer than RelaysPerCentre live members of a data centre are known, contacts
// from the instance list are used as well.
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
	for _, c := range t.listedInstances {
		if s := t.summaries[c.Instance]; s == nil && len(byCentre[c.DataCentre]) < RelaysPerCentre {
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

// RelayRequest returns the next request to target, a relay of another data centre.
func (t *Table) RelayRequest(now time.Time, target Contact) *mcmessage.RelayRequest {
	t.refreshCentreUsage(now)
	position := t.relayPositions[target.Instance]
	request := &mcmessage.RelayRequest{
		Sender: t.sender(), ConfigRevision: t.newestRevision,
		Position: position.position, PositionIncarnation: position.incarnation,
	}
	var ids []recordID
	for id, r := range t.replication {
		// Usage totals change all the time, so they are sent only in answers.
		if isRelayed(id) && id.kind != recordUsage && now.Sub(r.changedAt) <= relayPushWindow {
			ids = append(ids, id)
		}
	}
	request.Records = &mcmessage.Records{}
	bytesLeft := relayPushBytes
	for _, id := range t.oldestFirst(ids) {
		if !t.addRelayed(now, request.Records, id, &bytesLeft) {
			break
		}
	}
	return request
}

// isRelayed reports whether records of this kind are sent to other data centres.
func isRelayed(id recordID) bool {
	return id.kind == recordMember || id.kind == recordMark || id.kind == recordQuarantine || id.kind == recordUsage
}

// addRelayed is addRecord for relays: it sends members as summaries, and usage totals only
// of this data centre.
func (t *Table) addRelayed(now time.Time, records *mcmessage.Records, id recordID, bytesLeft *int) bool {
	switch {
	case id.kind == recordUsage && id.name != t.self.Identity.DataCentre():
		return true
	case id.kind != recordMember:
		return t.addRecord(now, records, id, bytesLeft)
	}
	s := t.summaryOf(t.members[id.name])
	size := len(s.Instance) + len(s.DataCentre) + len(s.Region) + len(s.PeerAddress) + len(s.AdminAddress) + 40
	if size > *bytesLeft {
		return false
	}
	*bytesLeft -= size
	records.Summaries = append(records.Summaries, s)
	return true
}

// summaryOf returns the summary of a member for other data centres. Its sequence is that
// of the member's last change, so that both relays send the same one.
func (t *Table) summaryOf(m *member) *mcmessage.MemberSummary {
	r := m.record
	s := &mcmessage.MemberSummary{
		Instance: r.GetInstance(), DataCentre: r.GetDataCentre(), Region: r.GetRegion(),
		PeerAddress: r.GetPeerAddress(), AdminAddress: r.GetAdminAddress(), Incarnation: r.GetIncarnation(),
		Sequence: r.GetVersion(), State: r.GetState(), ConfigRevision: r.GetConfigRevision(),
	}
	if m.isRemoved() {
		s.State, s.Sequence = mcmessage.MemberState_MEMBER_STATE_GONE, max(m.goneSequence, r.GetVersion())
	} else if m.goneSequence > 0 {
		s.Sequence = max(s.Sequence, m.goneSequence+1)
	}
	return s
}

// ServeRelay merges the request of a relay in another data centre and returns the records
// that have changed since the position in the request, oldest change first.
func (t *Table) ServeRelay(now time.Time, request *mcmessage.RelayRequest) *mcmessage.RelayResponse {
	t.refreshCentreUsage(now)
	t.applyForeign(now, request.GetSender().GetDataCentre(), request.GetRecords())
	t.applyRevision(request.GetConfigRevision())
	position := request.GetPosition()
	if request.GetPositionIncarnation() != t.own.record.GetIncarnation() {
		position = 0
	}
	var ids []recordID
	for id, r := range t.replication {
		if isRelayed(id) && r.changeIndex > position {
			ids = append(ids, id)
		}
	}
	answer := &mcmessage.RelayResponse{Sender: t.sender(), ConfigRevision: t.newestRevision, Records: &mcmessage.Records{}}
	bytesLeft := MaxMessageBytes - relayEnvelopeBytes
	for _, id := range t.oldestFirst(ids) {
		if !t.addRelayed(now, answer.Records, id, &bytesLeft) {
			answer.Truncated = true
			break
		}
		position = t.replication[id].changeIndex
	}
	answer.Position = position
	return answer
}

// FinishRelay merges the answer of target. It returns true if target has more records to
// send.
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

// applyForeign merges records from another data centre. Summaries and usage totals are
// accepted only for that data centre itself.
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

// refreshCentreUsage updates the usage totals of this data centre if they are older than
// usageInterval. Other data centres also take them as a heartbeat of this one.
func (t *Table) refreshCentreUsage(now time.Time) {
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
			if now.Sub(use.seenAt) > usageRetention {
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
