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

// downs is a scheduler that records which endpoints are down; no other method is called.
type downs struct {
	marigoldcroft.Scheduler

	mu    sync.Mutex
	names []string
}

func (d *downs) EndpointDown(_ time.Time, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names = append(d.names, endpoint)
}

func (d *downs) Observe(_ time.Time, report marigoldcroft.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names = slices.DeleteFunc(d.names, func(name string) bool { return name == report.Endpoint })
}

func (d *downs) sorted() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.Clone(d.names)
	slices.Sort(names)
	return slices.Compact(names)
}

// newRevivals returns revivals of three endpoints in each of the data centres a and b.
func newRevivals(reach func(marigoldcroft.Endpoint) bool) (*revivals, *downs) {
	d := &downs{}
	fleet := &mcfleet.Fleet{Logger: zerolog.Nop(), Changed: func([]marigoldcroft.Endpoint) {}}
	var records []marigoldcroft.Record[marigoldcroft.EndpointRecord]
	for _, centre := range []string{"a", "b"} {
		for i := range 3 {
			name := fmt.Sprintf("%s-%d", centre, i)
			records = append(records, marigoldcroft.Record[marigoldcroft.EndpointRecord]{Name: name, Value: &marigoldcroft.EndpointRecord{
				Name: name, Service: "s", Address: "10.0.0.1:80", DataCentre: centre, Slots: 4, Incarnation: 1,
			}})
		}
	}
	fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Whole: true, Records: records})
	return &revivals{scheduler: d, reach: reach, fleet: fleet, logger: zerolog.Nop()}, d
}

func (r *revivals) hush(t *testing.T, name string) {
	endpoint, ok := r.fleet.Endpoint(name)
	require.True(t, ok)
	r.silent(time.Now(), endpoint)
}

// Guards against requests that time out at each endpoint of a data centre that is cut off,
// and against endpoints that stay out of rotation after the data centre is reachable again.
func TestDataCentreIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cut atomic.Bool
		cut.Store(true)
		r, d := newRevivals(func(e marigoldcroft.Endpoint) bool { return !cut.Load() || e.DataCentre() != "a" })
		r.hush(t, "a-0")
		require.Empty(t, d.sorted(), "one silent endpoint says nothing about the others")
		r.hush(t, "a-1")
		require.Equal(t, []string{"a-0", "a-1", "a-2"}, d.sorted())
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a-0", "a-1", "a-2"}, d.sorted(), "unreachable endpoints are back in rotation")
		cut.Store(false)
		time.Sleep(reviveMax)
		synctest.Wait()
		require.Empty(t, d.sorted(), "reachable endpoints are still out of rotation")
	})
}

// Guards against requests that spend their placements in a data centre whose connections
// are refused instead of dropped, and against dead processes that take their whole data
// centre out of rotation.
func TestRefusedConnectionsShowACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, d := newRevivals(func(marigoldcroft.Endpoint) bool { return true })
		refuse := func(name string) {
			endpoint, ok := r.fleet.Endpoint(name)
			require.True(t, ok)
			r.refused(time.Now(), endpoint)
		}
		refuse("a-0")
		refuse("a-1")
		answered, ok := r.fleet.Endpoint("a-2")
		require.True(t, ok)
		r.heard(answered)
		refuse("a-0")
		refuse("a-1")
		require.Empty(t, d.sorted(), "an endpoint of the data centre responded meanwhile")
		refuse("a-2")
		require.Equal(t, []string{"a-0", "a-1", "a-2"}, d.sorted())
		time.Sleep(reviveMax)
	})
}

// Guards against single silent endpoints that take a whole data centre out of rotation
// although they are of two data centres, far apart in time, or another endpoint responded
// between them.
func TestSilentEndpointsAreNotADataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, d := newRevivals(func(marigoldcroft.Endpoint) bool { return true })
		r.hush(t, "a-0")
		r.hush(t, "b-0")
		time.Sleep(silenceMemory + time.Millisecond)
		r.hush(t, "a-1")
		answered, ok := r.fleet.Endpoint("a-2")
		require.True(t, ok)
		r.heard(answered)
		r.hush(t, "a-0")
		require.Empty(t, d.sorted())
	})
}

// Guards against failure records that are kept forever after a single failure.
func TestOldFailuresAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, d := newRevivals(func(marigoldcroft.Endpoint) bool { return true })
		r.down(time.Now(), "a-0")
		time.Sleep(reviveMemory + reviveMax)
		synctest.Wait()
		require.Empty(t, d.sorted())
		r.down(time.Now(), "b-0")
		require.Len(t, r.series, 1)
		time.Sleep(reviveMax)
	})
}
