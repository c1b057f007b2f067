package mcfleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

const coldTime = 3 * time.Second

func coldRecord(name string, incarnation uint64, left time.Duration) record {
	r := readyRecord(name, incarnation)
	r.Value.Warming, r.Value.DataCentre = left, "dc"
	return r
}

// newColdFleet returns a fleet whose endpoints are cold for coldTime after a start and then take 17
// requests a second.
func newColdFleet() *recordingFleet {
	f := newFleet()
	f.SetRoutingTable(marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{
		Services: []marigoldcroft.RoutedService{{Name: "s", ColdTime: coldTime, ColdRequestsPerSecond: 17}},
	}))
	return f
}

// coldLeft returns for how much longer the endpoint is cold.
func (f *recordingFleet) coldLeft(name string) time.Duration {
	return max(0, time.Until(f.ColdPhase(name).Until))
}

// Guards against a cold phase that is missed or ends too early, for each source of what is known of it,
// and against one that lasts although the endpoint states that it is over.
func TestColdPhaseIsKnown(t *testing.T) {
	apply := func(records ...record) func(f *recordingFleet) {
		return func(f *recordingFleet) { f.Apply(change{Records: records}) }
	}
	older := coldRecord("a", 1, 0)
	older.Value.Slots = 5
	answer := func(sentBefore, left time.Duration) func(f *recordingFleet) {
		return func(f *recordingFleet) { f.ObserveCold("a", time.Now().Add(-sentBefore), time.Now(), left) }
	}
	evacuated := func(f *recordingFleet) { endEvacuation(f, "dc") }
	for _, c := range []struct {
		name  string
		first time.Duration
		steps []func(f *recordingFleet)
		want  time.Duration
	}{
		{name: "the first listing states no phase"},
		{name: "the first listing states a phase", first: 2 * time.Second, want: 2 * time.Second},
		{name: "a record states a phase", steps: []func(*recordingFleet){apply(coldRecord("a", 1, time.Second))}, want: time.Second},
		{name: "a new process", steps: []func(*recordingFleet){apply(coldRecord("a", 2, 0))}, want: coldTime},
		{name: "a new process states its phase", steps: []func(*recordingFleet){apply(coldRecord("a", 2, time.Second))}, want: time.Second},
		{name: "the record of an earlier moment", first: 2 * time.Second, steps: []func(*recordingFleet){apply(older)}, want: 2 * time.Second},
		{
			name: "a later record ends the phase", first: 10 * time.Second,
			steps: []func(*recordingFleet){func(*recordingFleet) { time.Sleep(2 * time.Second) }, apply(older)},
		},
		{
			name:  "the same record is read once more after an evacuation",
			steps: []func(*recordingFleet){func(*recordingFleet) { time.Sleep(time.Minute) }, evacuated, apply(coldRecord("a", 1, 0))}, want: coldTime,
		},
		{name: "an evacuation ends", steps: []func(*recordingFleet){evacuated}, want: coldTime},
		{name: "an evacuation of another data centre ends", steps: []func(*recordingFleet){func(f *recordingFleet) { endEvacuation(f, "other") }}},
		{name: "the process was replaced", steps: []func(*recordingFleet){func(f *recordingFleet) { f.MarkRestarted("a", time.Now()) }}, want: coldTime},
		{name: "an answer states a phase", steps: []func(*recordingFleet){answer(0, time.Second)}, want: time.Second},
		{name: "an answer ends the phase", steps: []func(*recordingFleet){evacuated, func(*recordingFleet) { time.Sleep(time.Millisecond) }, answer(0, 0)}},
		{name: "an answer to an earlier request", steps: []func(*recordingFleet){evacuated, answer(time.Second, 0)}, want: coldTime},
		{
			name:  "the record lapses and returns",
			first: 5 * time.Second, steps: []func(*recordingFleet){apply(record{Name: "a", Deleted: true}), apply(older)}, want: 5 * time.Second,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newColdFleet()
				f.Apply(change{Snapshot: true, Records: []record{coldRecord("a", 1, c.first)}})
				for _, step := range c.steps {
					step(f)
				}
				require.Equal(t, c.want, f.coldLeft("a"))
				n := 0
				if c.want > 0 {
					n = 1
				}
				require.Equal(t, n, f.ColdCount(time.Now()))
				require.InDelta(t, 17, f.ColdPhase("a").PerSecond, 0)
			})
		})
	}
}

// Guards against a limit for endpoints of services that have no cold phase.
func TestServiceWithoutColdPhaseHasNoLimit(t *testing.T) {
	f := newFleet()
	f.Apply(change{Snapshot: true, Records: []record{coldRecord("a", 1, time.Hour)}})
	f.Apply(change{Records: []record{coldRecord("a", 2, 0)}})
	endEvacuation(f, "dc")
	f.MarkRestarted("a", time.Now())
	require.False(t, f.ColdPhase("a").Limits(time.Now()))
	require.Zero(t, f.ColdCount(time.Now()))
}

// endEvacuation evacuates the data centre and takes the evacuation back.
func endEvacuation(f *recordingFleet, dataCentre string) {
	f.SetEvacuated([]string{dataCentre})
	f.SetEvacuated(nil)
}
