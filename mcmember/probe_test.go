package mcmember_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// Before a member is removed it must be probed through two others, because the direct path
// alone may be broken. The suspected member itself must not be one of the two.
func TestSilentMemberIsProbedThroughTwoOthers(t *testing.T) {
	silent := instanceName(centreA, 3)
	for seed := range uint64(8) {
		start := time.Unix(1_800_000_000, 0)
		now, tables := start, make([]*mcmember.Table, 4)
		for i := range tables {
			name := instanceName(centreA, i)
			id := marigoldcroft.NewIdentity("copo", region, centreA, name, now, uint64(i))
			tables[i] = mcmember.NewTable(mcmember.Self{Identity: id, PeerAddress: name}, now, seed)
		}
		exchange := func(tables []*mcmember.Table) {
			for _, a := range tables {
				for _, b := range tables {
					sent := a.Request(now, true)
					a.Finish(now, sent, b.Serve(now, sent.Request))
				}
			}
		}
		exchange(tables)
		var probes []mcmember.Probe
		for range 10 {
			now = now.Add(time.Second)
			exchange(tables[:3])
			probes = append(probes, tables[0].Tick(now)...)
			tables[1].Tick(now)
			tables[2].Tick(now)
		}
		require.Len(t, probes, 1, "seed %d", seed)
		require.Equal(t, silent, probes[0].Target.Instance)
		through := []string{probes[0].Through[0].Instance, probes[0].Through[1].Instance}
		require.ElementsMatch(t, []string{instanceName(centreA, 1), instanceName(centreA, 2)}, through, "seed %d", seed)
		incarnation := marigoldcroft.NewIdentity("", "", "", "", start, 3).Incarnation()
		require.True(t, tables[0].IncarnationGone(silent, incarnation))
	}
}

// After a restart with the clock set back, a late record of the earlier incarnation has the
// higher sequence; it must not replace the current one. An incarnation in the far future must
// be refused as well, since no restart could replace it.
func TestOldAndImpossibleIncarnationsAreIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := mcmember.NewTable(mcmember.Self{Identity: marigoldcroft.NewIdentity("copo", region, centreA, "a", now, 1)}, now, 1)
	for _, r := range []*mcmessage.MemberRecord{
		{Instance: "b", DataCentre: centreA, PeerAddress: "new", Incarnation: 5, Sequence: 18_000_000_000, Version: 18_000_000_000},
		{Instance: "b", DataCentre: centreA, PeerAddress: "old", Incarnation: 4, Sequence: 18_000_000_009, Version: 18_000_000_009, GoneSequence: 18_000_000_009},
		{Instance: "b", DataCentre: centreA, PeerAddress: "late", Incarnation: math.MaxUint64, Sequence: 18_000_000_000, Version: 18_000_000_000},
		{Instance: "a", DataCentre: centreA, PeerAddress: "late", Incarnation: math.MaxUint64, Sequence: 18_000_000_000, Version: 18_000_000_000},
	} {
		table.Serve(now, &mcmessage.ExchangeRequest{Records: &mcmessage.Records{Members: []*mcmessage.MemberRecord{r}}})
	}
	views := table.Members(now)
	require.Len(t, views, 2)
	require.Equal(t, "new", views[1].Address)
	require.Equal(t, live, views[1].State)
	require.Equal(t, table.Request(now, true).Request.GetSender().GetIncarnation(), views[0].Incarnation)
	require.Less(t, views[0].Incarnation, uint64(now.Add(time.Hour).UnixNano()))
}

// When many records change at once they do not fit in one message. None may be left out for
// good, and no message may exceed the size limit.
func TestManyRecordsAtOnceArriveInBoundedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records = 300
		f := newFleet(t, 6, centreA)
		f.startAll(nil)
		first := f.members[instanceName(centreA, 0)]
		for i := range uint64(records) {
			first.SetQuarantine(&mcmessage.QuarantineEntry{Fingerprint: i, Crashes: 1, ExpiresUnixMs: time.Now().Add(time.Hour).UnixMilli()})
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		for name, m := range f.members {
			require.Len(t, m.QuarantineEntries(), records, name)
		}
		require.LessOrEqual(t, f.largest, mcmember.MaxMessageBytes)
	})
}

// TestProbeReturnsTheTargetsRecord checks that a probe reports only living members as reached,
// and that its answer carries the record of a reached one. Without the record, the member that
// asked could not end its suspicion.
func TestProbeReturnsTheTargetsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, centreA)
		f.startAll(nil)
		f.kill(instanceName(centreA, 2))
		for target, reached := range map[int]bool{1: true, 2: false, 9: false} {
			answer, err := f.members[instanceName(centreA, 0)].Probe(t.Context(), &mcmessage.ProbeRequest{TargetInstance: instanceName(centreA, target)})
			require.NoError(t, err)
			require.Equal(t, reached, answer.GetReached(), target)
			require.Equal(t, reached, answer.GetTarget() != nil)
			require.InDelta(t, time.Now().UnixMilli()/100, int64(answer.GetTarget().GetSequence()), map[bool]float64{true: 10, false: 1e12}[reached])
		}
	})
}
