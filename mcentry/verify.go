package mcentry

import (
	"context"
	"time"

	"marigoldcroft/mcmessage"
	"marigoldcroft/mcroute"
)

const (
	// verifyWait is how long the first routing table waits for the list of the instances.
	verifyWait = time.Second
	// verifyPoll is how often it is checked whether a peer has sent the first table.
	verifyPoll = 250 * time.Millisecond
)

// verifyRouting compares the first routing table of this process with those of peers before requests
// are served by it. The store may have come back from an older copy, with keys that were revoked since.
func (e *Forwarding) verifyRouting(ctx context.Context) {
	if !e.awaitFirstRecords(ctx) {
		return
	}
	begun, before := time.Now(), e.router.Table().Version()
	asked, answered := e.fetcher.Verify(ctx, e.listedPeers(mcroute.MaxVerifyPeers))
	e.logger.Info().Int("peersAsked", asked).Bool("answered", answered).Int64("version", before).
		Int64("newest", e.router.Table().Version()).Dur("elapsedMs", time.Since(begun)).Msg("routingVerified")
}

// awaitFirstRecords waits until a routing table is in force and the instances are listed, or verifyWait
// has passed since the former. It returns false if ctx ends before.
func (e *Forwarding) awaitFirstRecords(ctx context.Context) bool {
	ticker := time.NewTicker(verifyPoll)
	defer ticker.Stop()
	var limit <-chan time.Time
	for {
		if e.router.Table() != nil {
			if e.roster.isListed() {
				return true
			}
			if limit == nil {
				limit = time.After(verifyWait)
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-limit:
			return true
		case <-e.firstRecords:
		case <-ticker.C:
		}
	}
}

// signalFirstRecords wakes awaitFirstRecords.
func (e *Forwarding) signalFirstRecords() {
	if e.router.Verified() {
		return
	}
	select {
	case e.firstRecords <- struct{}{}:
	default:
	}
}

// listedPeers returns clients of up to n recorded instances.
func (e *Forwarding) listedPeers(n int) []mcmessage.ConfigServiceClient {
	var clients []mcmessage.ConfigServiceClient
	for _, address := range e.roster.someAddresses(e.Settings.Instance, n) {
		if conn, err := e.pool.Conn(address); err == nil {
			clients = append(clients, mcmessage.NewConfigServiceClient(conn))
		}
	}
	return clients
}
