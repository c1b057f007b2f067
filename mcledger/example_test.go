package mcledger_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/google/uuid"

	"marigoldcroft"
	"marigoldcroft/mcledger"
	"marigoldcroft/mcstore"
)

// A program that prints orders embeds the ledger without the daemon. It needs one
// instance, no peers and any object store.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ledger := &mcledger.Ledger{
		Store:    mcstore.NewClient(mcstore.ClientConfig{Store: &mcstore.Memory{}, WritesPerSecond: 300}),
		Identity: marigoldcroft.NewIdentity("shop", "lima", "lima-1", "printer-1", time.Now(), 0),
	}
	go ledger.Run(ctx)

	order := []byte("12 prints, matt")
	key := marigoldcroft.NewActionKey("franchise-7", "prints", uuid.Must(uuid.NewV7()).String())
	for range 2 {
		grant, err := ledger.Begin(ctx, key, sha256.Sum256(order))
		if err != nil {
			fmt.Println("not printed:", err)
			return
		}
		if !grant.Granted {
			fmt.Println(grant.State, string(grant.Outcome.Body))
			continue
		}
		fmt.Println("printing", string(order))
		err = ledger.Finish(ctx, key, grant.AttemptID, marigoldcroft.ActionDone,
			marigoldcroft.ActionOutcome{Status: 200, Body: []byte("job 1")})
		if err != nil {
			fmt.Println("outcome not recorded:", err)
		}
	}
	// Output:
	// printing 12 prints, matt
	// done job 1
}
