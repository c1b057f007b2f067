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

// Guards against instances that learn too late, or not at all, that an endpoint limits its requests,
// and against members that keep different ones of two limits that were written at the same time.
func TestLimitsReachAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 12
		f := newFleet(t, members, centreA)
		f.startAll(func(m *mcmember.Member) { m.MinExchangeInterval, m.Budget = 300*time.Millisecond, 128<<10 })
		version := uint64(time.Now().UnixMilli())
		set := func(i int, limited bool, perSecond float64) {
			f.members[instanceName(centreA, i)].SetLimit(&mcmessage.EndpointLimit{Endpoint: "e", Version: version, Limited: limited, PerSecond: perSecond})
		}
		held := func(limited bool, perSecond float64) {
			t.Helper()
			time.Sleep(2 * time.Second)
			for name, m := range f.members {
				limits := m.Limits()
				require.Len(t, limits, 1, name)
				require.Equal(t, limited, limits[0].GetLimited(), name)
				require.Equal(t, perSecond, limits[0].GetPerSecond(), name)
			}
		}
		set(0, true, 5)
		set(1, true, 2)
		held(true, 2)
		version++
		set(2, false, 0)
		held(false, 0)
		version--
		set(3, true, 1)
		held(false, 0)
	})
}

// Guards against limits of endpoints that are kept for good although no instance states them any more.
func TestLimitThatIsNotWrittenAgainIsForgotten(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := mcmember.NewTable(mcmember.Self{Identity: marigoldcroft.NewIdentity("copo", region, centreA, "a", now, 1)}, now, 1)
	table.SetLimit(now, &mcmessage.EndpointLimit{Endpoint: "e", Version: uint64(now.UnixMilli()), Limited: true, PerSecond: 1})
	table.Tick(now.Add(30 * time.Minute))
	require.Len(t, table.Limits(), 1)
	table.Tick(now.Add(2 * time.Hour))
	require.Empty(t, table.Limits())
}
