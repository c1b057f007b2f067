package mcmember_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// tableNetwork is a set of tables with the messages in transit between them. A message
// stays in transit after its delivery, so that it can be delivered again at any later time.
type tableNetwork struct {
	t            *rapid.T
	now          time.Time
	tables       []*mcmember.Table
	inTransit    []func()
	lastVersions []map[string]mcmember.Version
}

func newTableNetwork(t *rapid.T, n int) *tableNetwork {
	m := &tableNetwork{t: t, now: time.Unix(1_800_000_000, 0)}
	listed := marigoldcroft.InstanceListing{}
	for i := range 3 {
		listed.Endpoints = append(listed.Endpoints, marigoldcroft.ListedEndpoint{Name: fmt.Sprint("e", i), DataCentre: centreA, Address: "http://e"})
	}
	for i := range n {
		id := marigoldcroft.NewIdentity("copo", region, centreA, instanceName(centreA, i), m.now, uint64(i))
		table := mcmember.NewTable(mcmember.Self{Identity: id, PeerAddress: id.Instance()}, m.now, uint64(i))
		table.ApplyListing(m.now, listed)
		m.tables = append(m.tables, table)
		m.lastVersions = append(m.lastVersions, mcmember.Versions(table))
	}
	return m
}

func (m *tableNetwork) pick(label string) *mcmember.Table {
	return m.tables[rapid.IntRange(0, len(m.tables)-1).Draw(m.t, label)]
}

// send puts a request from a to b in transit. Its delivery puts the answer in transit.
func (m *tableNetwork) send(a, b *mcmember.Table, keys bool) {
	sent := a.Request(m.now, keys)
	m.inTransit = append(m.inTransit, func() {
		answer := b.Serve(m.now, proto.Clone(sent.Request).(*mcmessage.ExchangeRequest))
		require.LessOrEqual(m.t, proto.Size(answer), mcmember.MaxMessageBytes)
		m.inTransit = append(m.inTransit, func() { a.Finish(m.now, sent, proto.Clone(answer).(*mcmessage.ExchangeResponse)) })
	})
}

// checkMonotonic fails if a table has lost a record or holds an older version of it than at
// the last check.
func (m *tableNetwork) checkMonotonic() {
	for i, table := range m.tables {
		now := mcmember.Versions(table)
		for key, before := range m.lastVersions[i] {
			after, held := now[key]
			require.True(m.t, held, "%s was lost at table %d", key, i)
			require.GreaterOrEqual(m.t, after.Incarnation, before.Incarnation, "%s at table %d", key, i)
			for j := range before.Numbers {
				if after.Incarnation == before.Incarnation {
					require.GreaterOrEqual(m.t, after.Numbers[j], before.Numbers[j], "%s at table %d, number %d", key, i, j)
				}
			}
		}
		m.lastVersions[i] = now
	}
}

// changeAny makes a random change at a random table, of a kind that an instance makes itself.
func (m *tableNetwork) changeAny() {
	table, draw := m.pick("owner"), func(n int, label string) int { return rapid.IntRange(0, n).Draw(m.t, label) }
	endpoint := fmt.Sprint("e", draw(2, "endpoint"))
	switch draw(6, "change") {
	case 0:
		require.NoError(m.t, table.SetLeaving(m.now, endpoint, draw(1, "leaving") == 1))
	case 1:
		table.SetQuarantine(m.now, &mcmessage.QuarantineEntry{
			Fingerprint: uint64(draw(1, "fingerprint")), Crashes: uint32(draw(3, "crashes")),
			Cleared: draw(1, "cleared") == 1, ExpiresUnixMs: m.now.Add(time.Hour).UnixMilli(),
		})
	case 2:
		table.SetRevision(m.now, uint64(draw(3, "applied")), uint64(draw(9, "newest")))
	case 3:
		table.SetInFlight(m.now, map[string]marigoldcroft.InFlight{endpoint: {Short: draw(9, "short")}})
	case 4:
		table.ObserveFailure(m.now, m.now, endpoint, true)
	default:
		require.NoError(m.t, table.ObservePoll(m.now, m.now, marigoldcroft.LoadReport{
			Endpoint: endpoint, Incarnation: uint64(draw(2, "incarnation")), Time: m.now,
			// The report is a function of the time, as an endpoint has only one state at a time.
			Running: int(m.now.UnixMilli() % 7), Leaving: m.now.UnixMilli()%2 == 1,
		}))
	}
}

// converge discards the messages in transit and runs exchanges between all pairs of tables,
// more often than they need to converge.
func (m *tableNetwork) converge() {
	m.inTransit = nil
	for range 12 {
		m.now = m.now.Add(100 * time.Millisecond)
		for i, a := range m.tables {
			for j, b := range m.tables {
				if i == j {
					continue
				}
				for _, keys := range []bool{false, true} {
					sent := a.Request(m.now, keys)
					if !a.Finish(m.now, sent, b.Serve(m.now, sent.Request)) {
						break
					}
				}
			}
		}
		m.checkMonotonic()
	}
}

// TestTablesConverge loses, repeats and reorders messages at random. A merge whose result
// depends on the order of messages would leave the tables different at the end, or would put an
// older version of a record in place of a newer one.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableNetwork(t, rapid.IntRange(2, 4).Draw(t, "tables"))
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { m.changeAny() },
			"send":   func(t *rapid.T) { m.send(m.pick("from"), m.pick("to"), rapid.Bool().Draw(t, "keys")) },
			"deliver": func(t *rapid.T) {
				if len(m.inTransit) > 0 {
					m.inTransit[rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message")]()
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				for _, table := range m.tables {
					table.Tick(m.now)
				}
			},
			"": func(*rapid.T) { m.checkMonotonic() },
		})
		m.converge()
		want := mcmember.Agreed(m.tables[0])
		for i, table := range m.tables {
			require.Equal(t, want, mcmember.Agreed(table), "table %d differs from table 0", i)
		}
	})
}
