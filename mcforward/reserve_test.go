package mcforward_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcstandin"
)

// reservationRecorder records the reservations made on engines.
type reservationRecorder struct {
	mu sync.Mutex
	// held maps reservation IDs to tokens; maxHeld is the largest number of reservations at
	// once.
	held     map[string]int64
	maxHeld  int
	reserves int
	fail     error
	// onReserve is called at each reservation; nil means nothing.
	onReserve func()
}

func (r *reservationRecorder) Reserve(_ context.Context, _, id string, tokens int64, _ time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserves++
	if r.onReserve != nil {
		r.onReserve()
	}
	if r.fail != nil {
		return r.fail
	}
	r.held[id] = tokens
	r.maxHeld = max(r.maxHeld, len(r.held))
	return nil
}

func (r *reservationRecorder) Release(_ context.Context, _, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, id)
	return nil
}

// remaining returns the number of reservations that are still held.
func (r *reservationRecorder) remaining() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// newLargePromptBed returns a test bed of engines with memory for 100,000 tokens each.
func newLargePromptBed(t *testing.T, n int) (*testBed, *reservationRecorder) {
	t.Helper()
	b := newTestBed(t, n)
	recorder := &reservationRecorder{held: make(map[string]int64)}
	b.forwarder.Reservations = recorder
	performance := marigoldcroft.EnginePerformance{
		Slots: 4, MemoryTokens: 100_000, StepTime: time.Millisecond, PrefillTokensPerSecond: 1e6, ChunkTokens: 2048, StepsPerPass: 1,
	}
	table := marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{
		Version: 2, Routes: routes(), Services: []marigoldcroft.RoutedService{{Name: "s", Engine: performance}},
	})
	b.forwarder.Router.Update(table, "test")
	b.forwarder.Fleet.SetRoutingTable(table)
	return b, recorder
}

// A prompt that exceeds the memory of one engine must be served if several engines together
// can hold it. The memory reserved for it must be released when the request ends, however
// it ends.
func TestLargestPromptIsKeptBySeveralEngines(t *testing.T) {
	cases := []struct {
		name   string
		faults mcstandin.PlatformServerFaults
		fail   error
		status int
	}{
		{name: "answered", status: http.StatusOK},
		{name: "refused by all engines", faults: mcstandin.PlatformServerFaults{Overloaded: 9}, status: http.StatusServiceUnavailable},
		{name: "no memory free", fail: errors.New("409"), status: http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, recorder := newLargePromptBed(t, 3)
			recorder.fail = c.fail
			for _, s := range b.servers {
				s.SetFaults(c.faults)
			}
			r := b.request(http.MethodPost, "/stream/x", "prompt")
			r.Header.Set("Token-Counts", "110000,10")
			got := b.send(r)
			require.Equal(t, c.status, got.status)
			require.Eventually(t, func() bool { return recorder.remaining() == 0 }, 5*time.Second, time.Millisecond, "memory stays reserved")
			require.Positive(t, recorder.reserves)
			if c.status != http.StatusOK {
				require.Empty(t, b.runs())
				return
			}
			require.Equal(t, 1, recorder.maxHeld)
			helpers := b.runs()[0].Header.Get("Helpers")
			require.Equal(t, 1, strings.Count(helpers, "/"), "one helper holds memory: %q", helpers)
		})
	}
}

// Reserved memory must also be released when the caller disconnects and when an endpoint is
// removed while the request runs.
func TestMemoryIsReleasedWhenTheCallerLeaves(t *testing.T) {
	b, recorder := newLargePromptBed(t, 3)
	for _, s := range b.servers {
		s.EventInterval = 10 * time.Second
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		r := b.request(http.MethodPost, "/stream/x", "prompt").WithContext(ctx)
		r.Header.Set("Token-Counts", "110000,10")
		_, _ = b.client.Do(r)
	}()
	require.Eventually(t, func() bool { return len(b.runs()) == 1 && recorder.remaining() == 1 }, 5*time.Second, time.Millisecond)
	before := recorder.reserves
	require.Eventually(t, func() bool {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return recorder.reserves > before
	}, 5*time.Second, 10*time.Millisecond, "the reservation is renewed")
	gone := marigoldcroft.Record[marigoldcroft.EndpointRecord]{Name: b.servers[2].ID, Deleted: true}
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{gone}})
	cancel()
	require.Eventually(t, func() bool { return recorder.remaining() == 0 }, 5*time.Second, time.Millisecond)
}
