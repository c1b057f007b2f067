package mcorder_test

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcorder"
	"marigoldcroft/mcstore"
)

// A lease over any object store has one holder at a time, and a fencing token that
// grows with each change of the holder.
func Example() {
	ctx := context.Background()
	store := &mcstore.Memory{}
	newLease := func(name string) *mcorder.Lease {
		identity := marigoldcroft.NewIdentity("deployment", "region", "centre", name, time.Now(), 1)
		return &mcorder.Lease{Store: store, Identity: identity, Group: "engines", Logger: zerolog.Nop()}
	}
	a, b := newLease("a"), newLease("b")
	fmt.Println(a.AcquireOrRenew(ctx), b.AcquireOrRenew(ctx))
	epoch, err := a.Epoch()
	fmt.Println("a holds", epoch, err)
	_, err = b.Epoch()
	fmt.Println("b holds", err == nil)
	fmt.Println(a.Release(ctx), b.AcquireOrRenew(ctx))
	epoch, err = b.Epoch()
	fmt.Println("b holds", epoch, err)
	// Output:
	// <nil> <nil>
	// a holds 1 <nil>
	// b holds false
	// <nil> <nil>
	// b holds 2 <nil>
}
