package mcorder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcorder"
	"marigoldcroft/mcstore"
)

// fakeEngine is an endpoint that takes orders. With checksFencing it refuses orders
// with an outdated fencing token.
type fakeEngine struct {
	mu            sync.Mutex
	checksFencing bool
	order         marigoldcroft.Order
	// applied lists the fencing tokens and times of the orders that took effect.
	applied []string
	// ignoredOrders is the number of next orders that are acknowledged without effect.
	ignoredOrders int
	start         time.Time
}

func (e *fakeEngine) Order(ctx context.Context, _ marigoldcroft.Endpoint, order marigoldcroft.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if e.checksFencing && order.FencingToken < e.order.FencingToken {
		return errors.New("the fencing token is outdated")
	}
	if e.ignoredOrders > 0 {
		e.ignoredOrders--
		return nil
	}
	e.order = order
	e.applied = append(e.applied, fmt.Sprintf("%d at %v", order.FencingToken, time.Since(e.start).Round(time.Second)))
	return nil
}

func (e *fakeEngine) Orders(context.Context, marigoldcroft.Endpoint) (marigoldcroft.Order, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order, nil
}

// newController returns the controller of an instance whose desired state of the
// endpoint is the version.
func newController(store marigoldcroft.ObjectStore, name, version string, e *fakeEngine) *mcorder.Controller {
	identity := marigoldcroft.NewIdentity("d", "r", "z", name, time.Now(), 1)
	endpoint := marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "e", ChecksFencing: e.checksFencing})
	return &mcorder.Controller{
		Lease:           &mcorder.Lease{Store: store, Identity: identity, Group: "g"},
		LoadBudgetLease: &mcorder.Lease{Store: store, Identity: identity, Group: mcorder.LoadGroup},
		LoadLimit:       mcorder.LoadLimit{PerSecond: 1, Burst: 2},
		Engine:          e,
		DesiredStates: func() []mcorder.Desired {
			return []mcorder.Desired{{Endpoint: endpoint, Order: marigoldcroft.Order{Version: version}}}
		},
	}
}

// lostResponses is a store that loses the responses of all writes that take effect.
type lostResponses struct{ mcstore.Memory }

func (s *lostResponses) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	if version, err := s.Memory.Put(ctx, key, value, expected, writeID); err != nil {
		return version, err
	}
	return "", marigoldcroft.NewFailure("put", mcstore.KindOutcomeUnknown, nil)
}

// TestPausedHolderCannotOverwrite pauses a holder until its lease has expired, and
// resumes it after its successor has sent an order. The old holder must not overwrite
// that order, whether or not the endpoint checks fencing tokens.
func TestPausedHolderCannotOverwrite(t *testing.T) {
	const wait = mcorder.LeaseDuration + mcorder.ClockDrift
	cases := map[string]struct {
		checksFencing bool
		applied       []string
	}{
		"endpoint checks": {checksFencing: true, applied: []string{"1 at 0s", "2 at 16s"}},
		// The successor also waits out the lease, the clock drift and the order
		// deadline.
		"endpoint does not check": {applied: []string{"1 at 0s", "2 at 35s"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, e := &mcstore.Memory{}, &fakeEngine{checksFencing: c.checksFencing, start: time.Now()}
				old, next := newController(store, "a", "v1", e), newController(store, "b", "v2", e)
				ctx := t.Context()
				require.NoError(t, old.Lease.AcquireOrRenew(ctx))
				require.Zero(t, old.ReconcileOnce(ctx))
				require.NoError(t, next.Lease.AcquireOrRenew(ctx))
				_, err := next.Lease.Epoch()
				require.True(t, mcorder.IsNotLeader(err), "a second instance acquired a lease that is held")
				time.Sleep(wait + 500*time.Millisecond)
				require.NoError(t, next.Lease.AcquireOrRenew(ctx))
				for range 25 {
					next.ReconcileOnce(ctx)
					time.Sleep(time.Second)
					_ = next.Lease.AcquireOrRenew(ctx)
				}
				// The old holder resumes and has not learned of its successor.
				old.ReconcileOnce(ctx)
				require.Equal(t, c.applied, e.applied)
				require.Equal(t, "v2", e.order.Version)
			})
		})
	}
}

// An endpoint that does not check fencing tokens applies an order even if it arrives
// after the lease has ended. Permit must therefore refuse an order that could still be
// in flight at the end of the lease.
func TestPermitNeedsTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(&mcstore.Memory{}, "a", "v1", &fakeEngine{})
		require.NoError(t, c.Lease.AcquireOrRenew(t.Context()))
		_, until, err := c.Lease.Permit(false)
		require.NoError(t, err)
		require.Equal(t, mcorder.OrderTimeout, time.Until(until))
		time.Sleep(mcorder.LeaseDuration - mcorder.OrderTimeout)
		_, _, err = c.Lease.Permit(false)
		require.True(t, mcorder.IsNotLeader(err))
		_, _, err = c.Lease.Permit(true)
		require.NoError(t, err)
		time.Sleep(mcorder.OrderTimeout)
		_, _, err = c.Lease.Permit(true)
		require.True(t, mcorder.IsNotLeader(err))
	})
}

// TestLeaseLifecycle uses a store that loses the response of each write. The holder must
// notice that its write succeeded, a released lease must be acquired without waiting for
// it to expire, and the next holder must continue the epoch.
func TestLeaseLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lostResponses{}
		a, b := newController(store, "a", "v1", &fakeEngine{}).Lease, newController(store, "b", "v1", &fakeEngine{}).Lease
		for range 10 {
			require.NoError(t, a.AcquireOrRenew(t.Context()))
			require.NoError(t, b.AcquireOrRenew(t.Context()))
			epoch, err := a.Epoch()
			require.NoError(t, err)
			require.Equal(t, uint64(1), epoch)
			time.Sleep(4 * time.Second)
		}
		require.NoError(t, a.Release(t.Context()))
		_, err := a.Epoch()
		require.True(t, mcorder.IsNotLeader(err))
		require.NoError(t, b.AcquireOrRenew(t.Context()))
		epoch, err := b.Epoch()
		require.NoError(t, err)
		require.Equal(t, uint64(2), epoch)
		require.NoError(t, a.AcquireOrRenew(t.Context()))
		_, err = a.Epoch()
		require.True(t, mcorder.IsNotLeader(err))
	})
}

// TestStateIsReadBackAndCorrected covers an endpoint that acknowledges an order without
// applying it, and one that loses its state later.
func TestStateIsReadBackAndCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{checksFencing: true, ignoredOrders: 1}
		c := newController(&mcstore.Memory{}, "a", "v1", e)
		require.NoError(t, c.Lease.AcquireOrRenew(t.Context()))
		require.Equal(t, 1, c.ReconcileOnce(t.Context()))
		require.Contains(t, c.Unreconciled()["e"], "does not report the desired state")
		require.Zero(t, c.ReconcileOnce(t.Context()))
		e.order.Version = "v0"
		time.Sleep(2 * time.Second)
		require.Zero(t, c.ReconcileOnce(t.Context()))
		require.Equal(t, "v1", e.order.Version)
	})
}

// If each new holder started with a full budget, frequent changes of the holder would
// exceed the rate limit on weight loads.
func TestLoadRateHoldsAcrossHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, loads := &mcstore.Memory{}, 0
		limit := mcorder.LoadLimit{PerSecond: 0.5, Burst: 3}
		for second := range 20 {
			for _, name := range []string{"a", "b"} {
				lease := newController(store, fmt.Sprint(name, second), "", &fakeEngine{}).LoadBudgetLease
				ok, err := lease.TakeLoad(t.Context(), limit)
				require.NoError(t, err)
				if ok {
					loads++
				}
			}
			time.Sleep(time.Second)
		}
		// The burst, and one load every 2 s over the 19 s between the first and the
		// last attempt.
		require.Equal(t, 3+9, loads)
	})
}
