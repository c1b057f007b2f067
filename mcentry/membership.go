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
	// confirmTimeout limits the request to an endpoint whose last known state is too old.
	confirmTimeout = 500 * time.Millisecond
)

// membership answers the other components' queries from the member table.
type membership struct {
	member *mcmember.Member
	pool   *mcpeer.Pool
	// self is the name of this instance.
	self       string
	dataCentre string
}

// endpoint returns the endpoint and whether new work may be sent to it. If the last known
// state is older than mcmember.ConfirmAge, it asks the endpoint itself.
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

// engines returns the listed model engines of this data centre, each with its leaving mark.
func (m *membership) engines() []marigoldcroft.Endpoint {
	var endpoints []marigoldcroft.Endpoint
	for _, view := range m.member.Endpoints() {
		if view.Listed && view.Endpoint.Kind() == marigoldcroft.EndpointEngine {
			endpoints = append(endpoints, view.Endpoint.WithLeaving(view.Leaving))
		}
	}
	return endpoints
}

// largestEngineTokens returns the largest KV cache capacity in tokens among the model's usable
// engines.
func (m *membership) largestEngineTokens(model string) int64 {
	var largest int64
	for _, view := range m.member.Endpoints() {
		if view.Endpoint.Pool() == model && !view.Leaving && !view.Down {
			largest = max(largest, view.Report.KVCapacityTokens)
		}
	}
	return largest
}

// joinInstance returns a client of the instance in this data centre that is responsible for the
// key. If that is this instance, it returns nil and true.
func (m *membership) joinInstance(key string) (mcmessage.StreamServiceClient, bool) {
	return m.streamClient(mcmember.Home(key, m.member.Candidates()))
}

// suspectInstance returns a client of the only instance in the deployment that may run a
// request suspected of crashing endpoints. If that is this instance, it returns nil and
// true.
func (m *membership) suspectInstance(fingerprint mcquarantine.Fingerprint) (mcmessage.StreamServiceClient, bool) {
	key := "suspect/" + strconv.FormatUint(uint64(fingerprint), 16)
	return m.streamClient(mcmember.Home(key, m.member.DeploymentCandidates()))
}

// streamClient returns a client of the instance's stream service. For this instance, or if
// there is none, it returns nil and true; for an instance without a connection, nil and
// false.
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

// live returns the other members that are not gone. Members in this data centre come
// first.
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

// ConfigPeers returns clients of the live instances, from which configuration can be
// fetched.
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

// announce passes changed quarantine entries to the membership, which sends them to peers
// immediately.
func (m *membership) announce(entries []*mcmessage.QuarantineEntry) {
	for _, entry := range entries {
		m.member.SetQuarantine(entry)
	}
}
