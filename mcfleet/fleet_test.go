package mcfleet_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
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
		returned  []string
	}
)

func newFleet() *recordingFleet {
	f := &recordingFleet{}
	f.Fleet = &mcfleet.Fleet{
		Logger: zerolog.Nop(),
		OnChange: func(endpoints []marigoldcroft.Endpoint) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.endpoints = nil
			for _, e := range endpoints {
				if !e.Leaving() {
					f.endpoints = append(f.endpoints, e.Name())
				}
			}
			slices.Sort(f.endpoints)
		},
		OnProcessEnded: func(name string, _ uint64) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ended = append(f.ended, name)
		},
		OnReturned: func(endpoint marigoldcroft.Endpoint, incarnation uint64) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.returned = append(f.returned, fmt.Sprintf("%s/%d %v", endpoint.Name(), incarnation, endpoint.Leaving()))
		},
	}
	return f
}

// recorded returns the endpoints that get new work and those reported as ended.
func (f *recordingFleet) recorded() (endpoints, ended []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.endpoints), slices.Clone(f.ended)
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

// Endpoints that left or whose records expired must get no new work. The restart of an
// endpoint under the same name must be noticed, as the work of the old process is lost.
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

// Records of live endpoints expire during an outage of the store, so missing ones must not be
// removed at once after it. Those still missing after recordReturnTime must be removed even if
// no further change arrives; otherwise they would get new work until the next one.
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

// The delay before removal applies only after an outage. Without one, an endpoint whose record
// is deleted must be removed at once.
func TestDeletedEndpointIsRemovedWithoutOutage(t *testing.T) {
	f := newFleet()
	f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 1), readyRecord("b", 1)}})
	f.Apply(change{Records: []record{{Name: "a", Deleted: true}}})
	endpoints, _ := f.recorded()
	require.Equal(t, []string{"b"}, endpoints)
}

// Another endpoint may answer at the address of a record before this instance has received the
// change from the store. The endpoint must then get no new work until its record changes.
func TestMovedEndpointStaysOutUntilItsRecordChanges(t *testing.T) {
	f := newFleet()
	value := marigoldcroft.EndpointRecord{Name: "a", Service: "s", Address: "10.0.0.1:1", Incarnation: 1}
	f.Apply(change{Snapshot: true, Records: []record{{Name: "a", Value: &value}}})
	f.MarkMoved("a")
	_, usable := f.Endpoint("a")
	require.False(t, usable)
	endpoints, _ := f.recorded()
	require.Empty(t, endpoints)
	again := value
	f.Apply(change{Records: []record{{Name: "a", Value: &again}}})
	_, usable = f.Endpoint("a")
	require.False(t, usable, "the same record must not make it usable again")
	newer := value
	newer.Address, newer.Incarnation = "10.0.0.2:1", 2
	f.Apply(change{Records: []record{{Name: "a", Value: &newer}}})
	_, usable = f.Endpoint("a")
	require.True(t, usable)
}

// An instance is ready once the fleet has a listing. If that were so before the scheduler knows the
// endpoints, the first requests would be refused for want of an endpoint.
func TestListingIsAnnouncedBeforeItCounts(t *testing.T) {
	f := &mcfleet.Fleet{Logger: zerolog.Nop()}
	calls := 0
	f.OnChange = func([]marigoldcroft.Endpoint) {
		calls++
		require.False(t, f.HasListing())
	}
	f.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Snapshot: true})
	require.Equal(t, 1, calls)
	require.True(t, f.HasListing())
}

// Guards against a listing that replaces a newer one at the scheduler, because two changes announce
// their endpoints in the wrong order. An instance would then be ready without an endpoint and
// refuse requests until the next change of an endpoint.
func TestOlderListingDoesNotReplaceANewerOne(t *testing.T) {
	endpoint := func(name string) record {
		return record{Name: name, Value: &marigoldcroft.EndpointRecord{Name: name, Service: "s", Address: "127.0.0.1:1", Incarnation: 1}}
	}
	cases := []struct {
		name string
		// before is applied first; older announces its listing while newer is applied.
		before *change
		older  func(f *mcfleet.Fleet)
		newer  change
		want   []string
	}{
		{
			name: "routing table", newer: change{Snapshot: true, Records: []record{endpoint("a")}}, want: []string{"a"},
			older: func(f *mcfleet.Fleet) {
				f.SetRoutingTable(marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{Version: 1}))
			},
		},
		{
			name: "moved endpoint", before: &change{Snapshot: true, Records: []record{endpoint("a")}},
			older: func(f *mcfleet.Fleet) { f.MarkMoved("a") },
			newer: change{Records: []record{endpoint("b")}}, want: []string{"b"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			if c.before != nil {
				f.Apply(*c.before)
			}
			var paused atomic.Bool
			entered, release := make(chan struct{}), make(chan struct{})
			record := f.OnChange
			f.OnChange = func(endpoints []marigoldcroft.Endpoint) {
				if !paused.Swap(true) {
					close(entered)
					<-release
				}
				record(endpoints)
			}
			var changes sync.WaitGroup
			changes.Go(func() { c.older(f.Fleet) })
			<-entered
			applied := make(chan struct{})
			changes.Go(func() {
				defer close(applied)
				f.Apply(c.newer)
			})
			select {
			case <-applied:
			case <-time.After(300 * time.Millisecond):
				// The newer listing waits until the older one is announced.
			}
			close(release)
			changes.Wait()
			endpoints, _ := f.recorded()
			require.Equal(t, c.want, endpoints)
			require.True(t, f.HasListing())
		})
	}
}

// Guards against engines that are scheduled without their figures while requests on the table
// before still reach their service, which the new table no longer has.
func TestFiguresOfARemovedServiceAreKept(t *testing.T) {
	var kinds map[string]marigoldcroft.EndpointKind
	f := &mcfleet.Fleet{Logger: zerolog.Nop(), OnChange: func(endpoints []marigoldcroft.Endpoint) {
		kinds = make(map[string]marigoldcroft.EndpointKind)
		for _, e := range endpoints {
			kinds[e.Name()] = e.Kind()
		}
	}}
	setTable := func(version int64, services ...marigoldcroft.RoutedService) {
		f.SetRoutingTable(marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{Version: version, Services: services}))
	}
	engine := marigoldcroft.RoutedService{Name: "s", Engine: marigoldcroft.EnginePerformance{PrefillTokensPerSecond: 1000}}
	setTable(1, engine)
	f.Apply(change{Snapshot: true, Records: []record{
		{Name: "a", Value: &marigoldcroft.EndpointRecord{Name: "a", Service: "s", Address: "127.0.0.1:1", Incarnation: 1}},
	}})
	require.Equal(t, marigoldcroft.EndpointEngine, kinds["a"])
	setTable(2)
	require.Equal(t, marigoldcroft.EndpointEngine, kinds["a"], "the service was removed")
	setTable(3, marigoldcroft.RoutedService{Name: "s"})
	require.Equal(t, marigoldcroft.EndpointService, kinds["a"], "the service has no figures any more")
	setTable(4, engine)
	f.Apply(change{Snapshot: true})
	setTable(5)
	f.Apply(change{Records: []record{
		{Name: "b", Value: &marigoldcroft.EndpointRecord{Name: "b", Service: "s", Address: "127.0.0.1:1", Incarnation: 1}},
	}})
	require.Equal(t, marigoldcroft.EndpointService, kinds["b"], "figures are dropped with the last endpoint")
}

// Guards against endpoints that get new work although they have left: the store may come back from a
// copy in which they are still ready, or not yet gone.
func TestRestoredRecordsBringBackNoEndpointThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.Apply(change{Snapshot: true, Records: []record{readyRecord("draining", 1), readyRecord("left", 1), readyRecord("removed", 1), readyRecord("stays", 1)}})
		f.Apply(change{Records: []record{leavingRecord("draining", 1), leavingRecord("left", 1)}})
		f.Apply(change{Records: []record{{Name: "left", Deleted: true}, {Name: "removed", Deleted: true}}})

		f.Apply(change{Snapshot: true, OutageDuration: 2 * time.Second, Records: []record{
			readyRecord("draining", 1), readyRecord("left", 1), readyRecord("removed", 1), readyRecord("stays", 1),
		}})
		usable := func() []string {
			endpoints, _ := f.recorded()
			return endpoints
		}
		require.Equal(t, []string{"stays"}, usable())

		f.Apply(change{Snapshot: true, Records: []record{
			readyRecord("draining", 1), readyRecord("left", 1), readyRecord("removed", 1), readyRecord("stays", 1),
		}})
		require.Equal(t, []string{"stays"}, usable())

		// A record whose server does not renew it disappears; one that stays belongs to a live server.
		time.Sleep(7 * time.Second)
		require.Equal(t, []string{"removed", "stays"}, usable())

		// Another process under the name is used at once.
		f.Apply(change{Records: []record{readyRecord("left", 2), readyRecord("draining", 2)}})
		require.Equal(t, []string{"draining", "left", "removed", "stays"}, usable())
	})
}
