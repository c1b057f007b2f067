package mcfleet_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfleet"
	"marigoldcroft/mcfollow"
)

type (
	record = marigoldcroft.Record[marigoldcroft.EndpointRecord]
	change = mcfollow.Change[marigoldcroft.EndpointRecord]

	// recordingFleet is a fleet that records the calls of OnChange and OnProcessEnded.
	recordingFleet struct {
		*mcfleet.Fleet

		mu        sync.Mutex
		endpoints []string
		ended     []string
	}
)

func newFleet() *recordingFleet {
	w := &recordingFleet{}
	w.Fleet = &mcfleet.Fleet{
		Logger: zerolog.Nop(),
		OnChange: func(endpoints []marigoldcroft.Endpoint) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endpoints = nil
			for _, e := range endpoints {
				if !e.Leaving() {
					w.endpoints = append(w.endpoints, e.Name())
				}
			}
			slices.Sort(w.endpoints)
		},
		OnProcessEnded: func(name string, _ uint64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.ended = append(w.ended, name)
		},
	}
	return w
}

// recorded returns the endpoints that get new work and those reported as ended.
func (w *recordingFleet) recorded() (endpoints, ended []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.endpoints), slices.Clone(w.ended)
}

func readyRecord(name string, incarnation uint64) record {
	return record{Name: name, Value: &marigoldcroft.EndpointRecord{
		Name: name, Service: "s", Address: "10.0.0.1:80", Incarnation: incarnation, Slots: 4,
	}}
}

func leavingRecord(name string, incarnation uint64) record {
	r := readyRecord(name, incarnation)
	r.Value.Leaving = true
	return r
}

// Guards against new work for endpoints that left or whose records expired, and against
// missing the restart of an endpoint under the same name.
func TestApply(t *testing.T) {
	cases := []struct {
		name      string
		changes   []change
		endpoints []string
		ended     []string
	}{
		{
			name:      "a listing replaces the known endpoints",
			changes:   []change{{Snapshot: true, Records: []record{readyRecord("a", 1), readyRecord("b", 1)}}, {Snapshot: true, Records: []record{readyRecord("b", 1)}}},
			endpoints: []string{"b"}, ended: []string{"a"},
		},
		{
			name:      "a leaving endpoint gets no work and its end is not reported",
			changes:   []change{{Snapshot: true, Records: []record{readyRecord("a", 1), readyRecord("b", 1)}}, {Records: []record{leavingRecord("a", 1)}}, {Records: []record{{Name: "a", Deleted: true}}}},
			endpoints: []string{"b"},
		},
		{
			name:      "a newer incarnation shows that the process ended",
			changes:   []change{{Snapshot: true, Records: []record{readyRecord("a", 1)}}, {Records: []record{readyRecord("a", 2)}}},
			endpoints: []string{"a"}, ended: []string{"a"},
		},
		{
			name:      "a late record of an older incarnation is ignored",
			changes:   []change{{Snapshot: true, Records: []record{readyRecord("a", 2)}}, {Records: []record{leavingRecord("a", 1)}}},
			endpoints: []string{"a"},
		},
		{
			name:      "a record without a value is ignored",
			changes:   []change{{Snapshot: true, Records: []record{readyRecord("a", 1), {Name: "x"}}}},
			endpoints: []string{"a"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			require.False(t, f.HasListing())
			for _, change := range c.changes {
				f.Apply(change)
			}
			require.True(t, f.HasListing())
			endpoints, ended := f.recorded()
			require.Equal(t, c.endpoints, endpoints)
			require.Equal(t, c.ended, ended)
		})
	}
}

// Guards against two faults after an outage of the store. Live endpoints are removed because
// their records expired during the outage. Or endpoints that are gone are kept until the next
// change, which may come long after the time from which they must get no new work.
func TestRecordsExpireDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 1), readyRecord("b", 1), readyRecord("c", 1)}})
		f.Apply(change{Snapshot: true, OutageDuration: 5 * time.Second, Records: []record{readyRecord("c", 1)}})
		endpoints, _ := f.recorded()
		require.Equal(t, []string{"a", "b", "c"}, endpoints, "endpoints with expired records are kept for a time")
		f.Apply(change{Records: []record{{Name: "c", Deleted: true}}})
		endpoints, _ = f.recorded()
		require.Equal(t, []string{"a", "b", "c"}, endpoints)

		time.Sleep(time.Second)
		f.Apply(change{Records: []record{readyRecord("a", 1)}})
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		endpoints, ended := f.recorded()
		require.Equal(t, []string{"a"}, endpoints, "removed without any further change")
		require.ElementsMatch(t, []string{"b", "c"}, ended)
		_, usable := f.Endpoint("c")
		require.False(t, usable)
	})
}

// Guards against keeping endpoints with deleted records when there was no outage of the store.
func TestDeletedEndpointIsRemovedWithoutOutage(t *testing.T) {
	f := newFleet()
	f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 1), readyRecord("b", 1)}})
	f.Apply(change{Records: []record{{Name: "a", Deleted: true}}})
	endpoints, _ := f.recorded()
	require.Equal(t, []string{"b"}, endpoints)
}

// Guards against sending work on to an address that another endpoint has taken over, while
// this instance has not yet received the change from the store.
func TestMovedEndpointStaysOutUntilItsRecordChanges(t *testing.T) {
	w := newFleet()
	value := marigoldcroft.EndpointRecord{Name: "a", Service: "s", Address: "10.0.0.1:1", Incarnation: 1}
	w.Apply(change{Snapshot: true, Records: []record{{Name: "a", Value: &value}}})
	w.MarkMoved("a")
	_, usable := w.Endpoint("a")
	require.False(t, usable)
	endpoints, _ := w.recorded()
	require.Empty(t, endpoints)
	again := value
	w.Apply(change{Records: []record{{Name: "a", Value: &again}}})
	_, usable = w.Endpoint("a")
	require.False(t, usable, "the same record must not make it usable again")
	newer := value
	newer.Address, newer.Incarnation = "10.0.0.2:1", 2
	w.Apply(change{Records: []record{{Name: "a", Value: &newer}}})
	_, usable = w.Endpoint("a")
	require.True(t, usable)
}
