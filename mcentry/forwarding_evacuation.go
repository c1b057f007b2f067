package mcentry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcevacuation"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcmessage"
	"marigoldcroft/platform"
)

const (
	// compareWait is how long an instance that starts waits for the answer of a peer before the
	// evacuations that the store lists count. Peers answer within a few exchanges; without any, all
	// instances may just have started.
	compareWait = 500 * time.Millisecond
	// comparePoll is how often the conditions of that wait are checked.
	comparePoll = 10 * time.Millisecond
	// confirmingCopyAge is the largest age of a peer's copy that stands for the store's content at the
	// start of an instance.
	confirmingCopyAge = 5 * time.Second
)

// evacuationFollower follows the evacuations of data centres in the store and those that peers state.
type evacuationFollower struct {
	*mcfollow.Follower[marigoldcroft.Evacuation]
	state *mcevacuation.State
	guard *mcevacuation.Guard
	// answered holds a signal once a peer has answered.
	answered chan struct{}
}

// buildEvacuations builds what follows the evacuations of data centres, if the operator asks for it.
func (e *Forwarding) buildEvacuations(gate *mcfollow.Gate) {
	if e.Settings.Forward.EvacuationDelay == 0 {
		return
	}
	state := &mcevacuation.State{Logger: e.logger, OnChange: e.fleet.SetEvacuated, Announce: e.announceEvacuation}
	guard := &mcevacuation.Guard{Logger: e.logger}
	feed := platform.Evacuations(e.store)
	e.evacuations = &evacuationFollower{state: state, guard: guard, answered: make(chan struct{}, 1)}
	e.evacuations.Follower = &mcfollow.Follower[marigoldcroft.Evacuation]{
		Name: recordsEvacuations, Feed: feed, Logger: e.logger, Gate: gate,
		WatchTimeout: e.watchTimeout(recordsEvacuations), StoreFallbackAge: e.storeFallbackAge(recordsEvacuations), Hash: hashEvacuation,
		Apply: func(change mcfollow.Change[marigoldcroft.Evacuation]) {
			state.ApplyStore(time.Now(), feed.Era(), change)
			guard.Confirm(change.CompleteAt)
		},
		OnConfirmed: guard.Confirm,
	}
	guard.Refresh = e.evacuations.Refresh
	e.forwarder.AwaitEvacuations = guard.Await
}

// followEvacuations follows the evacuations until ctx ends.
func (e *Forwarding) followEvacuations(ctx context.Context) {
	if e.evacuations == nil {
		return
	}
	e.tasks.Go(func() { e.compareEvacuations(ctx) })
	e.tasks.Go(func() { e.evacuations.guard.Run(ctx) })
	e.evacuations.Run(ctx)
}

// compareEvacuations lets the first listing count once a peer has answered, no other instance is listed
// or compareWait has passed since.
func (e *Forwarding) compareEvacuations(ctx context.Context) {
	ticker := time.NewTicker(comparePoll)
	defer ticker.Stop()
	var limit <-chan time.Time
	for {
		if limit == nil && e.evacuations.state.HasListing() {
			limit = time.After(compareWait)
		}
		select {
		case <-ctx.Done():
			return
		case <-e.evacuations.answered:
			e.evacuations.state.MarkCompared()
			return
		case <-limit:
			e.evacuations.state.MarkCompared()
			return
		case <-ticker.C:
			if names := e.roster.instanceNames(); limit != nil && e.roster.isListed() && (len(names) == 0 || len(names) == 1 && names[0] == e.Settings.Instance) {
				e.evacuations.state.MarkCompared()
				return
			}
		}
	}
}

// observePeerEvacuations takes the state of a peer's copy of the evacuations.
func (e *Forwarding) observePeerEvacuations(digest uint64, complete time.Duration) {
	f := e.evacuations
	if f == nil {
		return
	}
	if !f.state.Known() {
		e.mergeEvacuations()
		e.firstEvacuations(digest, complete)
	}
	f.ObservePeerCopy(digest, complete)
}

// firstEvacuations takes the answer of a peer before the evacuations are known. If what peers have
// stated is equal to the peer's copy, it is all that the store holds.
func (e *Forwarding) firstEvacuations(digest uint64, complete time.Duration) {
	f, stated := e.evacuations, uint64(0)
	for _, name := range f.state.Evacuated() {
		stated ^= hashEvacuation(&marigoldcroft.Evacuation{DataCentre: name})
	}
	if stated == digest && mcclock.Now()-complete < confirmingCopyAge {
		f.state.MarkConfirmed()
	}
	select {
	case f.answered <- struct{}{}:
	default:
	}
}

// announceEvacuation sends a statement to the other instances.
func (e *Forwarding) announceEvacuation(statement marigoldcroft.EvacuationStatement) {
	e.member.SetEvacuation(&mcmessage.Evacuation{
		DataCentre: statement.DataCentre, Evacuated: statement.Evacuated, Era: uint64(max(0, statement.Era)),
		Revision: uint64(max(0, statement.Revision)), SinceUnixMs: statement.Since.UnixMilli(),
	})
}

// mergeEvacuations takes the statements that peers have sent.
func (e *Forwarding) mergeEvacuations() {
	if e.evacuations == nil {
		return
	}
	records := e.member.Evacuations()
	statements := make([]marigoldcroft.EvacuationStatement, 0, len(records))
	for _, r := range records {
		statements = append(statements, marigoldcroft.EvacuationStatement{
			DataCentre: r.GetDataCentre(), Evacuated: r.GetEvacuated(), Era: int64(r.GetEra()), Revision: int64(r.GetRevision()),
			Since: time.UnixMilli(r.GetSinceUnixMs()),
		})
	}
	e.evacuations.state.Merge(time.Now(), statements)
}

func hashEvacuation(evacuation *marigoldcroft.Evacuation) uint64 {
	return xxhash.Sum64String(evacuation.DataCentre)
}
