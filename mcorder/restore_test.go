package mcorder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcorder"
	"marigoldcroft/mcstore"
)

func newLease(store marigoldcroft.ObjectStore, instance string) *mcorder.Lease {
	identity := marigoldcroft.NewIdentity("d", "r", "dc", instance, time.Now(), 1)
	return &mcorder.Lease{Store: store, Identity: identity, Group: "g", Logger: zerolog.Nop()}
}

// Guards against two holders of the lease for orders, or one with the fencing token of another: the
// store may come back from a copy in which an earlier holder has the lease, or nobody.
func TestRestoredLeaseHasOneHolder(t *testing.T) {
	for _, released := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			store := &mcstore.Memory{}
			a, b := newLease(store, "a"), newLease(store, "b")
			require.NoError(t, a.AcquireOrRenew(ctx))
			older := store.Snapshot()
			require.NoError(t, a.Release(ctx))
			if released {
				older = store.Snapshot()
			}
			require.NoError(t, b.AcquireOrRenew(ctx))
			lost, err := b.Epoch()
			require.NoError(t, err)

			store.Restore(older)
			// b's lease lasts for up to LeaseDuration, as b does not know of the restore yet.
			for begun := time.Now(); time.Since(begun) < mcorder.LeaseDuration; time.Sleep(time.Second) {
				require.NoError(t, a.AcquireOrRenew(ctx))
				_, err := a.Epoch()
				require.Error(t, err, "a second holder %v after the restore", time.Since(begun))
			}
			time.Sleep(2 * time.Second)
			require.NoError(t, a.AcquireOrRenew(ctx))
			epoch, err := a.Epoch()
			require.NoError(t, err)
			require.Greater(t, epoch, lost)
			_, err = b.Epoch()
			require.Error(t, err)
			require.NoError(t, a.AcquireOrRenew(ctx), "the new lease is renewed")
			renewed, err := a.Epoch()
			require.NoError(t, err)
			require.Equal(t, epoch, renewed)
		})
	}
}
