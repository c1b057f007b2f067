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

// Guards against a member that is removed without a probe through others, and against
// probes that the suspected member itself or too few others are asked for.
func TestSilentMemberIsProbedThroughTwoOthers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tables := make([]*mcmember.Table, 4)
	for i := range tables {
		name := instanceName(centreA, i)
		id := marigoldcroft.NewIdentity("copo", region, centreA, name, now, uint64(i))
		tables[i] = mcmember.NewTable(mcmember.Self{Identity: id, PeerAddress: name}, now, 1)
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
	silent, probes := instanceName(centreA, 3), []mcmember.Probe(nil)
	for range 10 {
		now = now.Add(time.Second)
		exchange(tables[:3])
		probes = append(probes, tables[0].Tick(now)...)
		tables[1].Tick(now)
		tables[2].Tick(now)
	}
	require.Len(t, probes, 1)
	require.Equal(t, silent, probes[0].Target.Instance)
	through := []string{probes[0].Through[0].Instance, probes[0].Through[1].Instance}
	require.ElementsMatch(t, []string{instanceName(centreA, 1), instanceName(centreA, 2)}, through)
	require.True(t, tables[0].IncarnationGone(silent, uint64(now.Add(-10*time.Second).UnixNano())&^1023|3))
}

// Guards against a probe that reports a dead member as reached, or a reached one
// without the record that refutes the suspicion.
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
