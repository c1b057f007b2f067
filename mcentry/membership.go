package mcentry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcpeer"
	"marigoldcroft/mcquarantine"
)

const (
	// confirmTimeout bounds the question to an endpoint whose view is too old.
	confirmTimeout = 500 * time.Millisecond
)

// membership answers questions of the other parts from the member table.
type membership struct {
	member *mcmember.Member
	pool   *mcpeer.Pool
	// self is the name of this instance.
	self       string
	dataCentre string
}

// endpoint returns the endpoint if new work may be sent to it. A view that is too old
// to be sure is confirmed by asking the endpoint itself.
func (m *membership) endpoint(name string) (marigoldcroft.Endpoint, bool) {
	view, known := m.member.Endpoint(name)
	if known && view.Age > mcmember.ConfirmAge {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		var err error
		if view, err = m.member.Confirm(ctx, name); err != nil {
			return marigoldcroft.Endpoint{}, false
		}
	}
	return view.Endpoint, known && !view.Leaving && !view.Down
}

// engines returns the model engines of this data centre with their leaving marks.
func (m *membership) engines() []marigoldcroft.Endpoint {
	var endpoints []marigoldcroft.Endpoint
	for _, view := range m.member.Endpoints() {
		if view.Listed && view.Endpoint.Kind() == marigoldcroft.EndpointEngine {
			endpoints = append(endpoints, view.Endpoint.WithLeaving(view.Leaving))
		}
	}
	return endpoints
}

// largestEngine returns the KV memory in tokens of the largest engine of the model.
func (m *membership) largestEngine(model string) int64 {
	var largest int64
	for _, view := range m.member.Endpoints() {
		if view.Endpoint.Pool() == model && !view.Leaving && !view.Down {
			largest = max(largest, view.Report.KVCapacityTokens)
		}
	}
	return largest
}

// home returns the client of the data centre's instance that is first for the key.
func (m *membership) home(key string) (mcmessage.StreamServiceClient, bool) {
	return m.streamClient(mcmember.Home(key, m.member.Candidates()))
}

// suspectHome returns the client of the deployment's instance that alone runs a suspect.
func (m *membership) suspectHome(fingerprint mcquarantine.Fingerprint) (mcmessage.StreamServiceClient, bool) {
	key := "suspect/" + strconv.FormatUint(uint64(fingerprint), 16)
	return m.streamClient(mcmember.Home(key, m.member.DeploymentCandidates()))
}

func (m *membership) streamClient(instance string) (mcmessage.StreamServiceClient, bool) {
	if instance == m.self || instance == "" {
		return nil, true
	}
	conn, err := m.pool.Conn(m.address(instance))
	if err != nil {
		return nil, false
	}
	return mcmessage.NewStreamServiceClient(conn), false
}

// address returns the peer address of an instance, or "" for one that is not known.
func (m *membership) address(instance string) string {
	for _, view := range m.member.Members() {
		if view.Instance == instance {
			return view.Address
		}
	}
	return ""
}

// live returns the other members that have not left or been given up, those of this
// data centre first.
func (m *membership) live() []mcmember.MemberView {
	var views []mcmember.MemberView
	for _, view := range m.member.Members() {
		if view.Instance != m.self && view.State != mcmessage.MemberState_MEMBER_STATE_GONE {
			views = append(views, view)
		}
	}
	slices.SortStableFunc(views, func(a, b mcmember.MemberView) int {
		return m.distance(a) - m.distance(b)
	})
	return views
}

func (m *membership) distance(view mcmember.MemberView) int {
	if view.DataCentre == m.dataCentre {
		return 0
	}
	return 1
}

// ConfigPeers returns clients of the instances that may hold the configuration.
func (m *membership) ConfigPeers() []mcmessage.ConfigServiceClient {
	var clients []mcmessage.ConfigServiceClient
	for _, view := range m.live() {
		conn, err := m.pool.Conn(view.Address)
		if err == nil {
			clients = append(clients, mcmessage.NewConfigServiceClient(conn))
		}
	}
	return clients
}

// announce hands changed quarantine entries to the exchange, which pushes them at once.
func (m *membership) announce(entries []*mcmessage.QuarantineEntry) {
	for _, entry := range entries {
		m.member.SetQuarantine(entry)
	}
}
