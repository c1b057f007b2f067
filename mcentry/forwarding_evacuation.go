package mcentry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcevacuation"
	"marigoldcroft/mcfollow"
	"marigoldcroft/platform"
)

// buildEvacuations builds what follows the evacuations of data centres, if the operator asks for it.
func (e *Forwarding) buildEvacuations(gate *mcfollow.Gate) {
	if e.Settings.Forward.EvacuationDelay == 0 {
		return
	}
	e.evacuation = &mcevacuation.State{Logger: e.logger, OnChange: e.fleet.SetEvacuated, Announce: func(marigoldcroft.EvacuationStatement) {}}
	feed := platform.Evacuations(e.store)
	e.evacuations = &mcfollow.Follower[marigoldcroft.Evacuation]{
		Name: recordsEvacuations, Feed: feed, Logger: e.logger, Gate: gate,
		WatchTimeout: e.watchTimeout(recordsEvacuations), StoreFallbackAge: e.storeFallbackAge(recordsEvacuations), Hash: hashEvacuation,
		Apply: func(change mcfollow.Change[marigoldcroft.Evacuation]) {
			e.evacuation.ApplyStore(time.Now(), feed.Era(), change)
		},
	}
}

// followEvacuations follows the evacuations until ctx ends.
func (e *Forwarding) followEvacuations(ctx context.Context) {
	if e.evacuations != nil {
		e.evacuations.Run(ctx)
	}
}

func hashEvacuation(evacuation *marigoldcroft.Evacuation) uint64 {
	return xxhash.Sum64String(evacuation.DataCentre)
}
