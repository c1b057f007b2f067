package mcmember_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// Guards against instances without the store that learn too late, or not at all, that a data centre is
// evacuated, and against members that keep an older statement: of two that were made at the same time, of
// an earlier era of the store, or of a member that was behind.
func TestEvacuationsReachAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 12
		f := newFleet(t, members, centreA)
		f.startAll(func(m *mcmember.Member) { m.MinExchangeInterval, m.Budget = 300*time.Millisecond, 128<<10 })
		set := func(i int, evacuated bool, era, revision uint64) {
			f.members[instanceName(centreA, i)].SetEvacuation(&mcmessage.Evacuation{
				DataCentre: "z", Evacuated: evacuated, Era: era, Revision: revision, SinceUnixMs: time.Now().UnixMilli(),
			})
		}
		held := func(evacuated bool, era, revision uint64) {
			t.Helper()
			time.Sleep(time.Second)
			for name, m := range f.members {
				records := m.Evacuations()
				require.Len(t, records, 1, name)
				require.Equal(t, evacuated, records[0].GetEvacuated(), name)
				require.Equal(t, era, records[0].GetEra(), name)
				require.Equal(t, revision, records[0].GetRevision(), name)
			}
		}
		set(0, true, 0, 100)
		held(true, 0, 100)
		set(1, false, 0, 120)
		set(2, true, 0, 110)
		held(false, 0, 120)
		set(3, true, 1, 50)
		held(true, 1, 50)
		set(4, false, 0, 130)
		held(true, 1, 50)
		set(5, true, 1, 70)
		held(true, 1, 50)
	})
}

// Guards against an evacuation in force that is forgotten, and against ended ones that are kept for good.
func TestEndedEvacuationIsForgotten(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := mcmember.NewTable(mcmember.Self{Identity: marigoldcroft.NewIdentity("copo", region, centreA, "a", now, 1)}, now, 1)
	table.SetEvacuation(now, &mcmessage.Evacuation{DataCentre: "y", Evacuated: true, Revision: 1, SinceUnixMs: now.UnixMilli()})
	table.SetEvacuation(now, &mcmessage.Evacuation{DataCentre: "z", Revision: 1, SinceUnixMs: now.UnixMilli()})
	table.Tick(now.Add(30 * time.Minute))
	require.Len(t, table.Evacuations(), 2)
	table.Tick(now.Add(2 * time.Hour))
	require.Len(t, table.Evacuations(), 1)
	require.Equal(t, "y", table.Evacuations()[0].GetDataCentre())
}
