package mcforward

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

// downRecorder is a scheduler that records which endpoints are down; no other method is
// called.
type downRecorder struct {
	marigoldcroft.Scheduler

	mu    sync.Mutex
	names []string
}

func (d *downRecorder) EndpointDown(_ time.Time, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names = append(d.names, endpoint)
}

func (d *downRecorder) ObserveReport(_ time.Time, report marigoldcroft.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names = slices.DeleteFunc(d.names, func(name string) bool { return name == report.Endpoint })
}

func (d *downRecorder) sorted() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.Clone(d.names)
	slices.Sort(names)
	return slices.Compact(names)
}

// newHealthTracker returns a tracker of three endpoints in each of the data centres a and
// b.
func newHealthTracker(acceptsConnection func(marigoldcroft.Endpoint) bool) (*healthTracker, *downRecorder) {
	recorder := &downRecorder{}
	fleet := &mcfleet.Fleet{Logger: zerolog.Nop(), OnChange: func([]marigoldcroft.Endpoint) {}}
	var records []marigoldcroft.Record[marigoldcroft.EndpointRecord]
	for _, centre := range []string{"a", "b"} {
		for i := range 3 {
			name := fmt.Sprintf("%s-%d", centre, i)
			records = append(records, marigoldcroft.Record[marigoldcroft.EndpointRecord]{Name: name, Value: &marigoldcroft.EndpointRecord{
				Name: name, Service: "s", Address: "10.0.0.1:80", DataCentre: centre, Slots: 4, Incarnation: 1,
			}})
		}
	}
	fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Snapshot: true, Records: records})
	return &healthTracker{scheduler: recorder, acceptsConnection: acceptsConnection, fleet: fleet, logger: zerolog.Nop()}, recorder
}

func (h *healthTracker) recordSilentName(t *testing.T, name string) {
	endpoint, ok := h.fleet.Endpoint(name)
	require.True(t, ok)
	h.recordSilent(time.Now(), endpoint)
}

// While a data centre cannot be reached, requests must not time out at each of its
// endpoints in turn. Once it can be reached again, its endpoints must return to rotation.
func TestDataCentreIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cut atomic.Bool
		cut.Store(true)
		tracker, recorder := newHealthTracker(func(e marigoldcroft.Endpoint) bool { return !cut.Load() || e.DataCentre() != "a" })
		tracker.recordSilentName(t, "a-0")
		require.Empty(t, recorder.sorted(), "one silent endpoint says nothing about the others")
		tracker.recordSilentName(t, "a-1")
		require.Equal(t, []string{"a-0", "a-1", "a-2"}, recorder.sorted())
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a-0", "a-1", "a-2"}, recorder.sorted(), "unreachable endpoints are back in rotation")
		cut.Store(false)
		time.Sleep(maxDownTime)
		synctest.Wait()
		require.Empty(t, recorder.sorted(), "reachable endpoints are still out of rotation")
	})
}

// A network failure may cause refused connections instead of time-outs. Requests must not
// then spend their placements on one endpoint of the data centre after another. Refusals
// from a few dead processes, however, must not take the whole data centre out of rotation.
func TestRefusedConnectionsShowDataCentreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, recorder := newHealthTracker(func(marigoldcroft.Endpoint) bool { return true })
		refuse := func(name string) {
			endpoint, ok := tracker.fleet.Endpoint(name)
			require.True(t, ok)
			tracker.recordRefused(time.Now(), endpoint)
		}
		refuse("a-0")
		refuse("a-1")
		answered, ok := tracker.fleet.Endpoint("a-2")
		require.True(t, ok)
		tracker.recordResponse(answered)
		refuse("a-0")
		refuse("a-1")
		require.Empty(t, recorder.sorted(), "an endpoint of the data centre responded meanwhile")
		refuse("a-2")
		require.Equal(t, []string{"a-0", "a-1", "a-2"}, recorder.sorted())
		time.Sleep(maxDownTime)
	})
}

// Silent endpoints must not take a whole data centre out of rotation if they are of two
// data centres, fail far apart in time, or another endpoint responds between them.
func TestSingleSilentEndpointsDoNotCutOffDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, recorder := newHealthTracker(func(marigoldcroft.Endpoint) bool { return true })
		tracker.recordSilentName(t, "a-0")
		tracker.recordSilentName(t, "b-0")
		time.Sleep(unreachableWindow + time.Millisecond)
		tracker.recordSilentName(t, "a-1")
		answered, ok := tracker.fleet.Endpoint("a-2")
		require.True(t, ok)
		tracker.recordResponse(answered)
		tracker.recordSilentName(t, "a-0")
		require.Empty(t, recorder.sorted())
	})
}

// A failure record must be removed some time after the last failure, or records of
// endpoints that failed once would accumulate forever.
func TestOldFailuresAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, recorder := newHealthTracker(func(marigoldcroft.Endpoint) bool { return true })
		tracker.markDown(time.Now(), "a-0")
		time.Sleep(failureCountTTL + maxDownTime)
		synctest.Wait()
		require.Empty(t, recorder.sorted())
		tracker.markDown(time.Now(), "b-0")
		require.Len(t, tracker.failures, 1)
		time.Sleep(maxDownTime)
	})
}

// Guards against an endpoint whose process was replaced and that counts as warm until its record is
// read, and against one that counts as cold because the network failed for a moment.
func TestReplacedProcessCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, recorder := newHealthTracker(func(marigoldcroft.Endpoint) bool { return true })
		tracker.fleet.SetRoutingTable(marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{
			Services: []marigoldcroft.RoutedService{{Name: "s", ColdTime: time.Minute, ColdRequestsPerSecond: 17}},
		}))
		tracker.markEnded(time.Now(), "a-0")
		tracker.markDown(time.Now(), "a-1")
		require.Equal(t, []string{"a-0", "a-1"}, recorder.sorted())
		time.Sleep(maxDownTime)
		synctest.Wait()
		require.Empty(t, recorder.sorted())
		require.True(t, tracker.fleet.ColdPhase("a-0").Limits(time.Now()))
		require.False(t, tracker.fleet.ColdPhase("a-1").Limits(time.Now()))
	})
}
