package mcfleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against endpoints of an evacuated data centre that get work: those known before, one that is
// added or replaced, and one whose own record says that it is ready; and against an evacuation that is
// forgotten when something else about the endpoint changes.
func TestEvacuatedEndpointsGetNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		in := func(name, dataCentre string, incarnation uint64) record {
			r := readyRecord(name, incarnation)
			r.Value.DataCentre = dataCentre
			return r
		}
		f.Apply(change{Snapshot: true, Records: []record{in("a", "y", 1), in("b", "z", 1)}})
		f.SetEvacuated([]string{"z"})
		since := time.Now()
		usable := func(want ...string) {
			t.Helper()
			endpoints, _ := f.recorded()
			require.Equal(t, want, endpoints)
		}
		usable("a")
		time.Sleep(time.Second)
		f.Apply(change{Records: []record{in("b", "z", 2), in("c", "z", 1)}})
		usable("a")
		f.SetEvacuated([]string{"x", "z"})
		for _, name := range []string{"b", "c"} {
			_, ok := f.Endpoint(name)
			require.False(t, ok)
			got, evacuated := f.EvacuatedSince(name)
			require.True(t, evacuated)
			require.Equal(t, since, got)
		}
		_, evacuated := f.EvacuatedSince("a")
		require.False(t, evacuated)
		f.MarkLeaving("c")
		f.SetEvacuated(nil)
		usable("a", "b")
	})
}

// Guards against an instance that serves before it knows the evacuations.
func TestListingWaitsForTheEvacuations(t *testing.T) {
	f := newFleet()
	f.AwaitEvacuations = true
	f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 1)}})
	require.False(t, f.HasListing())
	f.SetEvacuated(nil)
	require.True(t, f.HasListing())
}
