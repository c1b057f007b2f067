package mcentry

import (
	"context"
	"encoding/json"
	"net/http"
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
	// countInterval is the time between two updates of the metric of the requests in evacuated data
	// centres.
	countInterval = time.Second
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
	state := &mcevacuation.State{Logger: e.logger, Metrics: e.metrics, OnChange: e.fleet.SetEvacuated, Announce: e.announceEvacuation}
	guard := &mcevacuation.Guard{Logger: e.logger, Metrics: e.metrics}
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
	e.tasks.Go(func() { e.countEvacuatedRequests(ctx) })
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

// adminHandler serves operators: the report on the evacuations, and the metrics at any other path.
func (e *Forwarding) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(mcevacuation.ReportPath, e.serveEvacuations)
	mux.Handle("/", e.metrics.Handler())
	return mux
}

// serveEvacuations reports the view of this instance.
func (e *Forwarding) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: an operator that has left cannot be told.
	_ = json.NewEncoder(w).Encode(e.evacuationReport())
}

func (e *Forwarding) evacuationReport() mcevacuation.Report {
	report := mcevacuation.Report{Instance: e.Settings.Instance, ConfirmedAgeMs: -1, AdminAddresses: make(map[string]string)}
	for _, view := range e.member.Members() {
		if view.State != mcmessage.MemberState_MEMBER_STATE_GONE {
			report.AdminAddresses[view.Instance] = view.AdminAddress
		}
	}
	if e.evacuations == nil {
		return report
	}
	report.Followed, report.Known = true, e.evacuations.state.Known()
	if _, complete, known := e.evacuations.CopyStatus(); known {
		report.ConfirmedAgeMs = (mcclock.Now() - complete).Milliseconds()
	}
	running := e.evacuatedRequests()
	for _, s := range e.evacuations.state.Statements() {
		if s.Evacuated {
			report.DataCentres = append(report.DataCentres, mcevacuation.ReportedCentre{DataCentre: s.DataCentre, Since: s.Since, Running: running[s.DataCentre]})
		}
	}
	return report
}

// countEvacuatedRequests keeps the metric of the requests in evacuated data centres up to date.
func (e *Forwarding) countEvacuatedRequests(ctx context.Context) {
	for mcclock.Sleep(ctx, countInterval) {
		n := 0
		for _, running := range e.evacuatedRequests() {
			n += running
		}
		e.metrics.EvacuatedRequests.Set(float64(n))
	}
}

// evacuatedRequests returns the number of requests of this instance that run in each evacuated data
// centre.
func (e *Forwarding) evacuatedRequests() map[string]int {
	running, inFlight := make(map[string]int), e.scheduler.InFlight()
	for _, endpoint := range e.fleet.Endpoints() {
		if endpoint.Evacuated() {
			load := inFlight[endpoint.Name()]
			running[endpoint.DataCentre()] += load.Short + load.Long
		}
	}
	return running
}

func hashEvacuation(evacuation *marigoldcroft.Evacuation) uint64 {
	return xxhash.Sum64String(evacuation.DataCentre)
}
